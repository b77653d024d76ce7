package pool

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// throttleBurst is the time in which a server may receive at once what its limit allows.
	throttleBurst = 250 * time.Millisecond
	// maxThrottlePause is the longest time between two requests to a server with a limit. Only
	// the answer to a request shows that a limit has ended.
	maxThrottlePause = 5 * time.Second
	// fallbackLimitShare is the part of the limits that entries use together while a holder
	// does not answer, and localLimitShare if no holder assigns requests at all.
	fallbackLimitShare = 0.25
	localLimitShare    = 0.75
	// maxDrawGap limits the time for which an entry without a holder may make up, so that no
	// requests are saved up.
	maxDrawGap = 250 * time.Millisecond
	// statusDelay is the time in which the holder learns of a limit and publishes it.
	statusDelay = time.Second
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

// throttledRate returns the requests per second that may be sent to a server with a limit.
func throttledRate(limit float64) float64 { return max(limit, 1/maxThrottlePause.Seconds()) }

func (t *throttle) refill(now time.Time) {
	elapsed := max(0, now.Sub(t.refilledAt))
	rate := throttledRate(t.perSecond)
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
		srv.recordLimit(l, now.Add(-routineReportInterval), now)
	}
}

// localLimit is what an entry knows of the limit of a server, for its own choices.
type localLimit struct {
	perSecond float64
	learnedAt time.Time
	// drawnAt is when the entry last drew whether it may send a request.
	drawnAt time.Time
}

// recordLimit updates what this VM knows from an answer, and returns what to report to the
// holder.
func (s *serverStats) recordLimit(r health.Result, now time.Time) health.Limit {
	switch {
	case r.Limit.Stated == health.LimitNamed && s.limit == nil:
		s.limit = &localLimit{perSecond: r.Limit.PerSecond, learnedAt: now, drawnAt: now}
	case r.Limit.Stated == health.LimitNamed:
		s.limit.perSecond, s.limit.learnedAt = r.Limit.PerSecond, now
	case r.Limit.Stated == health.LimitNone && s.limit != nil && now.Add(-r.Latency).After(s.limit.learnedAt):
		s.limit = nil
	default:
		return health.Limit{}
	}
	return r.Limit
}

// publishLimits replaces what this VM knows by the limits that the holder has published,
// except for those that the holder may not know yet.
func (cs *cellState) publishLimits(limits map[string]float64, now time.Time) {
	for name, s := range cs.servers {
		if _, limited := limits[name]; !limited && s.limit != nil && now.Sub(s.limit.learnedAt) > statusDelay {
			s.limit = nil
		}
	}
	for name, perSecond := range limits {
		s := cs.server(name)
		if s.limit == nil {
			s.limit = &localLimit{learnedAt: now, drawnAt: now}
		}
		s.limit.perSecond = perSecond
	}
}

// draw decides at random whether this VM may send a request to a server with a limit, of which
// the share per second is its own. Entries do not know of each other's requests; by chance
// they send as many as all of them may.
func (l *localLimit) draw(share float64, now time.Time) bool {
	elapsed := min(now.Sub(l.drawnAt), maxDrawGap)
	l.drawnAt = now
	return rand.Float64() < throttledRate(l.perSecond)*share*elapsed.Seconds()
}

// withinLimits returns the servers without a limit, and those with one that may be sent a
// request now.
func (cs *cellState) withinLimits(targets []fleet.Target, share float64, now time.Time) (unlimited, allowed []fleet.Target) {
	for _, t := range targets {
		switch s := cs.servers[t.Name]; {
		case s == nil || s.limit == nil:
			unlimited = append(unlimited, t)
		case s.limit.draw(share, now):
			allowed = append(allowed, t)
		}
	}
	return unlimited, allowed
}

// limitShare returns the part of the limit of a server that this VM may use by its own choice.
func (b *Balancer) limitShare() float64 {
	entries := b.options.EntryCount()
	switch {
	case entries == 0:
		return 0
	case b.options.Placement == PlacementHolder:
		return fallbackLimitShare / float64(entries)
	default:
		return localLimitShare / float64(entries)
	}
}

// knownLimits returns the limits that this VM knows of the servers of a pool, in any cell.
func (b *Balancer) knownLimits(pool string) map[string]float64 {
	limits := make(map[string]float64)
	current := b.options.State()
	for cell, cs := range b.cellStates {
		if poolOfCell(cell, current) != pool {
			continue
		}
		for name, s := range cs.servers {
			if s.limit != nil {
				limits[name] = s.limit.perSecond
			}
		}
	}
	return limits
}
