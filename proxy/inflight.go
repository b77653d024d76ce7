package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// guard knows the requests on their way and ends those whose key is withdrawn.
type guard struct {
	mu       sync.Mutex
	requests map[*guarded]struct{}
}

// guarded is one request.
type guarded struct {
	digest    state.Digest
	workspace string
	cancel    context.CancelCauseFunc
	condemned bool
}

func newGuard() *guard { return &guard{requests: make(map[*guarded]struct{})} }

// enter registers a request until the returned function is called.
func (g *guard) enter(d state.Digest, workspace string, cancel context.CancelCauseFunc) (leave func()) {
	one := &guarded{digest: d, workspace: workspace, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests[one] = struct{}{}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.requests, one)
	}
}

// apply ends, after a grace period, the requests whose key the view does not
// give to their workspace.
func (g *guard) apply(v *Config, grace time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for one := range g.requests {
		w, ok := v.State.Workspace(one.digest)
		if ok && w.Name == one.workspace || one.condemned {
			continue
		}
		one.condemned = true
		time.AfterFunc(grace, func() { one.cancel(ErrKeyWithdrawn) })
	}
}

func (g *guard) len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}
