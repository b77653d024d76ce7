package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// attemptResult is the response or the failure of one attempt.
type attemptResult struct {
	response *backendResponse
	failure  *failure
	// index is the position of the attempt in retryLoop.cancels.
	index int
}

// Causes for the cancellation of an attempt because of another one.
var (
	errEarlierWon = errors.New("an earlier attempt was answered first")
	errLaterWon   = errors.New("a later attempt was answered first")
)

// retryLoop runs the attempts of one request.
type retryLoop struct {
	exchange     *exchange
	deadline     *requestDeadline
	results      chan attemptResult
	running      int
	triedTargets []string
	// reached counts the finished attempts that reached a backend server.
	reached int
	// cancels holds the function that cancels each attempt's context. The context of
	// the attempt whose response is used stays valid until the response has been sent.
	cancels     []context.CancelCauseFunc
	lastFailure *failure
	// outcome is Unknown once any attempt may have run the request.
	outcome Outcome
	// fallback is a complete response with a server error, returned if no attempt
	// gets a better one.
	fallback *backendResponse
	// pauses decides when to ask again for an attempt that was refused, and resume fires then. It
	// is nil unless the request waits for that.
	pauses pauses
	resume <-chan time.Time
}

// roundTrip sends the request to backend servers until there is a usable response. A
// request that may have run is retried only if its route is idempotent. Requests of
// idempotent routes are also hedged if a response is late. Retries and hedged attempts
// draw on the retry budget.
func (x *exchange) roundTrip(ctx context.Context, deadline *requestDeadline) (*backendResponse, *failure) {
	x.handler.retryBudget.Deposit()
	l := &retryLoop{exchange: x, deadline: deadline, results: make(chan attemptResult, maxTotalAttempts), outcome: NotRun}
	if err := l.startAttempt(ctx); err != nil {
		return nil, &failure{outcome: NotRun, cause: err}
	}
	response := l.awaitResponse(ctx)
	l.releaseUnused(response)
	if response != nil {
		return response, nil
	}
	if l.fallback != nil {
		return l.fallback, nil
	}
	l.lastFailure.outcome = l.outcome
	return nil, l.lastFailure
}

// pickRequest returns the properties of the request that the picker takes into account.
func (x *exchange) pickRequest(tried []string, deadline *requestDeadline) pick.Request {
	r := pick.Request{
		Route: x.route.Name, Avoid: tried, Idempotent: x.route.Idempotent, Rank: x.route.Rank, Timeout: deadline.remaining(), Bytes: x.body.length,
		Print: x.fingerprint(), Label: x.request.Method + " " + x.request.URL.Path,
		Objective: x.objectiveLeft(),
	}
	if r.Print == (guard.Print{}) {
		r.LatePrint = x.latePrint
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
		if x.workspace.Rank != nil {
			r.Rank = *x.workspace.Rank
		}
	}
	return r
}

// objectiveLeft returns the time until the answer loses value, 0 if it never does.
func (x *exchange) objectiveLeft() time.Duration {
	if x.route.Objective == 0 {
		return 0
	}
	return time.Duration(x.route.Objective) - x.handler.options.Clock.Now().Sub(x.receivedAt)
}

// maxAttempts returns the maximum number of backend servers that the request may reach.
func (x *exchange) maxAttempts() int {
	if x.route.Attempts > 0 {
		return min(x.route.Attempts, defaultMaxAttempts)
	}
	return defaultMaxAttempts
}

// startAttempt starts an attempt at a backend server that has not been tried yet.
func (l *retryLoop) startAttempt(ctx context.Context) error {
	r := l.exchange.pickRequest(l.triedTargets, l.deadline)
	// Running attempts, and those that failed after their first byte, count as having
	// reached a backend server. Attempts that could not connect cost no backend server
	// anything.
	r.Arrived = l.reached+l.running > 0
	r.Hedge = l.running > 0
	choice, err := l.exchange.handler.options.Picker.Pick(ctx, l.exchange.pool, r)
	if err != nil {
		return err
	}
	if r.Arrived && !choice.RetryCounted && !l.exchange.handler.retryBudget.Withdraw() {
		choice.Done(health.Result{Kind: health.Cancelled})
		return pick.ErrRetryBudget
	}
	l.triedTargets = append(l.triedTargets, choice.Target.Name)
	l.running++
	index := len(l.cancels)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	l.cancels = append(l.cancels, cancel)
	a := &attempt{exchange: l.exchange, choice: choice}
	l.exchange.attempted = true
	go func() {
		response, failure := a.runSafely(attemptCtx, l.deadline)
		l.results <- attemptResult{response: response, failure: failure, index: index}
	}()
	return nil
}

// awaitResponse returns the first usable response, or nil if all attempts failed.
func (l *retryLoop) awaitResponse(ctx context.Context) *backendResponse {
	hedge := time.NewTimer(l.hedgeDelay())
	defer hedge.Stop()
	for l.running > 0 || l.resume != nil {
		select {
		case <-l.resume:
			l.resume = nil
			l.retry(ctx)
		case <-l.abandoned(ctx):
			l.resume = nil
			l.lastFailure.applyContextCause(ctx)
		case result := <-l.results:
			l.running--
			if result.failure == nil || result.failure.reachedBackend {
				l.reached++
			}
			if l.accept(result) {
				l.cancelOthers(result.index)
				return result.response
			}
			l.retry(ctx)
		case <-hedge.C:
			if l.running == 0 || l.canHedge(ctx) && l.startExtra(ctx, "late") == nil {
				hedge.Reset(l.hedgeDelay())
			}
		}
	}
	return nil
}

// neverHedge is a delay longer than any request lasts; it disables hedging.
const neverHedge = 24 * time.Hour

func (l *retryLoop) hedgeDelay() time.Duration {
	x := l.exchange
	if !x.route.Idempotent {
		return neverHedge
	}
	if d := x.handler.options.Picker.HedgeDelay(x.pool); d > 0 {
		return d
	}
	return neverHedge
}

func (l *retryLoop) canHedge(ctx context.Context) bool {
	return l.exchange.route.Idempotent && l.exchange.body.buffered() && l.canRetry(ctx)
}

// cancelOthers cancels all attempts except the winner. Attempts that started before the
// winner are reported as late.
func (l *retryLoop) cancelOthers(winner int) {
	for index, cancel := range l.cancels {
		switch {
		case index < winner:
			cancel(errLaterWon)
		case index > winner:
			cancel(errEarlierWon)
		}
	}
}

// accept reports whether the result of an attempt is returned to the caller. A server
// error on an idempotent route is kept as the fallback instead.
func (l *retryLoop) accept(result attemptResult) bool {
	if result.failure != nil {
		l.cancels[result.index](nil)
		l.lastFailure = result.failure
		if result.failure.outcome == Unknown {
			l.outcome = Unknown
		}
		return false
	}
	result.response.cancel = l.cancels[result.index]
	serverError := result.response.complete && result.response.response.StatusCode >= http.StatusInternalServerError
	if !serverError || !l.exchange.route.Idempotent {
		return true
	}
	if l.fallback != nil {
		l.fallback.close()
	}
	l.fallback = result.response
	l.outcome = Unknown
	l.lastFailure = &failure{kind: health.Failed, outcome: Unknown, reachedBackend: true, cause: errors.New("backend server answered with a server error")}
	return false
}

// retry starts another attempt after a failure, unless an attempt is still running or a
// retry is not allowed.
func (l *retryLoop) retry(ctx context.Context) {
	if l.running > 0 || !l.canRetry(ctx) {
		return
	}
	if l.lastFailure.outcome != NotRun && !l.exchange.route.Idempotent {
		return
	}
	err := l.startExtra(ctx, string(l.lastFailure.kind))
	if l.pauses.taken > 0 {
		l.exchange.handler.prospect.note(err == nil)
	}
	if err != nil && l.exchange.handler.prospect.allows() {
		l.pause(err)
	}
}

// pause lets the request wait for a further attempt, if one that was refused now may be possible
// before the request's time is over.
func (l *retryLoop) pause(refusal error) {
	var quarantine *pick.QuarantineError
	if errors.As(refusal, &quarantine) || !errors.Is(refusal, pick.ErrRetryBudget) && !errors.Is(refusal, pick.ErrNoServer) {
		return
	}
	after, _ := retryDelayOf(refusal)
	x := l.exchange
	left := l.deadline.remaining()
	if objective := x.objectiveLeft(); objective > 0 {
		left = min(left, objective)
	}
	if wait, ok := l.pauses.next(after, x.handler.options.Picker.HedgeDelay(x.pool), left, rand.Float64()); ok {
		l.resume = time.After(wait)
	}
}

// abandoned returns a channel that ends the wait for a further attempt. Attempts that run end by
// themselves.
func (l *retryLoop) abandoned(ctx context.Context) <-chan struct{} {
	if l.running > 0 {
		return nil
	}
	return ctx.Done()
}

func (l *retryLoop) canRetry(ctx context.Context) bool {
	attempts := l.reached + l.running
	return attempts < l.exchange.maxAttempts() && len(l.cancels) < maxTotalAttempts && ctx.Err() == nil && l.exchange.body.replayable()
}

// startExtra starts a retry or a hedged attempt, which draws on the retry budget.
func (l *retryLoop) startExtra(ctx context.Context, reason string) error {
	if err := l.startAttempt(ctx); err != nil {
		l.exchange.logNoRetry(reason, err.Error())
		return err
	}
	l.exchange.handler.metrics.retries.WithLabelValues(reason).Inc()
	return nil
}

// releaseUnused closes the responses that are not used, including those of attempts
// that have not finished yet.
func (l *retryLoop) releaseUnused(used *backendResponse) {
	if used != nil && l.fallback != nil {
		l.fallback.close()
	}
	running := l.running
	if running == 0 {
		return
	}
	results := l.results
	go func() {
		for range running {
			result := <-results
			if result.response != nil {
				result.response.close()
			}
		}
	}()
}
