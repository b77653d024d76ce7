package proxy

import (
	"context"
	"sync"
	"time"
)

// requestDeadline cancels a request that takes too long. While a body is streamed in
// either direction, only a stalled transfer cancels the request, unless the caller has
// set a deadline of its own.
type requestDeadline struct {
	timeout time.Duration
	// fixed is set if the caller has set the deadline, which is then never extended.
	fixed  bool
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	expiresAt time.Time
	cause     error
	stopped   bool
}

func newRequestDeadline(timeout time.Duration, fixed bool, cancel context.CancelCauseFunc) *requestDeadline {
	d := &requestDeadline{timeout: timeout, fixed: fixed, cancel: cancel, expiresAt: time.Now().Add(timeout), cause: ErrDeadline}
	d.timer = time.AfterFunc(timeout, d.expire)
	return d
}

func (d *requestDeadline) expire() {
	d.mu.Lock()
	cause := d.cause
	d.mu.Unlock()
	d.cancel(cause)
}

// remaining returns the time until the deadline.
func (d *requestDeadline) remaining() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.expiresAt)
}

// noteProgress extends the deadline while a body is being streamed.
func (d *requestDeadline) noteProgress() { d.reset(max(stallTimeout, d.timeout), ErrStalled) }

// restart resets the deadline once the request has been received completely.
func (d *requestDeadline) restart() { d.reset(d.timeout, ErrDeadline) }

func (d *requestDeadline) reset(timeout time.Duration, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.fixed {
		return
	}
	d.cause = cause
	d.expiresAt = time.Now().Add(timeout)
	d.timer.Reset(timeout)
}

func (d *requestDeadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
