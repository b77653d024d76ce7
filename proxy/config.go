package proxy

import (
	"slices"

	"github.com/dottereldeal/dottereldeal/route"
	"github.com/dottereldeal/dottereldeal/state"
)

// Config is an immutable snapshot of the configuration. Each request is processed
// with a single snapshot.
type Config struct {
	State  state.State
	Routes *route.Table
	// Pools holds the settings of all pools, so that they are listed only once per state.
	Pools []state.Pool
}

// NewConfig returns the configuration of a state with its routing table.
func NewConfig(s state.State) *Config {
	return &Config{State: s, Routes: route.New(state.List[state.Route](s)), Pools: state.List[state.Pool](s)}
}

// WithState returns the configuration of the next state. What the changes in between do not concern is
// shared: most of them are registrations of backend servers.
func (c *Config) WithState(next state.State) *Config {
	changed, known := next.ChangedSince(c.State.Index())
	concerns := func(r state.Ref) bool { return r.Kind == state.KindRoute || r.Kind == state.KindPool }
	if !known || slices.ContainsFunc(changed, concerns) {
		return NewConfig(next)
	}
	return &Config{State: next, Routes: c.Routes, Pools: c.Pools}
}
