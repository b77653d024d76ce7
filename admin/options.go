package admin

import (
	"net/http"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/meter"
)

// Options holds the settings of a server.
type Options struct {
	// Ready returns why the process does not do its work, or nil.
	Ready func() error
	// Status returns the answer of /v1/status.
	Status func() any
	// EventLog is shown by /v1/events.
	EventLog *event.Log
	// Meter is shown by /metrics.
	Meter *meter.Meter
	// Handlers are further patterns of http.ServeMux.
	Handlers map[string]http.Handler
}

// Option changes one setting.
type Option func(*Options)

// Ready sets the check behind /readyz.
func Ready(f func() error) Option { return func(o *Options) { o.Ready = f } }

// Status sets the answer of /v1/status.
func Status(f func() any) Option { return func(o *Options) { o.Status = f } }

// EventLog sets the time line of /v1/events.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Meter sets the metrics of /metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Handle adds a pattern of http.ServeMux.
func Handle(pattern string, h http.HandlerFunc) Option {
	return func(o *Options) { o.Handlers[pattern] = h }
}

func newOptions(opts ...Option) Options {
	o := Options{
		Ready:    func() error { return nil },
		Status:   func() any { return struct{}{} },
		Handlers: make(map[string]http.Handler),
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.EventLog == nil {
		o.EventLog = event.New("")
	}
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return o
}
