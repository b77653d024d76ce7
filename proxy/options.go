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
	// Views returns the newest configuration.
	Views func() *View
	// Serving returns why this VM must not serve, or nil.
	Serving func() error
	// Started is closed once this VM has had a configuration. Requests wait for it
	// for a short time.
	Started <-chan struct{}
	Limiter limit.Limiter
	Picker  pick.Picker
	// Claim notes that a request with an idempotency key is about to run.
	Claim func(context.Context, claim.Key) error
	Clock clock.Service
	Meter *meter.Meter
	// Logger gets a line for each decision that ends or repeats a request.
	Logger *slog.Logger
	// KeepConnections is how long an idle connection to a backend server may be used
	// again by a request that must run once; 0 takes a fresh one for each.
	KeepConnections time.Duration
	// Retries changes the budget of further attempts.
	Retries []retry.Option
	// Entries returns the number of entries that share the backend servers.
	Entries func() int
	// KeyHeader, KeyQuery and KeyCookie name where callers put their key. An
	// empty query or cookie name switches that place off.
	KeyHeader string
	KeyQuery  string
	KeyCookie string
	// KeyScheme is the authentication scheme in front of the key.
	KeyScheme string
	Headers   Headers
	// RetryFractions writes Retry-After with fractions of a second.
	RetryFractions bool
	// Grace is how long a request may go on after its key was withdrawn.
	Grace time.Duration
}

// Option changes one setting.
type Option func(*Options)

// Views sets the source of configuration.
func Views(f func() *View) Option { return func(o *Options) { o.Views = f } }

// Serving sets the check whether this VM may serve.
func Serving(f func() error) Option { return func(o *Options) { o.Serving = f } }

// Started sets the channel that is closed with the first configuration.
func Started(c <-chan struct{}) Option { return func(o *Options) { o.Started = c } }

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

// Retries sets the part of the requests that may be tried again, and the number that
// all entries may try again beside it.
func Retries(ratio, slack float64) Option {
	return func(o *Options) {
		vms := func() int { return o.Entries() }
		o.Retries = []retry.Option{retry.Ratio(ratio), retry.Slack(slack, vms)}
	}
}

// Entries sets the source of the number of entries.
func Entries(f func() int) Option { return func(o *Options) { o.Entries = f } }

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

// RetryFractions says whether callers understand fractions in Retry-After.
func RetryFractions(on bool) Option { return func(o *Options) { o.RetryFractions = on } }

// Grace sets how long a request may go on after its key was withdrawn.
func Grace(d time.Duration) Option { return func(o *Options) { o.Grace = d } }

func newOptions(opts ...Option) Options {
	o := Options{
		Views:     func() *View { return NewView(state.State{}) },
		Serving:   func() error { return nil },
		Claim:     func(context.Context, claim.Key) error { return nil },
		Entries:   func() int { return 1 },
		KeyHeader: defaultKeyHeader,
		KeyScheme: defaultKeyScheme,
		Headers:   DefaultHeaders(),
		Grace:     defaultGrace,
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
