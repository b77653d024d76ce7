package event

import "time"

const (
	defaultCapacity = 8192
	maxAhead        = 10 * time.Minute
)

// Options holds the settings of a time line.
type Options struct {
	// Capacity is the number of events kept.
	Capacity int
	// WallClock reads the wall clock.
	WallClock func() time.Time
}

// Option changes one setting.
type Option func(*Options)

// Capacity sets the number of events kept.
func Capacity(n int) Option { return func(o *Options) { o.Capacity = n } }

// WallClock sets the wall clock, for tests with skewed clocks.
func WallClock(now func() time.Time) Option { return func(o *Options) { o.WallClock = now } }

func newOptions(opts ...Option) Options {
	o := Options{Capacity: defaultCapacity, WallClock: time.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
