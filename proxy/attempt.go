package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// attempt sends a request to one backend server.
type attempt struct {
	exchange *exchange
	choice   pick.Choice
	conn     *countingConn
	// connOffset is the number of bytes written to conn before this attempt.
	connOffset uint64
	// sentOnEarlierConn is set if bytes of the request were written to a connection
	// that net/http has since replaced by another one.
	sentOnEarlierConn bool
	// detail is the reason for a failure, for the log.
	detail string
	// cold is set if the response says that the backend server is in the cold phase.
	cold bool
	// limit is what the response says about the requests that the backend server takes.
	limit health.Limit
	// leaving is set if the response says that the backend server leaves.
	leaving bool
	// pause is the time for which the backend server wants no further request from this VM.
	pause time.Duration
	// reported is set once the picker was told the result.
	reported bool
}

// rejectedRetryAfter is the shortest retry delay after all attempts of a request were rejected
// or found no connection. The actual one is up to twice as long, so that callers spread.
const rejectedRetryAfter = 100 * time.Millisecond

// failure describes an attempt without a usable response.
type failure struct {
	kind    health.Kind
	outcome Outcome
	cause   error
	// reachedBackend is set if a backend server may have received part of the request.
	reachedBackend bool
}

// problem returns the problem with which the request is refused.
func (f *failure) problem() problem {
	var quarantine *pick.QuarantineError
	var withheld *withheldError
	switch {
	case errors.Is(f.cause, ErrKeyWithdrawn):
		return problemKeyWithdrawn.withOutcome(f.outcome)
	case f.outcome == NotRun && errors.As(f.cause, &quarantine):
		return problemQuarantined.withRetryAfter(quarantine.Left)
	case f.outcome == NotRun:
		if after, ok := retryDelayOf(f.cause); ok {
			return problemNoTarget.withDetail(f.cause.Error()).withRetryAfter(after)
		}
		if f.kind != "" {
			// Another server, or the same one, may well take the request a moment later.
			return problemNoTarget.withDetail(f.cause.Error()).withRetryAfter(rejectedRetryAfter + rand.N(rejectedRetryAfter))
		}
		return problemNoTarget.withDetail(f.cause.Error())
	case errors.Is(f.cause, ErrDeadline), errors.Is(f.cause, ErrStalled):
		return problemDeadline.withOutcome(f.outcome)
	case errors.As(f.cause, &withheld):
		return problemAnswerWithheld.withDetail(withheld.Error()).withOutcome(f.outcome)
	default:
		return problemBackendFailed.withOutcome(f.outcome)
	}
}

// retryDelayOf returns the time after which an attempt that the picker refused may be possible, if
// its error says so.
func retryDelayOf(err error) (time.Duration, bool) {
	var retryable interface{ After() time.Duration }
	if !errors.As(err, &retryable) {
		return 0, false
	}
	return retryable.After(), true
}

// errPanicked is the cause of attempts that panicked, which is not the backend server's fault.
var errPanicked = errors.New("the attempt could not be handled")

// runSafely sends the request once. A panic ends the attempt, not the process.
func (a *attempt) runSafely(ctx context.Context, deadline *requestDeadline) (response *backendResponse, f *failure) {
	started := time.Now()
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		a.exchange.notePanic(cause)
		a.abortConn()
		if !a.reported {
			a.report(health.Cancelled, time.Since(started))
		}
		response, f = nil, &failure{kind: health.Cancelled, outcome: Unknown, reachedBackend: true, cause: errPanicked}
	}()
	return a.run(ctx, deadline)
}

// run sends the request once.
func (a *attempt) run(ctx context.Context, deadline *requestDeadline) (*backendResponse, *failure) {
	started := time.Now()
	x := a.exchange
	transports := x.handler.transports.forTarget(a.choice.Target)
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	request := (&http.Request{
		Method:        x.request.Method,
		URL:           x.targetURL(a.choice.Target.Addr),
		Host:          x.request.Host,
		Header:        x.outgoingHeader(deadline.remaining(), a.choice.Target.Name),
		Body:          x.body.newReader(ctx, x.handler.sent),
		ContentLength: x.body.length,
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	transport := transports.keepAlive
	if !x.route.Idempotent {
		transport = transports.singleUse
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, a.failNoResponse(ctx, err, time.Since(started))
	}
	headers := x.handler.options.Headers
	a.cold = response.Header.Get(headers.Phase) == string(fleet.Cold)
	kind, rejected := headers.rejection(response)
	if rejected && !a.answers(response) {
		a.abortConn()
		response.Body.Close()
		return nil, a.failTruncated(ctx, errResponseMismatch, started)
	}
	if rejected {
		if kind == health.Shed {
			a.readStatements(response.Header)
			a.readPause(response)
		}
		response.Body.Close()
		if kind == health.Unreachable {
			a.reportMisdirected(time.Since(started))
		} else {
			a.report(kind, time.Since(started))
		}
		return nil, &failure{kind: kind, outcome: NotRun, reachedBackend: true, cause: errors.Errorf("backend server refused the request with %d", response.StatusCode)}
	}
	if err := headers.verify(response, x.request.Header.Get(headers.RequestID)); err != nil {
		a.abortConn()
		response.Body.Close()
		return nil, a.failTruncated(ctx, err, started)
	}
	a.readStatements(response.Header)
	received, failed := a.receive(ctx, response, started)
	if failed == nil && a.exchange.isFalsePromise(response.StatusCode) {
		return nil, a.withhold(received)
	}
	return received, failed
}

// answers reports whether a refusal is known to be that of this request. A faulty backend server
// may write an earlier one once more on a connection that is reused, while it runs the request.
func (a *attempt) answers(r *http.Response) bool {
	name := a.exchange.handler.options.Headers.RequestID
	if echoed := r.Header.Get(name); name != "" && echoed != "" {
		return echoed == a.exchange.request.Header.Get(name)
	}
	return a.connOffset == 0 && !a.sentOnEarlierConn
}

// rejection reports whether a response says that the backend server did not run the
// request. If another server answers at the address (421), the intended one is
// unreachable there. A 421 with the proof of origin of the intended server is an answer like others.
func (n Headers) rejection(r *http.Response) (health.Kind, bool) {
	shed := len(r.Header.Values(n.Shed)) > 0
	proven := n.OriginProof != "" && r.Header.Get(n.OriginProof) != ""
	switch {
	case n.Target != "" && r.StatusCode == http.StatusMisdirectedRequest && (shed || !proven):
		return health.Unreachable, true
	case r.StatusCode >= http.StatusBadRequest && shed:
		return health.Shed, true
	default:
		return "", false
	}
}

// Errors of responses that fail verification.
var (
	errResponseMismatch   = errors.New("the response belongs to another request")
	errNoOriginProof      = errors.New("the success response lacks the backend server's proof of origin")
	errUnexpectedEncoding = errors.New("the response has a content encoding that was not requested")
)

// verify returns an error unless the response was made by the backend server for the
// request with the given ID.
func (n Headers) verify(r *http.Response, id string) error {
	if n.RequestID != "" {
		if echoed := r.Header.Get(n.RequestID); echoed != "" && echoed != id {
			return errResponseMismatch
		}
	}
	if n.OriginProof == "" {
		return nil
	}
	if r.Header.Get("Content-Encoding") != "" {
		return errUnexpectedEncoding
	}
	if r.StatusCode < http.StatusMultipleChoices && r.Header.Get(n.OriginProof) == "" {
		return errNoOriginProof
	}
	return nil
}

// abortConn closes the attempt's connection, so that nothing more is read from it.
func (a *attempt) abortConn() {
	if a.conn != nil {
		a.conn.abort()
	}
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	if a.conn != nil && a.conn.bytesWritten() != a.connOffset {
		a.sentOnEarlierConn = true
	}
	conn.begin(a.exchange.request.Method, a.choice.Check)
	a.conn, a.connOffset = conn, conn.bytesWritten()
}

// failNoResponse ends an attempt that got no response. The outcome is NotRun only if not
// a single byte of the request was written to a connection.
func (a *attempt) failNoResponse(ctx context.Context, err error, latency time.Duration) *failure {
	f := &failure{kind: health.Unreachable, outcome: NotRun, cause: err}
	if a.conn != nil && a.conn.abort() != a.connOffset || a.sentOnEarlierConn {
		f.kind, f.outcome, f.reachedBackend = health.Torn, Unknown, true
	}
	if a.conn != nil && f.outcome == NotRun {
		if refusal := a.conn.refused(); refusal != nil {
			f.kind, f.cause = health.Cancelled, refusal
		}
	}
	f.applyContextCause(ctx)
	a.detail = f.cause.Error()
	a.report(f.kind, latency)
	return f
}

// applyContextCause replaces the cause of the failure if the context has ended. Only a
// passed deadline and a faster later attempt count against the backend server.
func (f *failure) applyContextCause(ctx context.Context) {
	cause := context.Cause(ctx)
	if cause == nil {
		return
	}
	f.kind, f.cause = health.Cancelled, cause
	switch {
	case errors.Is(cause, ErrDeadline):
		f.kind = health.TimedOut
	case errors.Is(cause, errLaterWon):
		f.kind = health.Late
	}
}

func (a *attempt) report(kind health.Kind, latency time.Duration) {
	a.reported = true
	a.exchange.handler.metrics.attempts.WithLabelValues(string(kind)).Inc()
	a.logAttempt(kind, latency, a.detail)
	a.choice.Done(health.Result{Kind: kind, Latency: latency, Cold: a.cold, Limit: a.limit, Leaving: a.leaving, Pause: a.pause, Print: a.exchange.fingerprint()})
}

// reportMisdirected reports that another server answers at the address. The intended one is gone
// from there until it registers again, like one that has said that it leaves; the answer shows
// neither its state nor that of the path to it.
func (a *attempt) reportMisdirected(latency time.Duration) {
	a.leaving = true
	a.detail = "another server answers at the address"
	a.exchange.handler.metrics.misdirected.Inc()
	a.report(health.Cancelled, latency)
}

// targetURL returns the request's URL with the address of a backend server.
func (x *exchange) targetURL(addr string) *url.URL {
	u := *x.request.URL
	u.Scheme = "http"
	u.Host = addr
	return &u
}
