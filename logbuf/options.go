package logbuf

const (
	// defaultRate is a number of lines per second. At 500 bytes per line it limits the
	// output to 200 KB/s, and it allows two lines per request at 200 requests per second.
	defaultRate = 400
	// defaultBuffer is a number of lines: those of two seconds at the default rate.
	defaultBuffer = 800
)

// Options holds the settings of a handler.
type Options struct {
	// Rate is the maximum number of lines per second.
	Rate int
	// Buffer is the maximum number of lines that wait to be written.
	Buffer int
}

// Option sets one field of Options.
type Option func(*Options)

// Rate sets the maximum number of lines per second.
func Rate(n int) Option { return func(o *Options) { o.Rate = n } }

// Buffer sets the maximum number of lines that wait to be written.
func Buffer(n int) Option { return func(o *Options) { o.Buffer = n } }

func newOptions(opts ...Option) Options {
	o := Options{Rate: defaultRate, Buffer: defaultBuffer}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
