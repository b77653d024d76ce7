package lease

import (
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/event"
)

// Options holds the settings of a Manager.
type Options struct {
	VM   string
	Boot uint64
	// Voters returns the entries whose majority grants leases.
	Voters func() []string
	// Group returns the name that a lease is assigned by. Leases of one group are assigned to
	// the same entry, which renews them together.
	Group func(name string) string
	// DataCentre returns the data centre in which a lease should be held, or an empty string.
	// It is held elsewhere while no entry there can hold it.
	DataCentre func(name string) string
	// CheckFresh returns why this VM's configuration may be out of date, or nil.
	CheckFresh func() error
	Clock      clock.Clock
	EventLog   *event.Log
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// Boot sets the number of this run of the process. A later run must have a different
// one. The default is the time of the start.
func Boot(n uint64) Option { return func(o *Options) { o.Boot = n } }

// Voters sets the source of the voters.
func Voters(f func() []string) Option { return func(o *Options) { o.Voters = f } }

// Group sets the function that returns the group of a lease. By default each lease is a
// group of its own.
func Group(f func(name string) string) Option { return func(o *Options) { o.Group = f } }

// DataCentre sets the function that returns the data centre in which a lease should be held.
func DataCentre(f func(name string) string) Option { return func(o *Options) { o.DataCentre = f } }

// CheckFresh sets the check that the configuration is up to date.
func CheckFresh(f func() error) Option { return func(o *Options) { o.CheckFresh = f } }

// Clock sets the clock.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// EventLog sets the timeline that won and lost leases are recorded on.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

func newOptions(opts ...Option) Options {
	o := Options{
		Voters:     func() []string { return nil },
		CheckFresh: func() error { return nil },
		Group:      func(name string) string { return name },
		DataCentre: func(string) string { return "" },
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
	if o.Boot == 0 {
		o.Boot = uint64(o.Clock.Now().UnixNano())
	}
	return o
}
