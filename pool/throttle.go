package pool

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/sched"
)

const (
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
	return rand.Float64() < sched.ThrottledRate(l.perSecond)*share*elapsed.Seconds()
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
		if current.PoolOfCell(cell) != pool {
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
