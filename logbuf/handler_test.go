package logbuf

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedOutput is a writer whose Write blocks until open is closed.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// The reader of the log does not read. Logging must not block, and the log must report the
// dropped lines once the reader reads again.
func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	h := New(out, Rate(1_000_000), Buffer(100))
	logger := slog.New(h)
	started := time.Now()
	for range 10_000 {
		logger.Warn("request refused")
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(h.Dropped() >= 10_000-102)
	close(out.open)
	for range 200 {
		out.mu.Lock()
		reported := strings.Contains(out.text.String(), "log lines dropped")
		out.mu.Unlock()
		if reported {
			h.Stop()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the log does not report dropped lines")
}

func TestLinesAreWrittenInOrderAndFlushedByStop(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	h := New(&out)
	logger := slog.New(h).With("vm", "e1")
	logger.Info("first")
	logger.Info("second")
	h.Stop()
	text := out.String()
	is.True(strings.Index(text, "first") < strings.Index(text, "second"))
	is.Equal(strings.Count(text, `"vm":"e1"`), 2)
	is.Equal(h.Dropped(), uint64(0))
}

// In an overload every attempt logs a line. The number of lines must stay within the rate,
// and lines of level Info must leave room for those of level Warn.
func TestRateIsLimitedAndRoomIsReservedForWarnings(t *testing.T) {
	is := is.New(t)
	l := limiter{rate: 100}
	now := time.Unix(9000, 0)
	info, warn := 0, 0
	for range 1000 {
		if l.allow(slog.LevelInfo, 0, 1000, now) {
			info++
		}
	}
	for range 1000 {
		if l.allow(slog.LevelWarn, 0, 1000, now) {
			warn++
		}
	}
	is.Equal(info, 50)
	is.Equal(warn, 50)
	is.True(!l.allow(slog.LevelWarn, 0, 1000, now))
	is.True(l.allow(slog.LevelInfo, 0, 1000, now.Add(time.Second)))
	is.True(!l.allow(slog.LevelInfo, 500, 1000, now.Add(time.Second))) // the buffer is half full
	is.True(l.allow(slog.LevelWarn, 500, 1000, now.Add(time.Second)))
}

func BenchmarkLine(b *testing.B) {
	h := New(&blockedOutput{open: closedChannel()}, Rate(1<<30), Buffer(1<<16))
	defer h.Stop()
	logger := slog.New(h)
	for b.Loop() {
		logger.Info("attempt ended", "request", "9c41d07be2a35f68", "result", "failed")
	}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
