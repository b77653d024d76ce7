package proxy

import (
	"context"
	"log/slog"
	"time"

	"github.com/dottereldeal/dottereldeal/claim"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	defaultGrace     = 2 * time.Second
	defaultKeyHeader = "Authorization"
	defaultKeyScheme = "Bearer"
	maxAttempts      = 3
	// mostTries bounds the attempts of a request, those included that reached no backend
	// server.
	mostTries = 6
	// bufferBytes is the size up to which bodies are held, so that a request
	// can be sent again and an answer is whole before its first byte goes out.
	bufferBytes = 64 << 10
	// bufferWait is how long an answer of unknown length is held.
	bufferWait = 50 * time.Millisecond
	// startPatience bounds how long a request waits for the first configuration of a
	// VM that has just started. After a power loss of the whole fleet one is there in
	// half a second: less than a caller needs to come back. startPart is the part of
	// the caller's time that it may take.
	startPatience = 700 * time.Millisecond
	startPart     = 2
	// stallLimit is the time without progress after which a body is given up.
	stallLimit = 15 * time.Second
)

// Options holds the settings of a handler.
type Options struct {
	// ConfigFunc returns the newest configuration.
	ConfigFunc func() *Config
	// ServingCheck returns why this VM must not serve, or nil.
	ServingCheck func() error
	// Configured is closed once this VM has had a configuration. Requests wait for it
	// for a short time.
	Configured <-chan struct{}
	Limiter    limit.Limiter
	Picker     pick.Picker
	// Claim notes that a request with an idempotency key is about to run.
	Claim func(context.Context, claim.Key) error
	Clock clock.Service
	Meter *meter.Meter
	// Logger gets a line for each decision that ends or repeats a request.
	Logger *slog.Logger
	// KeepConnections is how long an idle connection to a backend server may be used
	// again by a request that must run once; 0 takes a fresh one for each.
	KeepConnections time.Duration
	// RetryBudget changes the budget of further attempts.
	RetryBudget []retry.Option
	// EntryCount returns the number of entries that share the backend servers.
	EntryCount func() int
	// KeyHeader, KeyQuery and KeyCookie name where callers put their key. An
	// empty query or cookie name switches that place off.
	KeyHeader string
	KeyQuery  string
	KeyCookie string
	// KeyScheme is the authentication scheme in front of the key.
	KeyScheme string
	Headers   Headers
	// FractionalRetryAfter writes Retry-After with fractions of a second.
	FractionalRetryAfter bool
	// KeyGrace is how long a request may go on after its key was withdrawn.
	KeyGrace time.Duration
}

// Option changes one setting.
type Option func(*Options)

// ConfigFunc sets the source of configuration.
func ConfigFunc(f func() *Config) Option { return func(o *Options) { o.ConfigFunc = f } }

// ServingCheck sets the check whether this VM may serve.
func ServingCheck(f func() error) Option { return func(o *Options) { o.ServingCheck = f } }

// Configured sets the channel that is closed with the first configuration.
func Configured(c <-chan struct{}) Option { return func(o *Options) { o.Configured = c } }

// Limiter sets the rates.
func Limiter(l limit.Limiter) Option { return func(o *Options) { o.Limiter = l } }

// Picker sets the choice of backend servers.
func Picker(p pick.Picker) Option { return func(o *Options) { o.Picker = p } }

// Claim sets the claims of idempotency keys.
func Claim(f func(context.Context, claim.Key) error) Option {
	return func(o *Options) { o.Claim = f }
}

// Clock sets the timer service.
func Clock(s clock.Service) Option { return func(o *Options) { o.Clock = s } }

// Meter sets the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Logger sets where decisions about requests are logged.
func Logger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// KeepConnections sets how long an idle connection may be used again by a request
// that must run once.
func KeepConnections(d time.Duration) Option { return func(o *Options) { o.KeepConnections = d } }

// RetryBudget sets the part of the requests that may be tried again, and the number that
// all entries may try again beside it.
func RetryBudget(ratio, slack float64) Option {
	return func(o *Options) {
		vms := func() int { return o.EntryCount() }
		o.RetryBudget = []retry.Option{retry.Ratio(ratio), retry.Slack(slack, vms)}
	}
}

// EntryCount sets the source of the number of entries.
func EntryCount(f func() int) Option { return func(o *Options) { o.EntryCount = f } }

// KeyHeader sets the header that holds the key.
func KeyHeader(name string) Option { return func(o *Options) { o.KeyHeader = name } }

// KeyQuery sets the query parameter that may hold the key.
func KeyQuery(name string) Option { return func(o *Options) { o.KeyQuery = name } }

// KeyCookie sets the cookie that may hold the key.
func KeyCookie(name string) Option { return func(o *Options) { o.KeyCookie = name } }

// KeyScheme sets the authentication scheme in front of the key.
func KeyScheme(name string) Option { return func(o *Options) { o.KeyScheme = name } }

// HeaderNames sets the headers between callers, entries and backend servers.
func HeaderNames(h Headers) Option { return func(o *Options) { o.Headers = h } }

// FractionalRetryAfter says whether callers understand fractions in Retry-After.
func FractionalRetryAfter(on bool) Option { return func(o *Options) { o.FractionalRetryAfter = on } }

// KeyGrace sets how long a request may go on after its key was withdrawn.
func KeyGrace(d time.Duration) Option { return func(o *Options) { o.KeyGrace = d } }

func newOptions(opts ...Option) Options {
	o := Options{
		ConfigFunc:   func() *Config { return NewConfig(state.State{}) },
		ServingCheck: func() error { return nil },
		Claim:        func(context.Context, claim.Key) error { return nil },
		EntryCount:   func() int { return 1 },
		KeyHeader:    defaultKeyHeader,
		KeyScheme:    defaultKeyScheme,
		Headers:      DefaultHeaders(),
		KeyGrace:     defaultGrace,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return o
}
