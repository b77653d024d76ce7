package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// confirmPeriod is the shortest time between two shared reads. Servers announce themselves about
	// once a second, and wait that long for the answer.
	confirmPeriod = 250 * time.Millisecond
	// confirmTimeout is how long a shared read waits for a leader, as a call of a server does.
	confirmTimeout = time.Second
)

// sharedRead is a confirmed read for all callers that wait when it starts.
type sharedRead struct {
	finished chan struct{}
	// err is set before finished is closed.
	err error
}

// sharedReads batches confirmed reads, so that their number does not grow with the number of
// callers: a large fleet announces thousands of servers a second that have not changed.
type sharedReads struct {
	mu sync.Mutex
	// next is the read that has not started yet, nil if nobody waits.
	next      *sharedRead
	lastStart time.Time
}

// join returns the next read, and how long to wait before the caller starts it, if it is the first.
func (r *sharedReads) join(now time.Time) (read *sharedRead, first bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		return r.next, false, 0
	}
	r.next = &sharedRead{finished: make(chan struct{})}
	return r.next, true, max(0, r.lastStart.Add(confirmPeriod).Sub(now))
}

// start lets later callers wait for another read.
func (r *sharedReads) start(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next, r.lastStart = nil, now
}

// awaitConfirmed waits until this replica has applied every change that was accepted before the
// call. It tries again while there is no leader.
func (c *Control) awaitConfirmed(ctx context.Context) error {
	for {
		read, first, wait := c.reads.join(c.options.Clock.Now())
		if first {
			go c.confirm(read, wait)
		}
		select {
		case <-read.finished:
		case <-ctx.Done():
			return ErrOutcomeUnknown
		}
		if read.err == nil || errors.Is(read.err, ErrStopped) {
			return read.err
		}
	}
}

func (c *Control) confirm(read *sharedRead, wait time.Duration) {
	defer close(read.finished)
	ctx, cancel := context.WithTimeout(context.Background(), wait+confirmTimeout)
	defer cancel()
	isRunning := c.wait(ctx, wait)
	c.reads.start(c.options.Clock.Now())
	if !isRunning {
		read.err = ErrStopped
		return
	}
	_, read.err = c.Current(ctx)
}
