package sched

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// selectServer returns the server with the lowest cost for a request, or nil if none of the
// candidates has a free slot and is good enough. A request that the version on trial is due goes to
// another one if that has no such server.
func (s *scheduler) selectServer(req Request, candidates []*server, view poolView, now time.Time) *server {
	for _, of := range s.versions.sides(req) {
		if srv := s.cheapest(req, candidates, of, view, now); srv != nil {
			return srv
		}
	}
	return nil
}

func (s *scheduler) cheapest(req Request, candidates []*server, of side, view poolView, now time.Time) *server {
	var best *server
	bestCost := 0.0
	from := s.sender(req, now)
	for _, srv := range candidates {
		if !s.versions.has(of, srv) || !srv.hasFreeSlot(now) || slices.Contains(req.Avoid, srv.name) || srv.paused(from.entry, now) {
			continue
		}
		cost, usable := s.cost(req, from, srv, view, now)
		if usable && (best == nil || cost < bestCost) {
			best, bestCost = srv, cost
		}
	}
	return best
}

// sender is what a decision needs to know about the entry with the request, and about the
// time at which it is made.
type sender struct {
	moment health.Moment
	entry  int
	// impaired is set if the entry has a failure on some path.
	impaired bool
	// suspect is set if the request may crash its server.
	suspect bool
}

func (s *scheduler) sender(req Request, now time.Time) sender {
	return sender{
		moment: s.model.At(now), entry: s.entry(req.VM), impaired: s.paths.entryImpaired(req.VM, now), suspect: s.guard.Suspected(req.Print),
	}
}

// cost returns the cost of sending a request to a server: the probability of failure plus
// costs for load and network. For the first attempt of an idempotent request, the age of
// the server's last result counts instead of the probability, so that gray failures are
// discovered by requests that can be retried.
func (s *scheduler) cost(req Request, from sender, srv *server, view poolView, now time.Time) (cost float64, usable bool) {
	gray := from.moment.Probability(srv.estimate)
	if srv.ejected {
		gray = max(gray, ejectedGray)
	}
	load := loadCost*float64(srv.inUse)/float64(max(1, srv.slots)) + shedCost*srv.shedShare(now) + s.networkCost(req, from, srv, view, now)
	load -= s.versions.idleBonus(srv, now)
	if from.suspect {
		load += suspectCost * float64(srv.inUse) / float64(max(1, srv.slots))
	}
	overdue := srv.overdue(now)
	if !req.Idempotent || len(req.Avoid) > 0 {
		// Retries use the safest server instead of an overdue one.
		if overdue && (view.belowFloor || s.failureShare > overdueFailureShare) && len(req.Avoid) == 0 {
			load -= overdueBonus
		}
		tried := view.belowFloor || s.failureShare > overdueFailureShare && s.probesNothing(now)
		return gray + load, gray <= maxGrayNonIdempotent && !srv.rejecting(now) || overdue && tried
	}
	if (gray > maxGrayIdempotent || srv.rejecting(now)) && !overdue {
		return 0, false
	}
	return load*stalenessScale.Seconds() - srv.estimate.Age(now).Seconds() - s.explorationBonus(srv.estimate), true
}

// probesNothing reports whether the pool has no requests that may be repeated, by which it learns which
// servers work again.
func (s *scheduler) probesNothing(now time.Time) bool { return now.Sub(s.lastIdempotent) >= maxIdle }

// belowFloor reports whether more servers are overdue than the floor permits while
// requests are failing. Non-idempotent requests then go to doubtful servers too.
func (s *scheduler) belowFloor(view poolView, now time.Time) bool {
	if s.failureShare <= floorFailureShare {
		return false
	}
	overdue, total, of := 0, 0, s.versions.mainSide()
	for _, srv := range s.servers {
		if !s.versions.has(of, srv) {
			continue
		}
		total++
		if srv.overdue(now) {
			overdue++
		}
	}
	return overdue > health.MaxEjected(total, view.floor)
}

// networkCost returns the cost of reaching a server: for another data centre, a connection
// that is not open yet, or an impaired path.
func (s *scheduler) networkCost(req Request, from sender, srv *server, view poolView, now time.Time) float64 {
	cost := 0.0
	if srv.dataCentre != req.DataCentre {
		cost += min(remoteCost+remoteByteCost*float64(req.Bytes), maxRemoteCost)
	}
	if from.impaired && s.paths.serverImpaired(srv.name, now) {
		cost += impairedPathCost
	}
	if view.idleTimeout > 0 && !srv.connected(from.entry, view.idleTimeout, now) {
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

// placeRegardless assigns a request that cannot wait to the least doubtful server with a
// free slot, or rejects it.
func (s *scheduler) placeRegardless(req Request, retryAfter time.Duration, now time.Time) Placement {
	var best *server
	lowest := 0.0
	moment, entry, sides := s.model.At(now), s.entry(req.VM), s.versions.sides(req)
	for _, srv := range s.servers {
		if !s.versions.hasAny(sides, srv) || !srv.hasFreeSlot(now) || slices.Contains(req.Avoid, srv.name) || srv.paused(entry, now) {
			continue
		}
		if cost := moment.Probability(srv.estimate) + shedCost*srv.shedShare(now); best == nil || cost < lowest {
			best, lowest = srv, cost
		}
	}
	if best == nil || !now.Before(req.Deadline) {
		return Placement{Request: req, RetryAfter: retryAfter}
	}
	return s.assign(req, best, now)
}
