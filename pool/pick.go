package pool

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
)

// eligible returns the backend servers of a pool that may get new work at all.
func (p *Balancer) eligible(pool string) []fleet.Target {
	return pick.Eligible(p.fleet.Directory().Pool(pool), p.options.State())
}

// Pick returns the backend server that the pool's holder chooses. Without one it
// returns a warm server, or a cold one for which there is a permit; if there are
// only cold ones, it waits for a permit.
func (p *Balancer) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	if choice, err, ok := p.askDesk(ctx, pool, r); ok {
		return choice, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitWait)
	defer cancel()
	for {
		choice, wait, ok := p.pick(pool, r)
		if ok {
			return choice, nil
		}
		if wait == nil || !p.awaitPermit(ctx, wait) {
			return pick.Choice{}, pick.ErrNoServer
		}
	}
}

// HedgeDelay returns the time after which an answer of the pool is late.
func (p *Balancer) HedgeDelay(pool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member(pool).pace.hedgeAfter()
}

// pick makes one choice. It returns the pool if a permit might still come.
func (p *Balancer) pick(pool string, r pick.Request) (pick.Choice, *member, bool) {
	targets := p.eligible(pool)
	settings, _ := state.Get[state.Pool](p.options.State(), pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	m := p.member(pool)
	warm, cold := m.split(targets, now)
	p.askPermit(m, len(cold) > 0, now)
	if name, ok := m.permits.take(now); ok {
		for _, t := range cold {
			if t.Name == name && !slices.Contains(r.Avoid, name) {
				return p.choose(m, t, true, now), nil, true
			}
		}
		m.permits.unused = append(m.permits.unused, name)
	}
	warm = m.withoutEjected(warm, len(targets), settings.Floor)
	warm = avoiding(warm, r.Avoid)
	warm = m.withoutAvoided(warm, settings.Floor, now)
	if len(warm) == 0 {
		if len(cold) > 0 && len(r.Avoid) == 0 {
			return pick.Choice{}, m, false
		}
		return pick.Choice{}, nil, false
	}
	return p.choose(m, m.lessBusy(warm), false, now), nil, true
}

// split separates the backend servers that need a permit.
func (m *member) split(targets []fleet.Target, now time.Time) (warm, cold []fleet.Target) {
	for _, t := range targets {
		s := m.targets[t.Name]
		sawCold := s != nil && now.Before(s.coldUntil)
		if sawCold || slices.Contains(m.ruling.cold, t.Name) || m.announcedCold(t) {
			cold = append(cold, t)
			continue
		}
		warm = append(warm, t)
	}
	return warm, cold
}

// announcedCold reports whether a backend server says that it is cold, and has
// not finished its ramp.
func (m *member) announcedCold(t fleet.Target) bool {
	boot, warmed := m.ruling.warmed[t.Name]
	return t.Phase == fleet.Cold && !(warmed && boot == t.Boot)
}

// withoutEjected leaves out the ejected backend servers, as far as the floor allows.
func (m *member) withoutEjected(targets []fleet.Target, total int, floor float64) []fleet.Target {
	most := health.MaxEjected(total, floor)
	ejected := m.ruling.ejected[:min(most, len(m.ruling.ejected))]
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

// avoiding leaves out backend servers that earlier attempts used, unless no
// other is left.
func avoiding(targets []fleet.Target, used []string) []fleet.Target {
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

// withoutAvoided leaves out what this VM alone sees failing, within the floor.
func (m *member) withoutAvoided(targets []fleet.Target, floor float64, now time.Time) []fleet.Target {
	var kept []fleet.Target
	for _, t := range targets {
		if s := m.targets[t.Name]; s == nil || !now.Before(s.avoidUntil) {
			kept = append(kept, t)
		}
	}
	if len(targets)-len(kept) > health.MaxEjected(len(targets), floor) {
		return targets
	}
	return kept
}

// lessBusy takes two backend servers at random and returns the one with fewer
// requests of this VM for its slots.
func (m *member) lessBusy(targets []fleet.Target) fleet.Target {
	a := targets[rand.IntN(len(targets))]
	b := targets[rand.IntN(len(targets))]
	if m.busy(b) < m.busy(a) {
		return b
	}
	return a
}

func (m *member) busy(t fleet.Target) float64 {
	s := m.targets[t.Name]
	if s == nil {
		return 0
	}
	return float64(len(s.inFlight)) / float64(max(1, t.Slots))
}

// choose counts a request and returns its choice.
func (p *Balancer) choose(m *member, t fleet.Target, permitted bool, now time.Time) pick.Choice {
	p.tokens++
	id := p.tokens
	m.seen(t.Name).inFlight[id] = now
	return pick.Choice{Target: t, Done: func(r health.Result) { p.finish(m, t.Name, id, permitted, r) }}
}

// finish counts the result of a request.
func (p *Balancer) finish(m *member, target string, id uint64, permitted bool, r health.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	s := m.seen(target)
	delete(s.inFlight, id)
	s.note(r, now)
	if r.Kind == health.OK {
		m.pace.add(r.Latency)
	}
	if !permitted {
		return
	}
	if r.Kind == health.Cancelled {
		m.permits.unused = append(m.permits.unused, target)
	} else {
		m.permits.done = append(m.permits.done, doneWith{target, r.Kind == health.OK})
	}
	p.askPermit(m, true, now)
}
