package event

import "time"

const (
	defaultCapacity = 8192
	maxClockSkew    = 10 * time.Minute
)

// Options holds the settings of an event log.
type Options struct {
	// Capacity is the number of events that the ring buffer holds.
	Capacity int
	// WallClock returns the current wall-clock time.
	WallClock func() time.Time
}

// Option sets one field of Options.
type Option func(*Options)

// Capacity sets the size of the ring buffer, in events.
func Capacity(n int) Option { return func(o *Options) { o.Capacity = n } }

// WallClock replaces the wall clock, for tests of clock skew.
func WallClock(now func() time.Time) Option { return func(o *Options) { o.WallClock = now } }

func newOptions(opts ...Option) Options {
	o := Options{Capacity: defaultCapacity, WallClock: time.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
