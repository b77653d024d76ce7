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

// blockedOutput takes nothing until it is opened.
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

// The reader of the log has stopped reading: nobody who logs waits for it, and what was
// lost is said once it reads again.
func TestLoggingNeverWaits(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	h := New(out, Rate(1_000_000), Buffer(100))
	logger := slog.New(h)
	began := time.Now()
	for range 10_000 {
		logger.Warn("request refused")
	}
	is.True(time.Since(began) < 2*time.Second)
	is.True(h.Dropped() >= 10_000-102)
	close(out.open)
	for range 200 {
		out.mu.Lock()
		said := strings.Contains(out.text.String(), "log lines dropped")
		out.mu.Unlock()
		if said {
			h.Stop()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the log does not say that lines were dropped")
}

func TestLinesAreWrittenInOrderAndAtTheEnd(t *testing.T) {
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

// Every attempt of an overload fails: the volume stays inside the rate, and lines of
// higher levels have room that the others cannot take.
func TestTheVolumeIsBoundedAndWarningsHaveRoom(t *testing.T) {
	is := is.New(t)
	g := gate{rate: 100}
	now := time.Unix(9000, 0)
	info, warn := 0, 0
	for range 1000 {
		if g.admit(slog.LevelInfo, 0, 1000, now) {
			info++
		}
	}
	for range 1000 {
		if g.admit(slog.LevelWarn, 0, 1000, now) {
			warn++
		}
	}
	is.Equal(info, 50)
	is.Equal(warn, 50)
	is.True(!g.admit(slog.LevelWarn, 0, 1000, now))
	is.True(g.admit(slog.LevelInfo, 0, 1000, now.Add(time.Second)))
	is.True(!g.admit(slog.LevelInfo, 500, 1000, now.Add(time.Second))) // a buffer half full
	is.True(g.admit(slog.LevelWarn, 500, 1000, now.Add(time.Second)))
}

func BenchmarkLine(b *testing.B) {
	h := New(&blockedOutput{open: closed()}, Rate(1<<30), Buffer(1<<16))
	defer h.Stop()
	logger := slog.New(h)
	for b.Loop() {
		logger.Info("attempt ended", "request", "9c41d07be2a35f68", "result", "failed")
	}
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}
