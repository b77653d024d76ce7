package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/state"
)

// Options configures a Balancer.
type Options struct {
	VM    string
	State func() state.State
	// Settings returns the settings of all pools.
	Settings func() []state.Pool
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Placement selects who chooses the backend servers.
	Placement PlacementMode
	// Admission selects the order of the requests that wait for a slot, if holders place them.
	Admission sched.AdmissionMode
	// Meter holds the metrics. It may be nil.
	Meter *meter.Meter
	// EntryCount returns the number of entries that may send requests, or 0 while it is not
	// known.
	EntryCount func() int
	// KeepConnections is how long entries keep idle connections to backend servers.
	KeepConnections time.Duration
	// RetryRatio and RetrySlack limit the retries of a pool, if RetryBudget was called.
	RetryRatio, RetrySlack float64
	retryBudgetSet         bool
	Clock                  clock.Clock
	EventLog               *event.Log
}

// Option sets one of the Options.
type Option func(*Options)

func VM(name string) Option { return func(o *Options) { o.VM = name } }

// State sets the source of the configuration.
func State(f func() state.State) Option { return func(o *Options) { o.State = f } }

// Settings sets the source of the settings of all pools.
func Settings(f func() []state.Pool) Option { return func(o *Options) { o.Settings = f } }

func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Placement selects who chooses the backend servers.
func Placement(mode PlacementMode) Option { return func(o *Options) { o.Placement = mode } }

// Admission selects the order of the requests that wait for a slot, if holders place them.
func Admission(mode sched.AdmissionMode) Option { return func(o *Options) { o.Admission = mode } }

// Meter sets the registry of the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// EntryCount sets the function that returns the number of entries that may send requests, or
// 0 while it is not known.
func EntryCount(f func() int) Option { return func(o *Options) { o.EntryCount = f } }

// RetryBudget limits the retries of a pool over the whole fleet: ratio is the share of
// requests that may be retried, slack the number of retries allowed on top of it.
func RetryBudget(ratio, slack float64) Option {
	return func(o *Options) { o.RetryRatio, o.RetrySlack, o.retryBudgetSet = ratio, slack, true }
}

// retryBudget returns the options of the retry budget that the holder of a cell keeps. The
// slack of a pool is divided among its cells.
func (b *Balancer) retryBudget(cell string) []retry.Option {
	if !b.options.retryBudgetSet {
		return nil
	}
	cells := len(b.cells(b.options.State().PoolOfCell(cell)))
	return []retry.Option{retry.Ratio(b.options.RetryRatio), retry.Slack(b.options.RetrySlack, func() int { return max(1, cells) })}
}

// KeepConnections sets how long entries keep idle connections to backend servers.
func KeepConnections(d time.Duration) Option { return func(o *Options) { o.KeepConnections = d } }

// Clock sets the timer service.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// EventLog sets the event log.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

func newOptions(opts ...Option) Options {
	o := Options{
		Placement:  PlacementLocal,
		Admission:  sched.AdmissionRank,
		State:      func() state.State { return state.State{} },
		Settings:   func() []state.Pool { return nil },
		EntryCount: func() int { return 1 },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.EventLog == nil {
		o.EventLog = event.New(o.VM)
	}
	return o
}
