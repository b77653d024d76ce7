package pool

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// choose returns the server for an ask, if one has room.
func (d *desk) choose(a ask, plan deskView, now time.Time) (fleet.Target, bool) {
	best, found := fleet.Target{}, false
	bestCost := 0.0
	for _, t := range plan.targets {
		if !d.room(t, plan, now) || slices.Contains(a.avoid, t.Name) {
			continue
		}
		cost, usable := d.cost(a, t, plan, now)
		if usable && (!found || cost < bestCost) {
			best, bestCost, found = t, cost, true
		}
	}
	return best, found
}

// room reports whether a server has a free slot.
func (d *desk) room(t fleet.Target, plan deskView, now time.Time) bool {
	if d.inUse[t.Name] >= t.Slots {
		return false
	}
	r := plan.ramp(t.Name)
	return r == nil || r.Available(now)
}

// cost returns how bad a choice is: the probability that the request fails, and
// something for the load. A request that may be repeated looks for the server
// whose last result is oldest instead, so that gray ones are found by requests
// that lose nothing.
func (d *desk) cost(a ask, t fleet.Target, plan deskView, now time.Time) (cost float64, usable bool) {
	b := d.belief(t, now)
	gray := b.Probability(d.climate, now)
	if slices.Contains(plan.shunned, t.Name) {
		gray = max(gray, shunnedGray)
	}
	load := loadWeight*float64(d.inUse[t.Name])/float64(max(1, t.Slots)) + d.way(a, t, plan, now)
	due := d.due(t, now)
	if !a.idempotent || len(a.avoid) > 0 {
		// A second attempt must not fail too.
		if due && (plan.below || d.bad > floorBad) && len(a.avoid) == 0 {
			load -= dueGain
		}
		return gray + load, gray <= trustGray || due && plan.below
	}
	if gray > probeGray && !due {
		return 0, false
	}
	return load*staleness.Seconds() - b.Age(now).Seconds() - d.novelty(b), true
}

// due reports whether a server has been without work for so long that it counts as left
// out, whatever is believed of it. Ejections are the judge's, within the floor.
func (d *desk) due(t fleet.Target, now time.Time) bool {
	return now.Sub(d.seated[t.Name]) >= visitEvery
}

// belowFloor reports whether more servers are due than may be left out, while requests
// are failing: then even doubtful ones get work that must run once.
func (d *desk) belowFloor(plan deskView, now time.Time) bool {
	if d.bad <= dueBad {
		return false
	}
	due := 0
	for _, t := range plan.targets {
		if d.due(t, now) {
			due++
		}
	}
	return due > health.MaxEjected(len(plan.targets), plan.floor)
}

// way returns what it costs to get a request to a server: another data centre, a
// connection that is not open yet, and trouble on the way.
func (d *desk) way(a ask, t fleet.Target, plan deskView, now time.Time) float64 {
	cost := 0.0
	if t.DataCentre != a.centre {
		cost += min(awayWeight+awayByteWeight*float64(a.bytes), mostAwayWeight)
	}
	if d.paths.troubled(a.vm, t.Name, now) {
		cost += pathWeight
	}
	if plan.keep > 0 && now.Sub(d.visits[visit{a.vm, t.Name}]) >= plan.keep {
		cost += openWeight
	}
	return cost
}

// novelty prefers a server that nothing is known of.
func (d *desk) novelty(b health.Estimate) float64 {
	if b.Observed {
		return 0
	}
	return 1
}

// belief returns the belief in a server. A server that has started again is not
// the one that was known.
func (d *desk) belief(t fleet.Target, now time.Time) health.Estimate {
	b, ok := d.beliefs[t.Name]
	if !ok || d.boots[t.Name] != t.Boot {
		b = health.NewEstimate(d.climate, now)
		d.beliefs[t.Name], d.boots[t.Name] = b, t.Boot
	}
	return b
}

// lastResort sends an ask that cannot wait to any server with room, however doubtful,
// or refuses it.
func (d *desk) lastResort(a ask, retry time.Duration, plan deskView, now time.Time) reply {
	best, found := fleet.Target{}, false
	for _, t := range plan.targets {
		if !d.room(t, plan, now) || slices.Contains(a.avoid, t.Name) {
			continue
		}
		if !found || d.belief(t, now).Probability(d.climate, now) < d.belief(best, now).Probability(d.climate, now) {
			best, found = t, true
		}
	}
	if !found || !now.Before(a.deadline) {
		return reply{ask: a, retry: retry}
	}
	return d.seat(a, best, plan, now)
}
