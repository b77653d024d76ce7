package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// Pick returns the backend server that the holder of a cell assigns. If no holder is asked
// or it does not answer, Pick chooses locally: a warm server, or a cold one for which
// a permit is available. If there are only cold servers, it waits for a permit.
func (b *Balancer) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	r = b.withPrint(ctx, r)
	if err := b.quarantined(r); err != nil {
		return pick.Choice{}, err
	}
	if choice, err, ok := b.requestSlot(ctx, pool, r); ok {
		return choice, err
	}
	ctx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	for {
		choice, wait, ok := b.pick(b.homeCell(pool), r)
		if ok {
			return choice, nil
		}
		if pause := b.allPaused(b.homeCell(pool)); pause > 0 {
			return pick.Choice{}, &OverloadError{RetryAfter: pause}
		}
		if wait == nil || !b.awaitPermit(ctx, wait) {
			return pick.Choice{}, pick.ErrNoServer
		}
	}
}

// allPaused returns the time until the first server of a cell wants a request from this VM, 0 if
// one does now.
func (b *Balancer) allPaused(cell string) time.Duration {
	targets := b.localServers(cell)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, shortest := b.cellState(cell).withoutPaused(targets, b.options.Clock.Now())
	return shortest
}

// HedgeDelay returns the time after which a request to the pool should be hedged.
func (b *Balancer) HedgeDelay(pool string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cellState(b.homeCell(pool)).latency.hedgeDelay()
}

// homeCell returns the cell whose servers this VM chooses from by itself.
func (b *Balancer) homeCell(pool string) string {
	list := b.servers(pool)
	cells := list.homeCells(b.options.VM)
	for _, cell := range cells {
		if len(list.local[cell]) > 0 {
			return cell
		}
	}
	if len(cells) > 0 {
		return cells[0]
	}
	return pool
}

// pick makes one local choice. If none is possible but a permit may still arrive, it
// returns the state of the cell to wait on.
func (b *Balancer) pick(cell string, r pick.Request) (pick.Choice, *cellState, bool) {
	targets := b.localServers(cell)
	settings := b.settings(cell)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	cs := b.cellState(cell)
	total := len(targets)
	targets, _ = cs.withoutPaused(targets, now)
	warm, cold := cs.splitCold(targets, now)
	b.requestPermit(cs, len(cold) > 0, now)
	if name, ok := cs.permits.take(now); ok {
		for _, t := range cold {
			if t.Name == name && !slices.Contains(r.Avoid, name) {
				return b.newChoice(cs, t, r, true, now), nil, true
			}
		}
		cs.permits.unused = append(cs.permits.unused, name)
	}
	warm = cs.withoutEjected(warm, total, settings.Floor)
	warm = withoutTried(warm, r.Avoid)
	warm = cs.withoutFailing(warm, settings.Floor, now)
	warm, limited := cs.withinLimits(warm, b.limitShare(), now)
	if len(limited) > 0 {
		return b.newChoice(cs, limited[0], r, false, now), nil, true
	}
	if len(warm) == 0 {
		if len(cold) > 0 && len(r.Avoid) == 0 {
			return pick.Choice{}, cs, false
		}
		return pick.Choice{}, nil, false
	}
	return b.newChoice(cs, cs.lessLoaded(warm), r, false, now), nil, true
}

// splitCold separates the backend servers for which a request needs a permit.
func (cs *cellState) splitCold(targets []fleet.Target, now time.Time) (warm, cold []fleet.Target) {
	for _, t := range targets {
		s := cs.servers[t.Name]
		sawCold := s != nil && now.Before(s.coldUntil)
		if sawCold || slices.Contains(cs.status.Cold, t.Name) || cs.announcedCold(t) {
			cold = append(cold, t)
			continue
		}
		warm = append(warm, t)
	}
	return warm, cold
}

// announcedCold reports whether a backend server announces that it is cold and has not
// finished its ramp.
func (cs *cellState) announcedCold(t fleet.Target) bool {
	boot, warmed := cs.status.Warmed[t.Name]
	return t.Phase == fleet.Cold && !(warmed && boot == t.Boot)
}

// withoutEjected removes the ejected backend servers, as far as the floor permits.
func (cs *cellState) withoutEjected(targets []fleet.Target, total int, floor float64) []fleet.Target {
	most := health.MaxEjected(total, floor)
	ejected := cs.status.Ejected[:min(most, len(cs.status.Ejected))]
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
func (cs *cellState) withoutFailing(targets []fleet.Target, floor float64, now time.Time) []fleet.Target {
	var kept []fleet.Target
	for _, t := range targets {
		if s := cs.servers[t.Name]; s == nil || !now.Before(s.avoidUntil) {
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
func (cs *cellState) lessLoaded(targets []fleet.Target) fleet.Target {
	first := targets[rand.IntN(len(targets))]
	second := targets[rand.IntN(len(targets))]
	if cs.load(second) < cs.load(first) {
		return second
	}
	return first
}

func (cs *cellState) load(t fleet.Target) float64 {
	s := cs.servers[t.Name]
	if s == nil {
		return 0
	}
	return float64(len(s.inFlight)) / float64(max(1, t.Slots))
}

// newChoice adds a request in flight and returns the choice of its backend server.
func (b *Balancer) newChoice(cs *cellState, t fleet.Target, req pick.Request, permitted bool, now time.Time) pick.Choice {
	b.lastID++
	id := b.lastID
	cs.server(t.Name).inFlight[id] = now
	return pick.Choice{Target: t, Check: func() error { return b.checkStays(t) }, Done: func(r health.Result) {
		if r.Leaving {
			b.markLeaving(t.Pool, t.Name, t.Boot)
		}
		b.finish(cs, t, id, permitted, r)
		b.recordLocalEvidence(cs, req, t, r, now)
	}}
}

// finish records the result of a request.
func (b *Balancer) finish(cs *cellState, t fleet.Target, id uint64, permitted bool, r health.Result) {
	target := t.Name
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Clock.Now()
	s := cs.server(target)
	delete(s.inFlight, id)
	s.recordResult(r, now)
	cs.recordPause(t, r, now)
	if r.Leaving {
		s.leavingBoot = t.Boot
	}
	if r.Kind == health.OK {
		cs.latency.add(r.Latency)
	}
	if !permitted {
		return
	}
	if r.Kind == health.Cancelled {
		cs.permits.unused = append(cs.permits.unused, target)
	} else {
		cs.permits.finished = append(cs.permits.finished, finishedPermit{target, r.Kind == health.OK})
	}
	b.requestPermit(cs, true, now)
}
