package proxy

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/dottereldeal/dottereldeal/health"
)

// promisesNotRun reports whether callers take a status for the promise that the request has not
// run and never will, and therefore send it again even if it must run at most once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// isFalsePromise reports whether a status must not reach the caller. It is that of a backend server
// that does not say that it refused the request, so the request may have run.
func (x *exchange) isFalsePromise(status int) bool {
	return !x.route.Idempotent && promisesNotRun(status)
}

// withheldError is the cause of attempts whose response is withheld from the caller.
type withheldError struct{ status int }

// Error implements error.
func (e *withheldError) Error() string {
	return fmt.Sprintf("the backend server answered with %d and may have run the request", e.status)
}

// withhold ends an attempt whose response must not reach the caller. The backend server is judged
// by its response as usual. The rest of a response that is not complete yet is not read.
func (a *attempt) withhold(r *backendResponse) *failure {
	status := r.response.StatusCode
	err := &withheldError{status: status}
	a.detail = err.Error()
	a.exchange.handler.metrics.withheld.WithLabelValues(strconv.Itoa(status)).Inc()
	r.reportComplete()
	r.close()
	return &failure{kind: health.Failed, outcome: Unknown, reachedBackend: true, cause: err}
}
