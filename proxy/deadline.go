package proxy

import (
	"context"
	"sync"
	"time"
)

// deadline ends a request that takes too long. While a large body is coming in
// or going out, only a lack of progress ends it, unless the caller has said how
// long it waits.
type deadline struct {
	limit  time.Duration
	fixed  bool
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	at      time.Time
	cause   error
	stopped bool
}

func newDeadline(limit time.Duration, fixed bool, cancel context.CancelCauseFunc) *deadline {
	d := &deadline{limit: limit, fixed: fixed, cancel: cancel, at: time.Now().Add(limit), cause: ErrDeadline}
	d.timer = time.AfterFunc(limit, d.expire)
	return d
}

func (d *deadline) expire() {
	d.mu.Lock()
	cause := d.cause
	d.mu.Unlock()
	d.cancel(cause)
}

// left returns the time until the request is given up.
func (d *deadline) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.at)
}

// progress allows a streaming body some more time.
func (d *deadline) progress() { d.arm(max(stallLimit, d.limit), ErrStalled) }

// restart starts the deadline anew once the request has been received.
func (d *deadline) restart() { d.arm(d.limit, ErrDeadline) }

func (d *deadline) arm(limit time.Duration, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fixed {
		return
	}
	d.cause = cause
	d.at = time.Now().Add(limit)
	d.timer.Reset(limit)
}

func (d *deadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
