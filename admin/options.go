package admin

import (
	"net/http"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/meter"
)

// Options configures a Server.
type Options struct {
	// Ready returns the reason why the process cannot do its work, or nil.
	Ready func() error
	// Status returns the value that /v1/status encodes as JSON.
	Status func() any
	// EventLog holds the events of /v1/events.
	EventLog *event.Log
	// Meter holds the metrics of /metrics.
	Meter *meter.Meter
	// Handlers are additional handlers by http.ServeMux pattern.
	Handlers map[string]http.Handler
}

// Option sets a field of Options.
type Option func(*Options)

// Ready sets the check behind /readyz.
func Ready(f func() error) Option { return func(o *Options) { o.Ready = f } }

// Status sets the function that returns the value of /v1/status.
func Status(f func() any) Option { return func(o *Options) { o.Status = f } }

// EventLog sets the event log of /v1/events.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Meter sets the source of the metrics of /metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Handle adds a handler for a http.ServeMux pattern.
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
