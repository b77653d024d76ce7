package logbuf

import (
	"log/slog"
	"time"
)

// limiter decides which lines are written.
//
// During an overload in which every request is refused, or a fault in which every attempt
// fails, there are more lines than the CPU and the reader of the log can handle. Lines of
// level Warn and above, which report changes, must still be written then.
type limiter struct {
	// rate is the maximum number of lines per second.
	rate   int
	second int64
	count  int
}

// allow reports whether a line may be written, given the number of buffered lines and the
// capacity of the buffer. Levels below Warn may use half of the rate and of the capacity.
func (l *limiter) allow(level slog.Level, buffered, capacity int, now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second, l.count = second, 0
	}
	maxLines, maxBuffered := l.rate, capacity
	if level < slog.LevelWarn {
		maxLines, maxBuffered = maxLines/2, maxBuffered/2
	}
	if l.count >= maxLines || buffered >= maxBuffered {
		return false
	}
	l.count++
	return true
}
