package logbuf

import (
	"log/slog"
	"time"
)

// gate decides which lines are written. It has no input or output.
//
// The pattern it answers: an overload in which every request is refused, or a fault in
// which every attempt fails, gives more lines than the processor and the reader bear, and
// those that say what has changed must still get through.
type gate struct {
	// rate is the number of lines in a second.
	rate   int
	second int64
	count  int
}

// admit reports whether a line may be written, given how full the buffer is.
func (g *gate) admit(level slog.Level, waiting, room int, now time.Time) bool {
	if second := now.Unix(); second != g.second {
		g.second, g.count = second, 0
	}
	most, fill := g.rate, room
	if level < slog.LevelWarn {
		most, fill = most/2, fill/2
	}
	if g.count >= most || waiting >= fill {
		return false
	}
	g.count++
	return true
}
