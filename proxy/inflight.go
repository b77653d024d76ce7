package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// tracker tracks the authenticated requests in flight and cancels those whose
// key is withdrawn.
type tracker struct {
	mu       sync.Mutex
	requests map[*inFlightRequest]struct{}
}

type inFlightRequest struct {
	digest          state.KeyDigest
	workspace       string
	cancel          context.CancelCauseFunc
	cancelScheduled bool
}

func newTracker() *tracker { return &tracker{requests: make(map[*inFlightRequest]struct{})} }

// add tracks a request until the returned function is called.
func (q *tracker) add(d state.KeyDigest, workspace string, cancel context.CancelCauseFunc) (remove func()) {
	r := &inFlightRequest{digest: d, workspace: workspace, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.requests[r] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.requests, r)
	}
}

// cancelWithdrawn cancels, after a grace period, the requests whose key does not belong
// to their workspace in the given configuration.
func (q *tracker) cancelWithdrawn(c *Config, grace time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for r := range q.requests {
		w, ok := c.State.Workspace(r.digest)
		if ok && w.Name == r.workspace || r.cancelScheduled {
			continue
		}
		r.cancelScheduled = true
		time.AfterFunc(grace, func() { r.cancel(ErrKeyWithdrawn) })
	}
}

func (q *tracker) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.requests)
}
