package sched

import (
	"math"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// throttleBurst is the time in which a server may receive at once what its limit allows.
	throttleBurst = 250 * time.Millisecond
	// maxThrottlePause is the longest time between two requests to a server with a limit. Only
	// the answer to a request shows that a limit has ended.
	maxThrottlePause = 5 * time.Second
)

// throttle keeps the requests of all entries to a server within the limit that it has named.
//
// The load it answers: a server in need, or all servers of a pool, ask for a few requests per
// second while callers send many times that. Every assignment to the server takes a token,
// also retries, probes and those that keep the floor. A request that finds none goes to
// another server, waits or is rejected like one that finds no free slot. The nil throttle
// limits nothing.
type throttle struct {
	// perSecond is the limit, namedAt the time at which an answer last named it.
	perSecond float64
	namedAt   time.Time
	// tokens are the requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// newThrottle returns a throttle without tokens. The server has received requests until now.
func newThrottle(perSecond float64, now time.Time) *throttle {
	return &throttle{perSecond: perSecond, namedAt: now, refilledAt: now}
}

// ThrottledRate returns the requests per second that may be sent to a server with a limit.
func ThrottledRate(limit float64) float64 { return max(limit, 1/maxThrottlePause.Seconds()) }

func (t *throttle) refill(now time.Time) {
	elapsed := max(0, now.Sub(t.refilledAt))
	rate := ThrottledRate(t.perSecond)
	t.tokens = min(t.tokens+elapsed.Seconds()*rate, max(1, rate*throttleBurst.Seconds()))
	t.refilledAt = now
}

// available returns the number of requests that may be sent now.
func (t *throttle) available(now time.Time) int {
	if t == nil {
		return math.MaxInt
	}
	t.refill(now)
	return int(t.tokens)
}

func (t *throttle) take(now time.Time) {
	if t != nil {
		t.refill(now)
		t.tokens--
	}
}

// giveBack returns the token of a request that was not sent.
func (t *throttle) giveBack() {
	if t != nil {
		t.tokens++
	}
}

// name sets the limit that an answer names.
func (t *throttle) name(perSecond float64, now time.Time) {
	t.refill(now)
	t.perSecond, t.namedAt = perSecond, now
	t.refill(now)
}

// recordLimit updates the throttle of a server with the answer to a request sent at a time.
// Answers may overtake each other, so only a request sent after the limit was last named can
// show that it has ended.
func (srv *server) recordLimit(l health.Limit, sent, now time.Time) {
	switch {
	case l.Stated == health.LimitNamed && srv.throttle == nil:
		srv.throttle = newThrottle(l.PerSecond, now)
	case l.Stated == health.LimitNamed:
		srv.throttle.name(l.PerSecond, now)
	case l.Stated == health.LimitNone && srv.throttle != nil && sent.After(srv.throttle.namedAt):
		srv.throttle = nil
	}
}

// assumeLimits adopts the limits that the previous holder has published.
func (s *scheduler) assumeLimits(limits map[string]float64) { s.assumedLimits = limits }

// limits returns the limits of the servers that name one, by server.
func (s *scheduler) limits() map[string]float64 {
	var limits map[string]float64
	for _, srv := range s.servers {
		if srv.throttle == nil {
			continue
		}
		if limits == nil {
			limits = make(map[string]float64)
		}
		limits[srv.name] = srv.throttle.perSecond
	}
	return limits
}

// throttle returns the throttle of a server, which is nil if it names no limit.
func (s *scheduler) throttle(name string) *throttle {
	if srv := s.byName[name]; srv != nil {
		return srv.throttle
	}
	return nil
}

// reportLimit records a limit that an entry saw on the answer to a request that it had sent by
// its own choice. The entry reports the end of a limit only if it knew of the limit before.
func (s *scheduler) reportLimit(name string, l health.Limit, now time.Time) {
	if srv := s.byName[name]; srv != nil {
		srv.recordLimit(l, now.Add(-ReportInterval), now)
	}
}
