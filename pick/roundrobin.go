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
	// consecutiveFailures is the number of failures in a row that cause an ejection.
	consecutiveFailures = 5
	// ejectionDuration is how long a backend server stays ejected.
	ejectionDuration = 10 * time.Second
)

// RoundRobin is a Picker that takes backend servers in turn. It ejects a server after
// several consecutive failures observed by this VM. It serves as the baseline for
// measuring other policies.
type RoundRobin struct {
	now       timeSource
	directory func() *fleet.Directory
	state     func() state.State

	mu      sync.Mutex
	next    map[string]int
	servers map[string]*serverState
}

// serverState is what this VM has observed of one backend server.
type serverState struct {
	failures     int
	ejectedUntil time.Time
}

// NewRoundRobin returns a round-robin picker.
func NewRoundRobin(timers clock.Clock, directory func() *fleet.Directory, current func() state.State) *RoundRobin {
	return &RoundRobin{
		now: timers.Now, directory: directory, state: current,
		next: make(map[string]int), servers: make(map[string]*serverState),
	}
}

// String returns the name of the policy.
func (r *RoundRobin) String() string { return "round-robin" }

// HedgeDelay returns 0: the policy does not hedge requests.
func (r *RoundRobin) HedgeDelay(string) time.Duration { return 0 }

// Pick returns the next backend server of the pool.
func (r *RoundRobin) Pick(_ context.Context, pool string, req Request) (Choice, error) {
	current := r.state()
	targets := r.targets(pool, current)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for range targets {
		r.next[pool]++
		t := targets[r.next[pool]%len(targets)]
		if slices.Contains(req.Avoid, t.Name) || r.ejected(t.Name, now) {
			continue
		}
		return Choice{Target: t, Done: func(result health.Result) { r.done(pool, t.Name, result) }}, nil
	}
	return Choice{}, ErrNoServer
}

// targets returns the backend servers of a pool that may receive new requests. It keeps to no
// share, so a version on trial gets none.
func (r *RoundRobin) targets(pool string, current state.State) []fleet.Target {
	eligible := Eligible(r.directory().Pool(pool), current)
	return TrialOf(pool, current).Proven(WithoutRetired(eligible, pool, current))
}

func (r *RoundRobin) ejected(name string, now time.Time) bool {
	server := r.servers[name]
	return server != nil && now.Before(server.ejectedUntil)
}

// done records a result. It ejects the server after consecutiveFailures failures in a row,
// if the floor permits.
func (r *RoundRobin) done(pool, name string, result health.Result) {
	current := r.state()
	targets := r.targets(pool, current)
	r.mu.Lock()
	defer r.mu.Unlock()
	server := r.servers[name]
	if server == nil {
		server = &serverState{}
		r.servers[name] = server
	}
	if !result.Kind.Bad() {
		server.failures = 0
		return
	}
	server.failures++
	if server.failures < consecutiveFailures {
		return
	}
	now := r.now()
	ejectedCount := 0
	for _, t := range targets {
		if r.ejected(t.Name, now) {
			ejectedCount++
		}
	}
	settings, _ := state.Get[state.Pool](current, pool)
	if len(targets)-ejectedCount-1 < int(math.Ceil(settings.Floor*float64(len(targets)))) {
		return
	}
	server.failures = 0
	server.ejectedUntil = now.Add(ejectionDuration)
}

// Eligible returns the backend servers that may receive new requests.
func Eligible(targets []fleet.Target, current state.State) []fleet.Target {
	list := make([]fleet.Target, 0, len(targets))
	out := make(map[string]bool)
	for _, t := range targets {
		isOut, known := out[t.DataCentre]
		if !known {
			isOut = current.IsDataCentreOut(t.DataCentre)
			out[t.DataCentre] = isOut
		}
		if isEligible(t, isOut) {
			list = append(list, t)
		}
	}
	return list
}

// IsEligible reports whether a backend server may receive new requests.
func IsEligible(t fleet.Target, current state.State) bool {
	return isEligible(t, current.IsDataCentreOut(t.DataCentre))
}

func isEligible(t fleet.Target, isOut bool) bool { return t.Phase != fleet.Leaving && !isOut }
