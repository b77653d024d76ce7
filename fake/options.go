package fake

import "time"

const (
	defaultSlots       = 4
	defaultQueue       = 16
	defaultConnections = 350
	defaultServiceTime = 5 * time.Millisecond
	defaultLifetime    = 5 * time.Second
	announceInterval   = time.Second
)

// Options holds the settings of a fake backend server.
type Options struct {
	Name        string
	Pool        string
	DataCentre  string
	Slots       int
	Queue       int
	Connections int
	Phase       string
	// ServiceTime returns the time that one request takes.
	ServiceTime func() time.Duration
	// AnnounceURLs are the URLs of the entries' announcement listeners.
	AnnounceURLs []string
	// CallerKeys are callers' keys that entries must not forward.
	CallerKeys []string
}

// Option modifies Options.
type Option func(*Options)

// Name sets the announced name.
func Name(name string) Option { return func(o *Options) { o.Name = name } }

// Pool sets the announced pool.
func Pool(name string) Option { return func(o *Options) { o.Pool = name } }

// DataCentre sets the announced data centre.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Slots sets the number of concurrent requests and the length of the queue.
func Slots(n, queue int) Option { return func(o *Options) { o.Slots, o.Queue = n, queue } }

// Connections sets the announced connection limit.
func Connections(n int) Option { return func(o *Options) { o.Connections = n } }

// Phase sets the initial phase.
func Phase(phase string) Option { return func(o *Options) { o.Phase = phase } }

// ServiceTime sets the source of service times.
func ServiceTime(f func() time.Duration) Option { return func(o *Options) { o.ServiceTime = f } }

// AnnounceURLs sets the URLs of the entries' announcement listeners.
func AnnounceURLs(urls ...string) Option { return func(o *Options) { o.AnnounceURLs = urls } }

// CallerKeys sets callers' keys that entries must not forward.
func CallerKeys(keys ...string) Option { return func(o *Options) { o.CallerKeys = keys } }

func newOptions(opts ...Option) Options {
	o := Options{
		Slots: defaultSlots, Queue: defaultQueue, Connections: defaultConnections, Phase: "warm",
		ServiceTime: func() time.Duration { return defaultServiceTime },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
