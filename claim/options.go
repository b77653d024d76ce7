package claim

import "github.com/dottereldeal/dottereldeal/clock"

// Options holds the settings of a Manager.
type Options struct {
	VM string
	// Voters returns the entries whose majority grants claims.
	Voters func() []string
	// CheckFresh returns why this VM's configuration may be out of date, or nil.
	CheckFresh func() error
	Clock      clock.Clock
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// Voters sets the source of the voters.
func Voters(f func() []string) Option { return func(o *Options) { o.Voters = f } }

// CheckFresh sets the check that the configuration is up to date.
func CheckFresh(f func() error) Option { return func(o *Options) { o.CheckFresh = f } }

// Clock sets the clock.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

func newOptions(opts ...Option) Options {
	o := Options{
		Voters:     func() []string { return nil },
		CheckFresh: func() error { return nil },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	return o
}
