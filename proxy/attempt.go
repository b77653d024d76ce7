package proxy

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// attempt is one try of a request at one backend server.
type attempt struct {
	exchange *exchange
	choice   pick.Choice
	conn     *countedConn
	start    uint64
	// sent says that an earlier connection of this attempt took some bytes.
	sent bool
	// detail says why the attempt failed.
	detail string
	// cold says that the answer called the backend server cold.
	cold bool
}

// failure is an attempt without a usable answer.
type failure struct {
	kind    health.Kind
	outcome Outcome
	cause   error
	// arrived says that a backend server may have got some of the request.
	arrived bool
}

// problem returns the refusal for a failure.
func (f *failure) problem() problem {
	switch {
	case errors.Is(f.cause, ErrKeyWithdrawn):
		return problemWithdrawn.withOutcome(f.outcome)
	case f.outcome == NotRun:
		var full interface{ After() time.Duration }
		if errors.As(f.cause, &full) {
			return problemNoTarget.withDetail(f.cause.Error()).withRetryAfter(full.After())
		}
		return problemNoTarget.withDetail(f.cause.Error())
	case errors.Is(f.cause, ErrDeadline), errors.Is(f.cause, ErrStalled):
		return problemDeadline.withOutcome(f.outcome)
	default:
		return problemFailed.withOutcome(f.outcome)
	}
}

// run sends the request once.
func (a *attempt) run(ctx context.Context, limit *deadline) (*answer, *failure) {
	started := time.Now()
	x := a.exchange
	transport := x.handler.pools.of(a.choice.Target)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	request := (&http.Request{
		Method:        x.request.Method,
		URL:           x.targetURL(a.choice.Target.Addr),
		Host:          x.request.Host,
		Header:        x.outgoingHeader(limit.left(), a.choice.Target.Name),
		Body:          x.body.open(x.route.Idempotent),
		ContentLength: x.body.length,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	tripper := transport.reused
	if !x.route.Idempotent {
		tripper = transport.fresh
	}
	response, err := tripper.RoundTrip(request)
	if err != nil {
		return nil, a.fail(ctx, err, time.Since(started))
	}
	names := x.handler.options.Headers
	a.cold = response.Header.Get(names.Phase) == string(fleet.Cold)
	if kind, refused := names.refusal(response); refused {
		response.Body.Close()
		a.report(kind, time.Since(started))
		return nil, &failure{kind: kind, outcome: NotRun, arrived: true, cause: errors.Errorf("backend server refused the request with %d", response.StatusCode)}
	}
	if err := names.foreign(response, x.request.Header.Get(names.RequestID)); err != nil {
		a.abandon()
		response.Body.Close()
		return nil, a.tear(ctx, err, started)
	}
	return a.receive(ctx, response, started)
}

// refusal reports whether an answer says that the request did not run. A server
// that is not the one that the request was meant for cannot be reached at its
// address any more.
func (n Headers) refusal(r *http.Response) (health.Kind, bool) {
	switch {
	case n.Target != "" && r.StatusCode == http.StatusMisdirectedRequest:
		return health.Unreachable, true
	case r.StatusCode >= http.StatusBadRequest && r.Header.Get(n.Shed) != "":
		return health.Shed, true
	default:
		return "", false
	}
}

// Errors of answers that are not the answer to the request.
var (
	errForeignAnswer = errors.New("the answer is to another request")
	errNoProof       = errors.New("the success does not carry the backend server's proof")
	errEncoded       = errors.New("the answer has an encoding that nobody asked for")
)

// foreign returns why an answer is not the backend server's answer to a request.
func (n Headers) foreign(r *http.Response, id string) error {
	if n.RequestID != "" {
		if echoed := r.Header.Get(n.RequestID); echoed != "" && echoed != id {
			return errForeignAnswer
		}
	}
	if n.OriginProof == "" {
		return nil
	}
	if r.Header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if r.StatusCode < http.StatusMultipleChoices && r.Header.Get(n.OriginProof) == "" {
		return errNoProof
	}
	return nil
}

// abandon closes the attempt's connection, so that nothing else is read from it.
func (a *attempt) abandon() {
	if a.conn != nil {
		a.conn.abandon()
	}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	if a.conn != nil && a.conn.count() != a.start {
		a.sent = true
	}
	a.conn, a.start = conn, conn.count()
}

// fail ends an attempt that has no answer. The request did not run if not one
// byte of it left this VM.
func (a *attempt) fail(ctx context.Context, err error, latency time.Duration) *failure {
	f := &failure{kind: health.Unreachable, outcome: NotRun, cause: err}
	if a.conn != nil && a.conn.abandon() != a.start || a.sent {
		f.kind, f.outcome, f.arrived = health.Torn, Unknown, true
	}
	f.blame(ctx)
	a.detail = f.cause.Error()
	a.report(f.kind, latency)
	return f
}

// blame takes the end of the context as the cause, if it has ended. Only the
// deadline and a faster later attempt speak against the backend server.
func (f *failure) blame(ctx context.Context) {
	cause := context.Cause(ctx)
	if cause == nil {
		return
	}
	f.kind, f.cause = health.Cancelled, cause
	switch {
	case errors.Is(cause, ErrDeadline):
		f.kind = health.TimedOut
	case errors.Is(cause, errLate):
		f.kind = health.Late
	}
}

func (a *attempt) report(kind health.Kind, latency time.Duration) {
	a.exchange.handler.metrics.attempts.WithLabelValues(string(kind)).Inc()
	a.logAttempt(kind, latency, a.detail)
	a.choice.Done(health.Result{Kind: kind, Latency: latency, Cold: a.cold})
}

// targetURL returns the request's URL at a backend server.
func (x *exchange) targetURL(addr string) *url.URL {
	u := *x.request.URL
	u.Scheme = "http"
	u.Host = addr
	return &u
}
