// Package proxy is the HTTP handler between callers and backend servers.
//
// A request passes these steps: its key is read and stripped, its route and
// workspace are found, the workspace's rate is charged, a backend server is
// picked, the request is forwarded, and the answer is returned whole. A refusal
// carries a problem body (RFC 9457) and the header Dottereldeal-Outcome, which
// says not-run only if no backend server has run the request.
//
// # Usage
//
//	handler := proxy.New(
//		proxy.Views(view.Load), proxy.Limiter(limiter), proxy.Picker(picker),
//	)
//	server := &http.Server{Handler: handler}
package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/claim"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/route"
	"github.com/dottereldeal/dottereldeal/state"
)

// Errors that end requests.
var (
	// ErrKeyWithdrawn means that the caller's key was withdrawn meanwhile.
	ErrKeyWithdrawn = errors.New("the key was withdrawn")
	// ErrDeadline means that the route's deadline has passed.
	ErrDeadline = errors.New("the deadline has passed")
	// ErrStalled means that a body made no progress for too long.
	ErrStalled = errors.New("the body made no progress")
)

// Config is the configuration that one request is judged by.
type Config struct {
	State  state.State
	Routes *route.Table
	// Pools are the settings of all pools, listed once for each state.
	Pools []state.Pool
}

// NewConfig returns the view of a state.
func NewConfig(s state.State) *Config {
	return &Config{State: s, Routes: route.New(state.List[state.Route](s)), Pools: state.List[state.Pool](s)}
}

// Handler forwards requests.
type Handler struct {
	options Options
	keys    keyReader
	pools   *transports
	guard   *guard
	budget  *retry.Budget
	metrics *metrics
}

// New returns a handler.
func New(opts ...Option) *Handler {
	o := newOptions(opts...)
	return &Handler{
		options: o,
		keys:    newKeyReader(o),
		pools:   newTransports(o.EntryCount, o.KeepConnections),
		guard:   newGuard(),
		budget:  retry.NewBudget(o.RetryBudget...),
		metrics: newMetrics(o.Meter),
	}
}

// exchange is one request on its way.
type exchange struct {
	handler   *Handler
	writer    http.ResponseWriter
	request   *http.Request
	view      *Config
	key       string
	workspace *state.Workspace
	route     *state.Route
	// pool is the pool that the route leads this request to.
	pool    string
	arrived time.Time
	body    *requestBody
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Inc()
	x := &exchange{handler: h, writer: w, request: r, arrived: h.options.Clock.Now()}
	x.awaitStart()
	x.view = h.options.ConfigFunc()
	if p, refused := x.check(); refused {
		x.refuse(p)
		return
	}
	x.forward()
}

// awaitStart waits for the first configuration, if this VM has only just started.
func (x *exchange) awaitStart() {
	started := x.handler.options.Configured
	select {
	case <-started:
		return
	default:
	}
	if started == nil {
		return
	}
	limit := startPatience
	if stated := x.statedTime(); stated > 0 {
		limit = min(limit, stated/startPart)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-started:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// check finds route and workspace, and charges the rate.
func (x *exchange) check() (problem, bool) {
	if err := x.handler.options.ServingCheck(); err != nil {
		return problemNotServing.withDetail(err.Error()), true
	}
	if p, refused := x.checkShape(); refused {
		return p, true
	}
	key, found := x.handler.keys.take(x.request)
	x.key = key
	r, verdict := x.view.Routes.Match(x.request.Host, x.request.URL.Path, x.request.Method)
	x.route = r
	open := verdict == route.Found && r.Open
	if !open {
		if p, refused := x.checkKey(found); refused {
			return p, true
		}
	}
	switch verdict {
	case route.NotFound:
		return problemNoRoute, true
	case route.MethodNotAllowed:
		return problemMethod, true
	}
	if open {
		return problem{}, false
	}
	return x.checkRate()
}

// checkShape refuses requests that a backend server might read differently.
func (x *exchange) checkShape() (problem, bool) {
	if x.request.Method == http.MethodConnect {
		return problemMethod, true
	}
	path := x.request.URL.Path
	if !strings.HasPrefix(path, "/") {
		return problemPath, true
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "." || segment == ".." {
			return problemPath, true
		}
	}
	return problem{}, false
}

func (x *exchange) checkKey(found bool) (problem, bool) {
	if !found {
		return problemNoKey, true
	}
	w, known := x.view.State.Workspace(state.DigestOf(x.key))
	if !known {
		return problemKey, true
	}
	x.workspace = w
	if strings.Contains(x.request.URL.Path, x.key) {
		return problemKeyInPath, true
	}
	return problem{}, false
}

func (x *exchange) checkRate() (problem, bool) {
	if x.workspace.Unlimited {
		return problem{}, false
	}
	left, _ := x.timeLeft()
	ctx, cancel := context.WithTimeout(x.request.Context(), left)
	defer cancel()
	admission := x.handler.options.Limiter.Admit(ctx, x.workspace)
	if admission.OK {
		return problem{}, false
	}
	if admission.Unavailable {
		return problemLimits.withCause(admission.Cause).withRetryAfter(admission.RetryAfter), true
	}
	detail := fmt.Sprintf("rate %g/s, burst %g", x.workspace.Rate, x.workspace.Burst)
	return problemRate.withDetail(detail).withRetryAfter(admission.RetryAfter), true
}

// timeLeft returns the time until the request is given up, and whether the caller
// has stated how long it waits.
func (x *exchange) timeLeft() (left time.Duration, stated bool) {
	limit := time.Duration(x.route.Deadline)
	if said := x.statedTime(); said > 0 {
		limit, stated = min(limit, said), true
	}
	return limit - x.handler.options.Clock.Now().Sub(x.arrived), stated
}

// statedTime returns how long the caller says that it waits, 0 if it does not say so.
func (x *exchange) statedTime() time.Duration {
	name := x.handler.options.Headers.CallerDeadline
	if name == "" {
		return 0
	}
	ms, err := strconv.ParseInt(x.request.Header.Get(name), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// forward sends the request to backend servers and the answer to the caller.
func (x *exchange) forward() {
	ctx, cancel := context.WithCancelCause(x.request.Context())
	defer cancel(nil)
	if x.workspace != nil {
		leave := x.handler.guard.enter(state.DigestOf(x.key), x.workspace.Name, cancel)
		defer leave()
	}
	left, stated := x.timeLeft()
	limit := newDeadline(left, stated, cancel)
	defer limit.stop()
	body, err := newRequestBody(x.request, limit)
	if err != nil {
		x.refuse(problemBody.withDetail(err.Error()))
		return
	}
	x.body = body
	x.pool = route.SelectPool(x.route, rand.Float64())
	if !body.held() {
		// Without this, net/http/1.1 swallows the rest of the upload as soon as
		// the answer begins.
		http.NewResponseController(x.writer).EnableFullDuplex()
	}
	if err := x.claim(ctx); err != nil {
		x.refuse(problemOfClaim(err))
		return
	}
	a, failure := x.try(ctx, limit)
	if failure != nil {
		x.refuse(failure.problem())
		return
	}
	defer a.close()
	x.answer(ctx, a, limit)
}

// IdempotencyHeader holds the key under which a caller sends a request again.
const IdempotencyHeader = "Idempotency-Key"

// claim claims the request's idempotency key, if it must run at most once.
func (x *exchange) claim(ctx context.Context) error {
	key := x.request.Header.Get(IdempotencyHeader)
	if key == "" || x.route.Idempotent {
		return nil
	}
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return x.handler.options.Claim(ctx, claim.KeyOf(workspace, x.route.Name, key))
}

// ApplyConfig cuts off requests whose key the new view no longer gives to their
// workspace, after a grace period.
func (h *Handler) ApplyConfig(v *Config) {
	h.guard.apply(v, h.options.KeyGrace)
}

// InFlight returns the number of requests with a key that are on their way.
func (h *Handler) InFlight() int { return h.guard.len() }

// Close closes all idle connections to backend servers.
func (h *Handler) Close() { h.pools.close() }
