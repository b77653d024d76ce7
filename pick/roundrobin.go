package pick

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	// consecutiveFailures is the number of failures in a row that eject.
	consecutiveFailures = 5
	// robinEjection is how long a backend server stays ejected.
	robinEjection = 10 * time.Second
)

// RoundRobin is a Picker that takes backend servers in turn and ejects one
// after some failures in a row, as seen by this VM alone. It is the plain
// baseline that other policies are measured against.
type RoundRobin struct {
	now       timeSource
	directory func() *fleet.Directory
	state     func() state.State

	mu     sync.Mutex
	turn   map[string]int
	judged map[string]*judgement
}

// judgement is what this VM thinks of one backend server.
type judgement struct {
	failures int
	until    time.Time
}

// NewRoundRobin returns the baseline policy.
func NewRoundRobin(s clock.Service, directory func() *fleet.Directory, current func() state.State) *RoundRobin {
	return &RoundRobin{
		now: s.Now, directory: directory, state: current,
		turn: make(map[string]int), judged: make(map[string]*judgement),
	}
}

// String names the policy.
func (r *RoundRobin) String() string { return "round-robin" }

// HedgeDelay returns 0: the baseline makes no second attempts.
func (r *RoundRobin) HedgeDelay(string) time.Duration { return 0 }

// Pick returns the next backend server of the pool.
func (r *RoundRobin) Pick(_ context.Context, pool string, req Request) (Choice, error) {
	s := r.state()
	targets := Eligible(r.directory().Pool(pool), s)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for range targets {
		r.turn[pool]++
		t := targets[r.turn[pool]%len(targets)]
		if slices.Contains(req.Avoid, t.Name) || r.ejected(t.Name, now) {
			continue
		}
		return Choice{Target: t, Done: func(res health.Result) { r.done(pool, t.Name, res) }}, nil
	}
	return Choice{}, ErrNoServer
}

func (r *RoundRobin) ejected(name string, now time.Time) bool {
	j := r.judged[name]
	return j != nil && now.Before(j.until)
}

// done counts failures in a row and ejects within the floor.
func (r *RoundRobin) done(pool, name string, res health.Result) {
	s := r.state()
	targets := Eligible(r.directory().Pool(pool), s)
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.judged[name]
	if j == nil {
		j = &judgement{}
		r.judged[name] = j
	}
	if !res.Kind.Bad() {
		j.failures = 0
		return
	}
	j.failures++
	if j.failures < consecutiveFailures {
		return
	}
	now := r.now()
	out := 0
	for _, t := range targets {
		if r.ejected(t.Name, now) {
			out++
		}
	}
	p, _ := state.Get[state.Pool](s, pool)
	if len(targets)-out-1 < int(math.Ceil(p.Floor*float64(len(targets)))) {
		return
	}
	j.failures = 0
	j.until = now.Add(robinEjection)
}

// Eligible returns the backend servers that may get new work at all.
func Eligible(targets []fleet.Target, s state.State) []fleet.Target {
	list := make([]fleet.Target, 0, len(targets))
	for _, t := range targets {
		if t.Phase != fleet.Leaving && !s.Out(t.DataCentre) {
			list = append(list, t)
		}
	}
	return list
}
