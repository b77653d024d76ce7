package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// tried is the end of one attempt.
type tried struct {
	answer  *answer
	failure *failure
	// number is the attempt's place in the trial.
	number int
}

// Reasons to end an attempt early.
var (
	errLost = errors.New("another attempt was answered first")
	errLate = errors.New("a later attempt was answered first")
)

// trial is the series of attempts of one request.
type trial struct {
	exchange *exchange
	limit    *deadline
	results  chan tried
	running  int
	used     []string
	// arrived is the number of attempts that reached a backend server.
	arrived int
	// cancels end the attempts' contexts. The attempt whose answer is used keeps
	// its context until the answer has been sent.
	cancels []context.CancelCauseFunc
	// last is the newest failure, and ran says whether any attempt may have run.
	last *failure
	ran  Outcome
	// spare is a whole answer with a server error, used if there is no better one.
	spare *answer
}

// try sends the request to backend servers until there is a usable answer. A
// request that may have run is sent again only if its route is idempotent; then
// a late answer is hedged by a second attempt. Further attempts draw on a budget.
func (x *exchange) try(ctx context.Context, limit *deadline) (*answer, *failure) {
	x.handler.budget.Deposit()
	t := &trial{exchange: x, limit: limit, results: make(chan tried, mostTries), ran: NotRun}
	if err := t.start(ctx); err != nil {
		return nil, &failure{outcome: NotRun, cause: err}
	}
	got := t.await(ctx)
	t.abandonRest(got)
	if got != nil {
		return got, nil
	}
	if t.spare != nil {
		return t.spare, nil
	}
	t.last.outcome = t.ran
	return nil, t.last
}

// pickRequest describes the request to whoever chooses its backend server.
func (x *exchange) pickRequest(used []string, limit *deadline) pick.Request {
	r := pick.Request{
		Avoid: used, Idempotent: x.route.Idempotent, Rank: x.route.Rank, Timeout: limit.left(), Bytes: x.body.length,
		Objective: time.Duration(x.route.Objective) - x.handler.options.Clock.Now().Sub(x.arrived),
	}
	if x.workspace != nil {
		r.Workspace = x.workspace.Name
		if x.workspace.Rank != nil {
			r.Rank = *x.workspace.Rank
		}
	}
	if x.route.Objective == 0 {
		r.Objective = 0
	}
	return r
}

// attempts returns how many backend servers the request may be sent to.
func (x *exchange) attempts() int {
	if x.route.Attempts > 0 {
		return min(x.route.Attempts, maxAttempts)
	}
	return maxAttempts
}

// start begins one attempt at a backend server that was not used yet.
func (t *trial) start(ctx context.Context) error {
	r := t.exchange.pickRequest(t.used, t.limit)
	// An attempt that is still running, or failed after its first byte, has arrived. One
	// that found nobody has cost no backend server anything.
	r.Arrived = t.arrived+t.running > 0
	choice, err := t.exchange.handler.options.Picker.Pick(ctx, t.exchange.pool, r)
	if err != nil {
		return err
	}
	if r.Arrived && !choice.RetryCounted && !t.exchange.handler.budget.Withdraw() {
		choice.Done(health.Result{Kind: health.Cancelled})
		return pick.ErrRetryBudget
	}
	t.used = append(t.used, choice.Target.Name)
	t.running++
	number := len(t.cancels)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	t.cancels = append(t.cancels, cancel)
	a := &attempt{exchange: t.exchange, choice: choice}
	go func() {
		got, failed := a.run(attemptCtx, t.limit)
		t.results <- tried{answer: got, failure: failed, number: number}
	}()
	return nil
}

// await returns the first usable answer, or nil.
func (t *trial) await(ctx context.Context) *answer {
	hedge := time.NewTimer(t.hedgeAfter())
	defer hedge.Stop()
	for t.running > 0 {
		select {
		case one := <-t.results:
			t.running--
			if one.failure == nil || one.failure.arrived {
				t.arrived++
			}
			if t.usable(one) {
				t.cancelOthers(one.number)
				return one.answer
			}
			t.again(ctx)
		case <-hedge.C:
			if t.mayHedge(ctx) && t.startFurther(ctx, "late") {
				hedge.Reset(t.hedgeAfter())
			}
		}
	}
	return nil
}

// noHedge is a time after which no request is still waiting.
const noHedge = 24 * time.Hour

func (t *trial) hedgeAfter() time.Duration {
	x := t.exchange
	if !x.route.Idempotent {
		return noHedge
	}
	if d := x.handler.options.Picker.HedgeDelay(x.pool); d > 0 {
		return d
	}
	return noHedge
}

func (t *trial) mayHedge(ctx context.Context) bool {
	return t.exchange.route.Idempotent && t.exchange.body.held() && t.mayContinue(ctx)
}

// cancelOthers ends all attempts but one. Those that began before it are late.
func (t *trial) cancelOthers(winner int) {
	for number, cancel := range t.cancels {
		switch {
		case number < winner:
			cancel(errLate)
		case number > winner:
			cancel(errLost)
		}
	}
}

// usable judges the end of an attempt. A server error of an idempotent request
// is kept in case nothing better comes.
func (t *trial) usable(one tried) bool {
	if one.failure != nil {
		t.cancels[one.number](nil)
		t.last = one.failure
		if one.failure.outcome == Unknown {
			t.ran = Unknown
		}
		return false
	}
	one.answer.cancel = t.cancels[one.number]
	failed := one.answer.whole && one.answer.response.StatusCode >= http.StatusInternalServerError
	if !failed || !t.exchange.route.Idempotent {
		return true
	}
	if t.spare != nil {
		t.spare.close()
	}
	t.spare = one.answer
	t.ran = Unknown
	t.last = &failure{kind: health.Failed, outcome: Unknown, arrived: true, cause: errors.New("server error")}
	return false
}

// again starts a further attempt after one that failed, if that is allowed.
func (t *trial) again(ctx context.Context) {
	if t.running > 0 || !t.mayContinue(ctx) {
		return
	}
	if t.last.outcome != NotRun && !t.exchange.route.Idempotent {
		return
	}
	t.startFurther(ctx, string(t.last.kind))
}

func (t *trial) mayContinue(ctx context.Context) bool {
	tried := t.arrived + t.running
	return tried < t.exchange.attempts() && len(t.cancels) < mostTries && ctx.Err() == nil && t.exchange.body.again()
}

// startFurther starts an attempt that draws on the budget.
func (t *trial) startFurther(ctx context.Context, reason string) bool {
	if err := t.start(ctx); err != nil {
		t.exchange.logNoFurther(reason, err.Error())
		return false
	}
	t.exchange.handler.metrics.retries.WithLabelValues(reason).Inc()
	return true
}

// abandonRest releases what is not used, also of attempts that are still ending.
func (t *trial) abandonRest(used *answer) {
	if used != nil && t.spare != nil {
		t.spare.close()
	}
	rest := t.running
	if rest == 0 {
		return
	}
	results := t.results
	go func() {
		for range rest {
			one := <-results
			if one.answer != nil {
				one.answer.close()
			}
		}
	}()
}
