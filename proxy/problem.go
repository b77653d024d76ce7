package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/claim"
)

// OutcomeHeader is the header of a refusal that tells whether the request may have run.
const OutcomeHeader = "Dottereldeal-Outcome"

// Outcome tells whether a refused request may have run.
type Outcome string

const (
	// NotRun means that no backend server has run the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// problem describes a refusal.
type problem struct {
	status     int
	kind       string
	title      string
	detail     string
	outcome    Outcome
	retryAfter time.Duration
	// cause is logged but not sent to callers, because it names VMs of the fleet.
	cause string
}

var (
	problemNoKey             = problem{status: http.StatusUnauthorized, kind: "no-key", title: "The request has no key", outcome: NotRun}
	problemUnknownKey        = problem{status: http.StatusUnauthorized, kind: "unknown-key", title: "The key is not known", outcome: NotRun}
	problemKeyWithdrawn      = problem{status: http.StatusUnauthorized, kind: "key-withdrawn", title: "The key was withdrawn", outcome: NotRun}
	problemKeyInPath         = problem{status: http.StatusBadRequest, kind: "key-in-path", title: "The path contains the key", outcome: NotRun}
	problemPath              = problem{status: http.StatusBadRequest, kind: "path", title: "The path is not allowed", outcome: NotRun}
	problemBody              = problem{status: http.StatusBadRequest, kind: "body", title: "The request body could not be read", outcome: NotRun}
	problemNoRoute           = problem{status: http.StatusNotFound, kind: "no-route", title: "No route matches", outcome: NotRun}
	problemMethod            = problem{status: http.StatusMethodNotAllowed, kind: "method", title: "The method is not allowed here", outcome: NotRun}
	problemOverRate          = problem{status: http.StatusTooManyRequests, kind: "over-rate", title: "The workspace is over its rate", outcome: NotRun}
	problemLimitsUnavailable = problem{status: http.StatusServiceUnavailable, kind: "limits-unavailable", title: "The workspace's rate could not be charged in time", outcome: NotRun}
	problemClaimed           = problem{status: http.StatusConflict, kind: "idempotency-key-claimed", title: "A request with this idempotency key was sent before", outcome: Unknown}
	problemClaimFailed       = problem{status: http.StatusServiceUnavailable, kind: "idempotency-key-unknown", title: "The idempotency key could not be claimed", outcome: NotRun, retryAfter: time.Second}
	problemNotServing        = problem{status: http.StatusServiceUnavailable, kind: "not-serving", title: "This VM does not serve at present", outcome: NotRun, retryAfter: time.Second}
	problemStopping          = problem{status: http.StatusServiceUnavailable, kind: "stopping", title: "This VM stops before the request can be answered", outcome: NotRun, retryAfter: 50 * time.Millisecond}
	problemOutdated          = problem{status: http.StatusServiceUnavailable, kind: "outdated-configuration", title: "This VM may lack an accepted change", outcome: NotRun, retryAfter: 200 * time.Millisecond}
	problemNoTarget          = problem{status: http.StatusServiceUnavailable, kind: "no-backend-server", title: "No backend server can take the request", outcome: NotRun, retryAfter: time.Second}
	problemQuarantined       = problem{status: http.StatusServiceUnavailable, kind: "quarantined", title: "Backend servers crashed while they ran this request", outcome: NotRun}
	problemDeadline          = problem{status: http.StatusGatewayTimeout, kind: "deadline", title: "The deadline has passed"}
	problemInternal          = problem{status: http.StatusInternalServerError, kind: "internal", title: "The request could not be handled"}
	problemAnswerWithheld    = problem{status: http.StatusBadGateway, kind: "answer-withheld", title: "The backend server failed and may have run the request"}
	problemBackendFailed     = problem{status: http.StatusBadGateway, kind: "backend-server-failed", title: "The backend server gave no whole answer"}
)

// claimProblem returns the problem for a failed claim of an idempotency key.
func claimProblem(err error) problem {
	if errors.Is(err, claim.ErrClaimed) {
		return problemClaimed
	}
	return problemClaimFailed
}

func (p problem) withDetail(text string) problem {
	p.detail = text
	return p
}

func (p problem) withCause(text string) problem {
	p.cause = text
	return p
}

func (p problem) withOutcome(o Outcome) problem {
	p.outcome = o
	return p
}

func (p problem) withRetryAfter(d time.Duration) problem {
	p.retryAfter = max(d, time.Millisecond)
	return p
}

// problemJSON is the JSON body of a refusal (RFC 9457).
type problemJSON struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
}

// problemTypePrefix is the prefix of the type of every problem.
const problemTypePrefix = "urn:dottereldeal:problem:"

// retryAfter formats a duration for Retry-After: in whole seconds, as the standard
// requires, or with milliseconds as a fraction if callers support it.
func (o Options) retryAfter(d time.Duration) string {
	if o.FractionalRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// refuse responds to the caller with a problem.
func (x *exchange) refuse(p problem) {
	x.handler.metrics.refused.WithLabelValues(p.kind).Inc()
	x.logRefusal(p)
	body, err := json.Marshal(problemJSON{
		Type: problemTypePrefix + p.kind, Title: p.title, Status: p.status, Detail: p.detail, Outcome: p.outcome,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := x.writer.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(OutcomeHeader, string(p.outcome))
	if p.retryAfter > 0 {
		header.Set("Retry-After", x.handler.options.retryAfter(p.retryAfter))
	}
	if p.status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", x.handler.options.KeyScheme)
	}
	x.writer.WriteHeader(p.status)
	x.begun = true
	x.writer.Write(body)
}
