package local

import (
	"os"
	"time"

	"github.com/dottereldeal/dottereldeal/entry"
)

const (
	defaultControls = 3
	defaultEntries  = 2
	maxSeeds        = 3
	drainDelay      = 50 * time.Millisecond
	drainLimit      = 5 * time.Second
)

// Options holds the settings of a fleet.
type Options struct {
	Controls int
	Entries  int
	// DataCentres are assigned to the entries in turn.
	DataCentres []string
	// Folder is the parent of the control processes' data folders.
	Folder     string
	DrainDelay time.Duration
	DrainLimit time.Duration
	// EntryOptions are applied to every entry after the fleet's own.
	EntryOptions []entry.Option
}

// Option modifies Options.
type Option func(*Options)

// Controls sets the number of control processes.
func Controls(n int) Option { return func(o *Options) { o.Controls = n } }

// Entries sets the number of entries and the data centres assigned to them in turn.
func Entries(n int, dataCentres ...string) Option {
	return func(o *Options) { o.Entries, o.DataCentres = n, dataCentres }
}

// Folder sets the parent of the control processes' data folders.
func Folder(path string) Option { return func(o *Options) { o.Folder = path } }

// EntryOptions adds options that are applied to every entry.
func EntryOptions(opts ...entry.Option) Option {
	return func(o *Options) { o.EntryOptions = append(o.EntryOptions, opts...) }
}

func newOptions(opts ...Option) Options {
	o := Options{
		Controls: defaultControls, Entries: defaultEntries, Folder: os.TempDir(),
		DrainDelay: drainDelay, DrainLimit: drainLimit,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"fukuoka"}
	}
	return o
}

func (o Options) dataCentre(i int) string { return o.DataCentres[i%len(o.DataCentres)] }

// Drain sets how long an entry goes on accepting requests after a shutdown begins,
// and how long it then waits for requests in flight.
func Drain(delay, limit time.Duration) Option {
	return func(o *Options) { o.DrainDelay, o.DrainLimit = delay, limit }
}
