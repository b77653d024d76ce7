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

// Options holds the shape of a fleet.
type Options struct {
	Controls int
	Entries  int
	// DataCentres are the data centres over which entries are spread.
	DataCentres []string
	// Folder holds the control processes' data folders.
	Folder     string
	DrainDelay time.Duration
	DrainLimit time.Duration
	// EntryOptions are added to those of every entry.
	EntryOptions []entry.Option
}

// Option changes one setting.
type Option func(*Options)

// Controls sets the number of control processes.
func Controls(n int) Option { return func(o *Options) { o.Controls = n } }

// Entries sets the number of entries and the data centres they are spread over.
func Entries(n int, centres ...string) Option {
	return func(o *Options) { o.Entries, o.DataCentres = n, centres }
}

// Folder sets the folder for the control processes' data.
func Folder(path string) Option { return func(o *Options) { o.Folder = path } }

// EntryOptions adds options of every entry.
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

func (o Options) centre(i int) string { return o.DataCentres[i%len(o.DataCentres)] }

// Drain sets the delay and the limit of planned stops of entries.
func Drain(delay, limit time.Duration) Option {
	return func(o *Options) { o.DrainDelay, o.DrainLimit = delay, limit }
}
