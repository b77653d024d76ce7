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
	defaultKeyGrace    = 2 * time.Second
	defaultKeyHeader   = "Authorization"
	defaultKeyScheme   = "Bearer"
	defaultMaxAttempts = 3
	// maxTotalAttempts limits the attempts of a request, including those that did not
	// reach a backend server.
	maxTotalAttempts = 6
	// maxBufferBytes is the size up to which bodies are buffered, so that requests can be
	// sent again and responses are complete before their first byte is forwarded.
	maxBufferBytes = 64 << 10
	// maxBufferWait limits the buffering of a response of unknown length.
	maxBufferWait = 50 * time.Millisecond
	// maxConfigWait limits how long a request waits for the first configuration after a
	// start. After a power loss of the whole fleet the configuration arrives within half
	// a second, which is sooner than a refused caller would retry.
	maxConfigWait = 700 * time.Millisecond
	// configWaitDivisor limits the wait to a fraction of the caller's time-out.
	configWaitDivisor = 2
	// usualFactor is the multiple of the hedge delay within which nearly all requests are
	// answered.
	usualFactor = 3
	// stallTimeout is the time without progress after which the transfer of a body is
	// cancelled.
	stallTimeout = 15 * time.Second
)

// Options holds the settings of a handler.
type Options struct {
	// ConfigFunc returns the current configuration.
	ConfigFunc func() *Config
	// ServingCheck returns an error while this VM must not serve.
	ServingCheck func() error
	// CurrentCheck returns an error while the configuration may lack an accepted change. An
	// unknown key or route is then refused as not served by this VM.
	CurrentCheck func() error
	// StopBy returns the time at which a planned stop ends the requests that still run, or the
	// zero time if there is none. Requests that may not end before it are refused.
	StopBy func() time.Time
	// Configured is closed once the first configuration may be served. Requests wait
	// for it for a limited time.
	Configured <-chan struct{}
	Limiter    limit.Limiter
	Picker     pick.Picker
	// Claim claims the idempotency key of a request that is about to run.
	Claim func(context.Context, claim.Key) error
	Clock clock.Clock
	Meter *meter.Meter
	// Dial opens connections to backend servers.
	Dial DialFunc
	// Logger receives a line for each refusal, attempt and omitted retry.
	Logger *slog.Logger
	// KeepConnections is how long an idle connection to a backend server may be reused by
	// a non-idempotent request; 0 opens a new connection for each of these requests.
	// LinkRate is the rate of this VM's link in bytes per second, by which large bodies are
	// paced, or 0.
	LinkRate        float64
	KeepConnections time.Duration
	// RetryBudget configures the budget of retries and hedged attempts.
	RetryBudget []retry.Option
	// EntryCount returns the number of entries that share the backend servers'
	// connections.
	EntryCount func() int
	// KeyHeader, KeyQuery and KeyCookie are the names of the header, query parameter and
	// cookie that may hold a caller's key. An empty query or cookie name disables it.
	KeyHeader string
	KeyQuery  string
	KeyCookie string
	// KeyScheme is the authentication scheme that precedes the key.
	KeyScheme string
	Headers   Headers
	// FractionalRetryAfter writes Retry-After with milliseconds as a decimal fraction.
	FractionalRetryAfter bool
	// KeyGrace is how long a request in flight continues after its key was withdrawn.
	KeyGrace time.Duration
}

// Option changes one setting.
type Option func(*Options)

// ConfigFunc sets the function that returns the current configuration.
func ConfigFunc(f func() *Config) Option { return func(o *Options) { o.ConfigFunc = f } }

// ServingCheck sets the function that returns an error while this VM must not serve.
func ServingCheck(f func() error) Option { return func(o *Options) { o.ServingCheck = f } }

// CurrentCheck sets the function that returns an error while the configuration may lack an
// accepted change.
func CurrentCheck(f func() error) Option { return func(o *Options) { o.CurrentCheck = f } }

// StopBy sets the function that returns the time at which a planned stop ends running requests.
func StopBy(f func() time.Time) Option { return func(o *Options) { o.StopBy = f } }

// Configured sets the channel that is closed once the first configuration may be served.
func Configured(c <-chan struct{}) Option { return func(o *Options) { o.Configured = c } }

// Limiter sets the rate limiter of the workspaces.
func Limiter(l limit.Limiter) Option { return func(o *Options) { o.Limiter = l } }

// Picker sets the load-balancing policy.
func Picker(p pick.Picker) Option { return func(o *Options) { o.Picker = p } }

// Claim sets the function that claims idempotency keys.
func Claim(f func(context.Context, claim.Key) error) Option {
	return func(o *Options) { o.Claim = f }
}

// Clock sets the timer service.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// Meter sets the registry of the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Dial sets the function that opens connections to backend servers.
func Dial(f DialFunc) Option { return func(o *Options) { o.Dial = f } }

// Logger sets the logger of decisions about requests.
func Logger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// KeepConnections sets how long an idle connection may be reused by a non-idempotent
// request.
func KeepConnections(d time.Duration) Option { return func(o *Options) { o.KeepConnections = d } }

// RetryBudget sets the ratio of retries to requests, and the slack: the number of
// retries that all entries together may make beyond the ratio.
func RetryBudget(ratio, slack float64) Option {
	return func(o *Options) {
		entries := func() int { return o.EntryCount() }
		o.RetryBudget = []retry.Option{retry.Ratio(ratio), retry.Slack(slack, entries)}
	}
}

// EntryCount sets the function that returns the number of entries.
func EntryCount(f func() int) Option { return func(o *Options) { o.EntryCount = f } }

// KeyHeader sets the name of the header that holds the key.
func KeyHeader(name string) Option { return func(o *Options) { o.KeyHeader = name } }

// KeyQuery sets the name of the query parameter that may hold the key.
func KeyQuery(name string) Option { return func(o *Options) { o.KeyQuery = name } }

// KeyCookie sets the name of the cookie that may hold the key.
func KeyCookie(name string) Option { return func(o *Options) { o.KeyCookie = name } }

// KeyScheme sets the authentication scheme that precedes the key.
func KeyScheme(name string) Option { return func(o *Options) { o.KeyScheme = name } }

// HeaderNames sets the names of the headers between callers, entries and backend servers.
func HeaderNames(h Headers) Option { return func(o *Options) { o.Headers = h } }

// FractionalRetryAfter sets whether Retry-After has a fraction, for callers that
// support it.
func FractionalRetryAfter(on bool) Option { return func(o *Options) { o.FractionalRetryAfter = on } }

// KeyGrace sets how long a request in flight continues after its key was withdrawn.
func KeyGrace(d time.Duration) Option { return func(o *Options) { o.KeyGrace = d } }

// LinkRate sets the bytes per second of this VM's link in each direction, 0 if it is not known
// or not scarce.
func LinkRate(bytesPerSecond float64) Option { return func(o *Options) { o.LinkRate = bytesPerSecond } }

func newOptions(opts ...Option) Options {
	o := Options{
		ConfigFunc:   func() *Config { return NewConfig(state.State{}) },
		ServingCheck: func() error { return nil },
		CurrentCheck: func() error { return nil },
		StopBy:       func() time.Time { return time.Time{} },
		Claim:        func(context.Context, claim.Key) error { return nil },
		EntryCount:   func() int { return 1 },
		Dial:         directDial(),
		KeyHeader:    defaultKeyHeader,
		KeyScheme:    defaultKeyScheme,
		Headers:      DefaultHeaders(),
		KeyGrace:     defaultKeyGrace,
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
