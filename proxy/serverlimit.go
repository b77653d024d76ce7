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

// invalidLimitInterval is the shortest time between two log lines about invalid limits.
const invalidLimitInterval = 10 * time.Second

// errInvalidLimit means that a response names a limit that is not a rate.
var errInvalidLimit = errors.New("the limit is not a non-negative decimal number")

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

// readLimit reads the limit that a response names. An invalid one says nothing.
func (a *attempt) readLimit(header http.Header) {
	h := a.exchange.handler
	limit, err := h.options.Headers.limit(header)
	a.limit = limit
	if err == nil {
		return
	}
	now := h.options.Clock.Now()
	last := h.invalidLimitLogged.Load()
	if last != 0 && now.Sub(time.Unix(0, last)) < invalidLimitInterval || !h.invalidLimitLogged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	h.options.Logger.Warn("invalid limit ignored", slog.String("target", a.choice.Target.Name),
		slog.Any("limit", header.Values(h.options.Headers.Limit)), slog.String("reason", err.Error()))
}
