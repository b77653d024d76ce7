package logbuf

const (
	// defaultRate is the number of lines in a second. At 500 bytes a line it is 200 KB/s
	// at most, and an entry that serves 200 requests a second says two lines of each.
	defaultRate = 400
	// defaultBuffer is the number of lines that wait for the output: two seconds of them.
	defaultBuffer = 800
)

// Options holds the settings of a handler.
type Options struct {
	// Rate is the most lines in a second.
	Rate int
	// Buffer is the most lines that wait for the output.
	Buffer int
}

// Option changes one setting.
type Option func(*Options)

// Rate sets the most lines in a second.
func Rate(n int) Option { return func(o *Options) { o.Rate = n } }

// Buffer sets the most lines that wait for the output.
func Buffer(n int) Option { return func(o *Options) { o.Buffer = n } }

func newOptions(opts ...Option) Options {
	o := Options{Rate: defaultRate, Buffer: defaultBuffer}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
