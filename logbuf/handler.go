// Package logbuf is a slog handler that never makes its caller wait and whose volume is
// bounded.
//
// A line is put into a buffer, and a goroutine writes it out. Under pressure, which is a
// buffer that fills up or more lines in a second than the rate, lines below Warn are
// dropped first: half of the rate and half of the buffer are theirs. What was dropped is
// counted, and said in the log itself as soon as lines get through again.
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

// stopLimit bounds the wait for the buffer to be written out when a process stops.
const stopLimit = 500 * time.Millisecond

// Handler is a slog.Handler. Handlers that are derived from one share its buffer.
type Handler struct {
	inner slog.Handler
	queue *queue
}

// queue is the buffer between those who log and the goroutine that writes.
type queue struct {
	buffer  chan []byte
	out     io.Writer
	mu      sync.Mutex
	gate    gate
	dropped atomic.Uint64
	failed  atomic.Uint64
	quit    chan struct{}
	done    chan struct{}
}

// New returns a handler that writes JSON lines.
func New(out io.Writer, opts ...Option) *Handler {
	o := newOptions(opts...)
	q := &queue{
		buffer: make(chan []byte, o.Buffer), out: out, gate: gate{rate: o.Rate},
		quit: make(chan struct{}), done: make(chan struct{}),
	}
	h := &Handler{inner: slog.NewJSONHandler(q, nil), queue: q}
	go q.run(h.inner)
	return h
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.inner.Enabled(ctx, level)
}

// Handle implements slog.Handler. It never waits for the output.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.queue.admit(r.Level, r.Time) {
		h.queue.dropped.Add(1)
		return nil
	}
	return h.inner.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{inner: h.inner.WithAttrs(attrs), queue: h.queue}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{inner: h.inner.WithGroup(name), queue: h.queue}
}

// Dropped returns the number of lines that were not written.
func (h *Handler) Dropped() uint64 { return h.queue.dropped.Load() + h.queue.failed.Load() }

// Stop writes out what is in the buffer, for a short time.
func (h *Handler) Stop() {
	close(h.queue.quit)
	select {
	case <-h.queue.done:
	case <-time.After(stopLimit):
	}
}

func (q *queue) admit(level slog.Level, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.gate.admit(level, len(q.buffer), cap(q.buffer), now)
}

// Write implements io.Writer for the inner handler: one call is one line.
func (q *queue) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case q.buffer <- kept:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *queue) run(inner slog.Handler) {
	defer close(q.done)
	said := uint64(0)
	for {
		select {
		case line := <-q.buffer:
			q.put(line)
		case <-q.quit:
			q.drain()
			return
		}
		if dropped := q.dropped.Load(); dropped > said && len(q.buffer) == 0 {
			q.say(inner, dropped-said)
			said = dropped
		}
	}
}

// say logs how many lines were dropped.
func (q *queue) say(inner slog.Handler, n uint64) {
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log lines dropped", 0)
	r.AddAttrs(slog.Uint64("lines", n))
	if inner.Handle(context.Background(), r) != nil {
		q.failed.Add(1)
	}
}

func (q *queue) drain() {
	for {
		select {
		case line := <-q.buffer:
			q.put(line)
		default:
			return
		}
	}
}

// put writes a line. One that cannot be written can only be counted.
func (q *queue) put(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.failed.Add(1)
	}
}
