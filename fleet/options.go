package fleet

import (
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/event"
)

// Options holds the settings of a Fleet.
type Options struct {
	// Self describes the local entry.
	Self Member
	// Seeds are the entries to contact in order to join the fleet.
	Seeds    []string
	Clock    clock.Clock
	EventLog *event.Log
}

// Option sets one field of Options.
type Option func(*Options)

// Self sets the description of the local entry.
func Self(m Member) Option { return func(o *Options) { o.Self = m } }

// Seeds sets the entries to contact in order to join the fleet.
func Seeds(vms ...string) Option { return func(o *Options) { o.Seeds = vms } }

// Clock sets the clock that drives periodic work.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// EventLog sets the event log.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

func newOptions(opts ...Option) Options {
	var o Options
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.EventLog == nil {
		o.EventLog = event.New(o.Self.VM)
	}
	o.Self.Condition = Alive
	if o.Self.Boot == 0 {
		o.Self.Boot = uint64(o.Clock.Now().UnixNano())
	}
	return o
}
