// Package logbuf provides a non-blocking, rate-limited slog handler.
//
// Lines are added to a buffer that a goroutine writes to the output. If lines exceed the
// rate or the buffer fills up, lines below level Warn are dropped first: they may use only
// half of the rate and half of the buffer. Dropped lines are counted, and the log itself
// reports their number once the buffer has been written out.
//
// # Usage
//
//	handler := logbuf.New(os.Stdout, logbuf.Rate(400))
//	logger := slog.New(handler)
//	defer handler.Stop()
package logbuf

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// flushTimeout is the maximum time that Stop waits for the buffer to be written out.
const flushTimeout = 500 * time.Millisecond

// Handler is a slog.Handler. Handlers derived by WithAttrs and WithGroup share its buffer.
type Handler struct {
	inner  slog.Handler
	writer *writer
}

// writer is the buffer of lines and the goroutine that writes them to the output.
type writer struct {
	buffer  chan []byte
	out     io.Writer
	mu      sync.Mutex
	limiter limiter
	dropped atomic.Uint64 // lines dropped by the limiter or for lack of room
	failed  atomic.Uint64 // lines that could not be written to the output
	quit    chan struct{}
	done    chan struct{}
}

// New returns a handler that writes lines of JSON to the output.
func New(out io.Writer, opts ...Option) *Handler {
	o := newOptions(opts...)
	w := &writer{
		buffer: make(chan []byte, o.Buffer), out: out, limiter: limiter{rate: o.Rate},
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	h := &Handler{inner: slog.NewJSONHandler(w, nil), writer: w}
	go w.run(h.inner)
	return h
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler. It never blocks on the output.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.writer.allow(r.Level, r.Time) {
		h.writer.dropped.Add(1)
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), writer: h.writer}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), writer: h.writer}
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() uint64 { return h.writer.dropped.Load() + h.writer.failed.Load() }

// Stop writes out the buffered lines, for at most flushTimeout.
func (h *Handler) Stop() {
	close(h.writer.quit)
	select {
	case <-h.writer.done:
	case <-time.After(flushTimeout):
	}
}

func (w *writer) allow(level slog.Level, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limiter.allow(level, len(w.buffer), cap(w.buffer), now)
}

// Write implements io.Writer for the inner handler, which calls it once per line.
func (w *writer) Write(line []byte) (int, error) {
	lineCopy := append([]byte(nil), line...)
	select {
	case w.buffer <- lineCopy:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines until Stop is called.
func (w *writer) run(inner slog.Handler) {
	defer close(w.done)
	reported := uint64(0)
	for {
		select {
		case line := <-w.buffer:
			w.writeLine(line)
		case <-w.quit:
			w.flush()
			return
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.buffer) == 0 {
			w.logDropped(inner, dropped-reported)
			reported = dropped
		}
	}
}

// logDropped logs the number of dropped lines.
func (w *writer) logDropped(inner slog.Handler, n uint64) {
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
	r.AddAttrs(slog.Uint64("lines", n))
	if inner.Handle(context.Background(), r) != nil {
		w.failed.Add(1)
	}
}

// flush writes out the buffered lines.
func (w *writer) flush() {
	for {
		select {
		case line := <-w.buffer:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line to the output, and counts it as failed if that is impossible.
func (w *writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.failed.Add(1)
	}
}
