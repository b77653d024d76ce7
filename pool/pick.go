package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
)

// eligibleCache holds the eligible servers of the pools for one directory and state.
type eligibleCache struct {
	directory  *fleet.Directory
	stateIndex uint64
	pools      sync.Map // pool name to []fleet.Target
}

// eligible returns the backend servers of a pool that may receive new requests. The slice
// stays the same until the directory or the state changes, and must not be modified.
func (b *Balancer) eligible(pool string) []fleet.Target {
	directory, current := b.fleet.Directory(), b.options.State()
	cache := b.eligibleServers.Load()
	if cache == nil || cache.directory != directory || cache.stateIndex != current.Index() {
		cache = &eligibleCache{directory: directory, stateIndex: current.Index()}
		b.eligibleServers.Store(cache)
	}
	if list, ok := cache.pools.Load(pool); ok {
		return list.([]fleet.Target)
	}
	list, _ := cache.pools.LoadOrStore(pool, pick.Eligible(directory.Pool(pool), current))
	return list.([]fleet.Target)
}

// Pick returns the backend server that the pool's holder assigns. If the holder is not
// asked or does not answer, Pick chooses locally: a warm server, or a cold one for which
// a permit is available. If there are only cold servers, it waits for a permit.
func (b *Balancer) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	if choice, err, ok := b.requestSlot(ctx, pool, r); ok {
		return choice, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	for {
		choice, wait, ok := b.pick(pool, r)
		if ok {
			return choice, nil
		}
		if wait == nil || !b.awaitPermit(ctx, wait) {
			return pick.Choice{}, pick.ErrNoServer
		}
	}
}

// HedgeDelay returns the time after which a request to the pool should be hedged.
func (b *Balancer) HedgeDelay(pool string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poolState(pool).latency.hedgeDelay()
}

// pick makes one local choice. If none is possible but a permit may still arrive, it
// returns the state of the pool to wait on.
func (b *Balancer) pick(pool string, r pick.Request) (pick.Choice, *poolState, bool) {
	targets := b.eligible(pool)
	settings, _ := state.Get[state.Pool](b.options.State(), pool)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	ps := b.poolState(pool)
	warm, cold := ps.splitCold(targets, now)
	b.requestPermit(ps, len(cold) > 0, now)
	if name, ok := ps.permits.take(now); ok {
		for _, t := range cold {
			if t.Name == name && !slices.Contains(r.Avoid, name) {
				return b.newChoice(ps, t, true, now), nil, true
			}
		}
		ps.permits.unused = append(ps.permits.unused, name)
	}
	warm = ps.withoutEjected(warm, len(targets), settings.Floor)
	warm = withoutTried(warm, r.Avoid)
	warm = ps.withoutFailing(warm, settings.Floor, now)
	if len(warm) == 0 {
		if len(cold) > 0 && len(r.Avoid) == 0 {
			return pick.Choice{}, ps, false
		}
		return pick.Choice{}, nil, false
	}
	return b.newChoice(ps, ps.lessLoaded(warm), false, now), nil, true
}

// splitCold separates the backend servers for which a request needs a permit.
func (ps *poolState) splitCold(targets []fleet.Target, now time.Time) (warm, cold []fleet.Target) {
	for _, t := range targets {
		s := ps.servers[t.Name]
		sawCold := s != nil && now.Before(s.coldUntil)
		if sawCold || slices.Contains(ps.status.cold, t.Name) || ps.announcedCold(t) {
			cold = append(cold, t)
			continue
		}
		warm = append(warm, t)
	}
	return warm, cold
}

// announcedCold reports whether a backend server announces that it is cold and has not
// finished its ramp.
func (ps *poolState) announcedCold(t fleet.Target) bool {
	boot, warmed := ps.status.warmed[t.Name]
	return t.Phase == fleet.Cold && !(warmed && boot == t.Boot)
}

// withoutEjected removes the ejected backend servers, as far as the floor permits.
func (ps *poolState) withoutEjected(targets []fleet.Target, total int, floor float64) []fleet.Target {
	most := health.MaxEjected(total, floor)
	ejected := ps.status.ejected[:min(most, len(ps.status.ejected))]
	if len(ejected) == 0 {
		return targets
	}
	var kept []fleet.Target
	for _, t := range targets {
		if !slices.Contains(ejected, t.Name) {
			kept = append(kept, t)
		}
	}
	return kept
}

// withoutTried removes the backend servers that earlier attempts used.
func withoutTried(targets []fleet.Target, used []string) []fleet.Target {
	if len(used) == 0 {
		return targets
	}
	var kept []fleet.Target
	for _, t := range targets {
		if !slices.Contains(used, t.Name) {
			kept = append(kept, t)
		}
	}
	return kept
}

// withoutFailing removes the backend servers that fail the requests of this VM, unless
// that would go below the floor.
func (ps *poolState) withoutFailing(targets []fleet.Target, floor float64, now time.Time) []fleet.Target {
	var kept []fleet.Target
	for _, t := range targets {
		if s := ps.servers[t.Name]; s == nil || !now.Before(s.avoidUntil) {
			kept = append(kept, t)
		}
	}
	if len(targets)-len(kept) > health.MaxEjected(len(targets), floor) {
		return targets
	}
	return kept
}

// lessLoaded picks two backend servers at random and returns the one with fewer
// requests of this VM in flight per slot.
func (ps *poolState) lessLoaded(targets []fleet.Target) fleet.Target {
	first := targets[rand.IntN(len(targets))]
	second := targets[rand.IntN(len(targets))]
	if ps.load(second) < ps.load(first) {
		return second
	}
	return first
}

func (ps *poolState) load(t fleet.Target) float64 {
	s := ps.servers[t.Name]
	if s == nil {
		return 0
	}
	return float64(len(s.inFlight)) / float64(max(1, t.Slots))
}

// newChoice adds a request in flight and returns the choice of its backend server.
func (b *Balancer) newChoice(ps *poolState, t fleet.Target, permitted bool, now time.Time) pick.Choice {
	b.lastID++
	id := b.lastID
	ps.server(t.Name).inFlight[id] = now
	return pick.Choice{Target: t, Done: func(r health.Result) { b.finish(ps, t.Name, id, permitted, r) }}
}

// finish records the result of a request.
func (b *Balancer) finish(ps *poolState, target string, id uint64, permitted bool, r health.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	s := ps.server(target)
	delete(s.inFlight, id)
	s.recordResult(r, now)
	if r.Kind == health.OK {
		ps.latency.add(r.Latency)
	}
	if !permitted {
		return
	}
	if r.Kind == health.Cancelled {
		ps.permits.unused = append(ps.permits.unused, target)
	} else {
		ps.permits.finished = append(ps.permits.finished, finishedPermit{target, r.Kind == health.OK})
	}
	b.requestPermit(ps, true, now)
}
