package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/state"
)

// Options holds the settings of an entry's part in the pools.
type Options struct {
	VM    string
	State func() state.State
	// Settings returns the settings of all pools.
	Settings func() []state.Pool
	// DataCentre is where this VM runs.
	DataCentre string
	// Placement says who chooses the backend servers.
	Placement PlacementMode
	// KeepConnections is how long entries keep idle connections to backend servers.
	KeepConnections time.Duration
	// RetryBudget changes the budget of further attempts that a holder keeps.
	RetryBudget []retry.Option
	Clock       clock.Service
	Line        *event.Line
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// State sets the source of the configuration.
func State(f func() state.State) Option { return func(o *Options) { o.State = f } }

// Settings sets the source of the settings of all pools.
func Settings(f func() []state.Pool) Option { return func(o *Options) { o.Settings = f } }

// DataCentre sets where this VM runs.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Placement sets who chooses the backend servers.
func Placement(by PlacementMode) Option { return func(o *Options) { o.Placement = by } }

// RetryBudget sets the part of a pool's requests that may be tried again, and the number
// that may be tried again beside it, over the whole fleet.
func RetryBudget(ratio, slack float64) Option {
	return func(o *Options) {
		o.RetryBudget = []retry.Option{retry.Ratio(ratio), retry.Slack(slack, func() int { return 1 })}
	}
}

// KeepConnections sets how long entries keep idle connections to backend servers.
func KeepConnections(d time.Duration) Option { return func(o *Options) { o.KeepConnections = d } }

// Clock sets the timer service.
func Clock(s clock.Service) Option { return func(o *Options) { o.Clock = s } }

// Line sets the time line.
func Line(l *event.Line) Option { return func(o *Options) { o.Line = l } }

func newOptions(opts ...Option) Options {
	o := Options{
		Placement: PlacementLocal,
		State:     func() state.State { return state.State{} },
		Settings:  func() []state.Pool { return nil },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.Line == nil {
		o.Line = event.New(o.VM)
	}
	return o
}
