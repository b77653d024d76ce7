package pool

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// selectServer returns the server with the lowest cost for a request, if one has a free
// slot.
func (s *scheduler) selectServer(req request, view poolView, now time.Time) (fleet.Target, bool) {
	best, found := fleet.Target{}, false
	bestCost := 0.0
	for _, t := range view.targets {
		if !s.hasFreeSlot(t, view, now) || slices.Contains(req.avoid, t.Name) {
			continue
		}
		cost, usable := s.cost(req, t, view, now)
		if usable && (!found || cost < bestCost) {
			best, bestCost, found = t, cost, true
		}
	}
	return best, found
}

func (s *scheduler) hasFreeSlot(t fleet.Target, view poolView, now time.Time) bool {
	if s.inUse[t.Name] >= t.Slots {
		return false
	}
	r := view.ramp(t.Name)
	return r == nil || r.Available(now)
}

// cost returns the cost of sending a request to a server: the probability of failure plus
// costs for load and network. For the first attempt of an idempotent request, the age of
// the server's last result counts instead of the probability, so that gray failures are
// discovered by requests that can be retried.
func (s *scheduler) cost(req request, t fleet.Target, view poolView, now time.Time) (cost float64, usable bool) {
	estimate := s.estimate(t, now)
	gray := estimate.Probability(s.model, now)
	if slices.Contains(view.ejected, t.Name) {
		gray = max(gray, ejectedGray)
	}
	load := loadCost*float64(s.inUse[t.Name])/float64(max(1, t.Slots)) + s.networkCost(req, t, view, now)
	overdue := s.overdue(t, now)
	if !req.idempotent || len(req.avoid) > 0 {
		// Retries use the safest server instead of an overdue one.
		if overdue && (view.belowFloor || s.failureShare > overdueFailureShare) && len(req.avoid) == 0 {
			load -= overdueBonus
		}
		return gray + load, gray <= maxGrayNonIdempotent || overdue && view.belowFloor
	}
	if gray > maxGrayIdempotent && !overdue {
		return 0, false
	}
	return load*stalenessScale.Seconds() - estimate.Age(now).Seconds() - s.explorationBonus(estimate), true
}

// overdue reports whether a server has received no request for maxIdle, whatever its
// estimate. Ejections are decided by the failure detector, within the floor.
func (s *scheduler) overdue(t fleet.Target, now time.Time) bool {
	return now.Sub(s.lastAssigned[t.Name]) >= maxIdle
}

// belowFloor reports whether more servers are overdue than the floor permits while
// requests are failing. Non-idempotent requests then go to doubtful servers too.
func (s *scheduler) belowFloor(view poolView, now time.Time) bool {
	if s.failureShare <= floorFailureShare {
		return false
	}
	overdue := 0
	for _, t := range view.targets {
		if s.overdue(t, now) {
			overdue++
		}
	}
	return overdue > health.MaxEjected(len(view.targets), view.floor)
}

// networkCost returns the cost of reaching a server: for another data centre, a connection
// that is not open yet, or an impaired path.
func (s *scheduler) networkCost(req request, t fleet.Target, view poolView, now time.Time) float64 {
	cost := 0.0
	if t.DataCentre != req.dataCentre {
		cost += min(remoteCost+remoteByteCost*float64(req.bytes), maxRemoteCost)
	}
	if s.paths.impaired(req.vm, t.Name, now) {
		cost += impairedPathCost
	}
	if view.idleTimeout > 0 && now.Sub(s.lastContact[endpoints{req.vm, t.Name}]) >= view.idleTimeout {
		cost += dialCost
	}
	return cost
}

// explorationBonus favours a server without any results.
func (s *scheduler) explorationBonus(estimate health.Estimate) float64 {
	if estimate.Observed {
		return 0
	}
	return 1
}

// estimate returns the failure estimate of a server. A restarted server starts with a new
// one.
func (s *scheduler) estimate(t fleet.Target, now time.Time) health.Estimate {
	estimate, ok := s.estimates[t.Name]
	if !ok || s.boots[t.Name] != t.Boot {
		estimate = health.NewEstimate(s.model, now)
		s.estimates[t.Name], s.boots[t.Name] = estimate, t.Boot
	}
	return estimate
}

// placeRegardless assigns a request that cannot wait to the least doubtful server with a
// free slot, or rejects it.
func (s *scheduler) placeRegardless(req request, retryAfter time.Duration, view poolView, now time.Time) placement {
	best, found := fleet.Target{}, false
	for _, t := range view.targets {
		if !s.hasFreeSlot(t, view, now) || slices.Contains(req.avoid, t.Name) {
			continue
		}
		if !found || s.estimate(t, now).Probability(s.model, now) < s.estimate(best, now).Probability(s.model, now) {
			best, found = t, true
		}
	}
	if !found || !now.Before(req.deadline) {
		return placement{request: req, retryAfter: retryAfter}
	}
	return s.assign(req, best, view, now)
}
