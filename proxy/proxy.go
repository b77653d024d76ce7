// Package proxy implements the HTTP handler between callers and backend servers.
//
// Each request is processed in these steps: extract and remove the API key,
// match the route and the workspace, charge the workspace's rate limit, select a
// backend server, forward the request and return the complete response. A refusal
// carries a problem body (RFC 9457) and the header Dottereldeal-Outcome, which
// is not-run only if no backend server has run the request.
//
// # Usage
//
//	handler := proxy.New(
//		proxy.ConfigFunc(config.Load), proxy.Limiter(limiter), proxy.Picker(picker),
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
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/claim"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/route"
	"github.com/dottereldeal/dottereldeal/state"
)

// Errors that end a request.
var (
	// ErrKeyWithdrawn means that the caller's key was withdrawn while the request was in flight.
	ErrKeyWithdrawn = errors.New("the key was withdrawn")
	// ErrDeadline means that the route's deadline has passed.
	ErrDeadline = errors.New("the deadline has passed")
	// ErrStalled means that no bytes of a body were transferred within the stall time-out.
	ErrStalled = errors.New("the transfer of the body stalled")
)

// Handler is an http.Handler that forwards requests to backend servers.
type Handler struct {
	options     Options
	keys        keyExtractor
	transports  *transports
	inFlight    *tracker
	retryBudget *retry.Budget
	metrics     *metrics
	prospect    prospect
	// received and sent pace bodies in both directions of the link.
	received, sent *pacer
	// invalidHeaderLogged is when an invalid header of a backend server was last logged, in
	// nanoseconds since the Unix epoch.
	invalidHeaderLogged atomic.Int64
}

func New(opts ...Option) *Handler {
	o := newOptions(opts...)
	return &Handler{
		options:     o,
		keys:        newKeyExtractor(o),
		transports:  newTransports(o.EntryCount, o.Dial, o.KeepConnections),
		inFlight:    newTracker(),
		retryBudget: retry.NewBudget(o.RetryBudget...),
		metrics:     newMetrics(o.Meter),
		received:    newPacer(o.LinkRate),
		sent:        newPacer(o.LinkRate),
	}
}

// exchange is a request in flight together with its response.
type exchange struct {
	handler   *Handler
	writer    http.ResponseWriter
	request   *http.Request
	config    *Config
	key       string
	workspace *state.Workspace
	route     *state.Route
	// pool is the pool selected for this request by its route.
	pool       string
	receivedAt time.Time
	body       *requestBody
	// print identifies the request among all entries. It is the zero value if too little of the
	// body arrived in time; see fingerprint.
	print guard.Print
	// attempted is set once an attempt was started, begun once an answer was.
	attempted, begun bool
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to break off an answer that
// must not look complete, and in no other way.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.metrics.requests.Inc()
	x := &exchange{handler: h, writer: w, request: r, receivedAt: h.options.Clock.Now()}
	defer x.endPanic()
	x.awaitConfig()
	x.config = h.options.ConfigFunc()
	if p, refused := x.admit(); refused {
		x.refuse(p)
		return
	}
	x.forward()
}

// endPanic answers a request whose handling has panicked.
func (x *exchange) endPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	x.notePanic(cause)
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	clear(x.writer.Header())
	outcome := NotRun
	if x.attempted {
		outcome = Unknown
	}
	x.refuse(problemInternal.withOutcome(outcome))
}

// awaitConfig waits, for a limited time, for the first configuration after the start
// of this VM.
func (x *exchange) awaitConfig() {
	configured := x.handler.options.Configured
	select {
	case <-configured:
		return
	default:
	}
	if configured == nil {
		return
	}
	timeout := maxConfigWait
	if callerTimeout := x.callerTimeout(); callerTimeout > 0 {
		timeout = min(timeout, callerTimeout/configWaitDivisor)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-configured:
	case <-timer.C:
	case <-x.request.Context().Done():
	}
}

// admit authenticates the request, matches its route and charges the rate limit. It
// reports whether the request is refused.
func (x *exchange) admit() (problem, bool) {
	if err := x.handler.options.ServingCheck(); err != nil {
		return problemNotServing.withDetail(err.Error()), true
	}
	if p, refused := x.checkRequestLine(); refused {
		return p, true
	}
	key, hasKey := x.handler.keys.extract(x.request)
	x.key = key
	r, result := x.config.Routes.Match(x.request.Host, x.request.URL.Path, x.request.Method)
	x.route = r
	open := result == route.Found && r.Open
	if !open {
		if p, refused := x.authenticate(hasKey); refused {
			return p, true
		}
	}
	switch result {
	case route.NotFound:
		return x.unlessOutdated(problemNoRoute), true
	case route.MethodNotAllowed:
		return x.unlessOutdated(problemMethod), true
	}
	if open {
		return problem{}, false
	}
	return x.chargeRate()
}

// checkRequestLine refuses requests that a backend server might interpret
// differently: CONNECT, and paths that are not absolute or contain dot segments.
func (x *exchange) checkRequestLine() (problem, bool) {
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

func (x *exchange) authenticate(hasKey bool) (problem, bool) {
	if !hasKey {
		return problemNoKey, true
	}
	w, known := x.config.State.Workspace(state.HashKey(x.key))
	if !known {
		return x.unlessOutdated(problemUnknownKey), true
	}
	x.workspace = w
	if strings.Contains(x.request.URL.Path, x.key) {
		return problemKeyInPath, true
	}
	return problem{}, false
}

// unlessOutdated returns the problem of a request whose key or route is not in the
// configuration. If that may lack an accepted change, another VM may well know them.
func (x *exchange) unlessOutdated(p problem) problem {
	if err := x.handler.options.CurrentCheck(); err != nil {
		return problemOutdated.withDetail(err.Error())
	}
	return p
}

func (x *exchange) chargeRate() (problem, bool) {
	if x.workspace.Unlimited {
		return problem{}, false
	}
	timeout, _ := x.remaining()
	ctx, cancel := context.WithTimeout(x.request.Context(), timeout)
	defer cancel()
	admission := x.handler.options.Limiter.Admit(ctx, x.workspace)
	if admission.OK {
		return problem{}, false
	}
	if admission.Unavailable {
		return problemLimitsUnavailable.withCause(admission.Cause).withRetryAfter(admission.RetryAfter), true
	}
	detail := fmt.Sprintf("rate %g/s, burst %g", x.workspace.Rate, x.workspace.Burst)
	return problemOverRate.withDetail(detail).withRetryAfter(admission.RetryAfter), true
}

// remaining returns the time until the request's deadline, and whether the caller
// has set a deadline of its own.
func (x *exchange) remaining() (left time.Duration, setByCaller bool) {
	timeout := time.Duration(x.route.Deadline)
	if callerTimeout := x.callerTimeout(); callerTimeout > 0 {
		timeout, setByCaller = min(timeout, callerTimeout), true
	}
	return timeout - x.handler.options.Clock.Now().Sub(x.receivedAt), setByCaller
}

// callerTimeout returns the time-out that the caller has set in a header, or 0 if there is none.
func (x *exchange) callerTimeout() time.Duration {
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

// forward sends the request to backend servers and the response to the caller.
func (x *exchange) forward() {
	ctx, cancel := context.WithCancelCause(x.request.Context())
	defer cancel(nil)
	if x.workspace != nil {
		remove := x.handler.inFlight.add(state.HashKey(x.key), x.workspace.Name, cancel)
		defer remove()
	}
	timeout, setByCaller := x.remaining()
	deadline := newRequestDeadline(timeout, setByCaller, cancel)
	defer deadline.stop()
	body, err := newRequestBody(x.request, deadline, x.handler.received)
	if err != nil {
		x.refuse(problemBody.withDetail(err.Error()))
		return
	}
	x.body = body
	x.print = x.fingerprint()
	x.pool = route.SelectPool(x.route, rand.Float64())
	if !x.fitsBeforeStop(deadline.remaining()) {
		x.refuse(problemStopping)
		return
	}
	if !body.buffered() {
		// Without full duplex, the HTTP/1 server of net/http discards the rest of the
		// upload as soon as the response begins.
		http.NewResponseController(x.writer).EnableFullDuplex()
	}
	if err := x.claimIdempotencyKey(ctx); err != nil {
		x.refuse(claimProblem(err))
		return
	}
	response, failure := x.roundTrip(ctx, deadline)
	if failure != nil {
		x.refuse(failure.problem())
		return
	}
	defer response.close()
	x.sendResponse(ctx, response, deadline)
}

// fitsBeforeStop reports whether the request will be answered before a planned stop ends it.
func (x *exchange) fitsBeforeStop(timeout time.Duration) bool {
	stopBy := x.handler.options.StopBy()
	if stopBy.IsZero() {
		return true
	}
	needed := timeout
	if usual := usualFactor * x.handler.options.Picker.HedgeDelay(x.pool); usual > 0 {
		needed = min(needed, usual)
	}
	return needed <= stopBy.Sub(x.handler.options.Clock.Now())
}

// fingerprint returns what identifies the request among all entries, or the zero value if too
// little of its body has arrived yet.
func (x *exchange) fingerprint() guard.Print {
	if x.print != (guard.Print{}) || x.body == nil {
		return x.print
	}
	head, length, arrived := x.body.start()
	if !arrived {
		return guard.Print{}
	}
	workspace := ""
	if x.workspace != nil {
		workspace = x.workspace.Name
	}
	return guard.PrintOf(workspace, x.request.Method, x.request.URL.RequestURI(), length, head)
}

// latePrint waits for the fingerprint until the context ends.
func (x *exchange) latePrint(ctx context.Context) guard.Print {
	x.body.awaitStart(ctx)
	return x.fingerprint()
}

// IdempotencyHeader is the header with the key that identifies repeated sends of a request.
const IdempotencyHeader = "Idempotency-Key"

// claimIdempotencyKey claims the request's idempotency key if the request must run at
// most once.
func (x *exchange) claimIdempotencyKey(ctx context.Context) error {
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

// ApplyConfig cancels, after a grace period, the requests in flight whose key no longer
// belongs to their workspace.
func (h *Handler) ApplyConfig(c *Config) {
	h.inFlight.cancelWithdrawn(c, h.options.KeyGrace)
}

// InFlight returns the number of authenticated requests in flight.
func (h *Handler) InFlight() int { return h.inFlight.len() }

// CloseIdle closes all idle connections to backend servers.
func (h *Handler) CloseIdle() { h.transports.close() }

// Close closes all idle connections to backend servers.
func (h *Handler) Close() { h.transports.close() }
