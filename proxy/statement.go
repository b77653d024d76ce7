package proxy

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/health"
)

// invalidHeaderInterval is the shortest time between two log lines about invalid headers of
// backend servers.
const invalidHeaderInterval = 10 * time.Second

// Errors of headers of backend servers, which are ignored.
var (
	// errInvalidLimit means that a response names a limit that is not a rate.
	errInvalidLimit = errors.New("the limit is not a non-negative decimal number")
	// errInvalidPause means that a refusal names a pause that is not a time.
	errInvalidPause = errors.New("the pause is neither a non-negative number of seconds nor a date")
	// errInvalidLeaving means that a response does not say clearly that its server leaves.
	errInvalidLeaving = errors.New("the value is not 1")
)

const (
	// retryAfterHeader names, on refusals, the time for which a backend server wants no further
	// request from this VM.
	retryAfterHeader = "Retry-After"
	// maxPause bounds that time.
	maxPause = 10 * time.Minute
)

// pause returns the time for which the backend server of a refusal wants no further request.
func pause(h http.Header, now time.Time) (time.Duration, error) {
	values := h.Values(retryAfterHeader)
	switch {
	case len(values) == 0:
		return 0, nil
	case len(values) > 1:
		return 0, errInvalidPause
	}
	if at, err := http.ParseTime(values[0]); err == nil {
		return min(max(0, at.Sub(now)), maxPause), nil
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if math.IsNaN(seconds) || seconds < 0 || err != nil && !math.IsInf(seconds, 1) {
		return 0, errInvalidPause
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
}

// leavingValue is the value with which a backend server says that it leaves.
const leavingValue = "1"

// limit returns what a response says about the requests that its backend server takes.
func (n Headers) limit(h http.Header) (health.Limit, error) {
	values := h.Values(n.Limit)
	if n.Limit == "" || len(values) == 0 {
		return health.Limit{Stated: health.LimitNone}, nil
	}
	perSecond, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return health.Limit{}, errInvalidLimit
	}
	return health.Limit{Stated: health.LimitNamed, PerSecond: perSecond}, nil
}

// leaving reports whether a response says that its backend server leaves.
func (n Headers) leaving(h http.Header) (bool, error) {
	values := h.Values(n.Leaving)
	switch {
	case n.Leaving == "" || len(values) == 0:
		return false, nil
	case len(values) > 1 || values[0] != leavingValue:
		return false, errInvalidLeaving
	}
	return true, nil
}

// readStatements reads what a response says about its backend server. An invalid header says
// nothing.
func (a *attempt) readStatements(header http.Header) {
	headers := a.exchange.handler.options.Headers
	var err error
	if a.limit, err = headers.limit(header); err != nil {
		a.logInvalid(headers.Limit, header, err)
	}
	if a.leaving, err = headers.leaving(header); err != nil {
		a.logInvalid(headers.Leaving, header, err)
	}
}

// readPause reads the pause that a refusal names. An invalid one says nothing.
func (a *attempt) readPause(r *http.Response) {
	if r.StatusCode != http.StatusServiceUnavailable {
		return
	}
	var err error
	if a.pause, err = pause(r.Header, a.exchange.handler.options.Clock.Now()); err != nil {
		a.logInvalid(retryAfterHeader, r.Header, err)
	}
}

// logInvalid logs an invalid header of a backend server, once in a while.
func (a *attempt) logInvalid(name string, header http.Header, reason error) {
	h := a.exchange.handler
	now := h.options.Clock.Now()
	last := h.invalidHeaderLogged.Load()
	if last != 0 && now.Sub(time.Unix(0, last)) < invalidHeaderInterval || !h.invalidHeaderLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	h.options.Logger.Warn("invalid header of a backend server ignored", slog.String("target", a.choice.Target.Name),
		slog.String("header", name), slog.Any("values", header.Values(name)), slog.String("reason", reason.Error()))
}
