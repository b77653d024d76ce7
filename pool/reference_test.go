package pool

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

// oldScheduler assigns the requests of a pool to its backend servers. It tracks every slot in
// use and every result, and performs no I/O.
//
// Entries that choose independently send two requests to one server while others are
// idle, detect a gray failure one entry at a time, and queue requests at the servers,
// where none can be rejected early. The oldScheduler instead gives the next free slot to the
// most urgent request. It sends non-idempotent requests to servers that have just
// answered successfully, probes the others with idempotent ones, and rejects at once what
// cannot be answered in time.
// endpoints identifies the connection between an entry and a server.
type endpoints struct {
	vm, target string
}

// oldAssignment is a slot in use.
type oldAssignment struct {
	target    string
	workspace string
	since     time.Time
	until     time.Time
	final     bool
	ramping   bool
}

type oldScheduler struct {
	model       *health.Model
	estimates   map[string]health.Estimate
	boots       map[string]uint64
	inUse       map[string]int
	assignments map[requestKey]oldAssignment
	queue       []request
	running     map[string]int // assignments by workspace
	serviceTime time.Duration
	// failureShare is the share of the most recent requests that failed.
	failureShare float64
	// lastAssigned is the time at which each server last received a request.
	lastAssigned map[string]time.Time
	paths        *paths
	// lastContact is the time at which an entry last received an answer from a server.
	lastContact map[endpoints]time.Time
	// budget limits the retries of the whole fleet.
	budget *retry.Budget
}

func newOldScheduler(budget ...retry.Option) *oldScheduler {
	return &oldScheduler{
		model: health.NewModel(), estimates: make(map[string]health.Estimate), boots: make(map[string]uint64),
		inUse: make(map[string]int), assignments: make(map[requestKey]oldAssignment),
		lastContact:  make(map[endpoints]time.Time),
		lastAssigned: make(map[string]time.Time),
		paths:        newPaths(),
		running:      make(map[string]int), serviceTime: initialServiceTime,
		budget: retry.NewBudget(budget...),
	}
}

// place assigns, queues or rejects a request.
func (s *oldScheduler) place(req request, view poolView, now time.Time) placement {
	s.budget.Deposit()
	if req.arrived && !s.budget.Withdraw() {
		return placement{request: req, retryAfter: minRetryAfter}
	}
	view.belowFloor = s.belowFloor(view, now)
	if target, ok := s.selectServer(req, view, now); ok {
		return s.assign(req, target, view, now)
	}
	wait, possible := s.queueWait(req, view, now)
	if !possible {
		return s.placeRegardless(req, wait, view, now)
	}
	s.queue = append(s.queue, req)
	return placement{request: req, queued: true}
}

// assign takes a slot for a request.
func (s *oldScheduler) assign(req request, target fleet.Target, view poolView, now time.Time) placement {
	a := oldAssignment{final: !req.idempotent || req.arrived, target: target.Name, workspace: req.workspace, since: now, until: req.deadline.Add(abandonedAfter)}
	if r := view.ramp(target.Name); r != nil {
		a.ramping = true
		r.Grant(now)
	}
	s.lastAssigned[target.Name] = now
	s.inUse[target.Name]++
	s.assignments[req.key()] = a
	s.running[req.workspace]++
	return placement{request: req, target: target.Name}
}

// queueWait estimates how long a request would wait in the queue, and reports whether it
// could still be answered in time.
func (s *oldScheduler) queueWait(req request, view poolView, now time.Time) (time.Duration, bool) {
	slots := 0
	for _, t := range view.targets {
		if s.estimate(t, now).Probability(s.model, now) <= maxGrayNonIdempotent {
			slots += t.Slots
		}
	}
	if slots == 0 {
		slots = 1
	}
	ahead := 1
	for _, other := range s.queue {
		if other.rank <= req.rank {
			ahead++
		}
	}
	wait := time.Duration(float64(s.serviceTime) * float64(ahead) / float64(slots))
	end := now.Add(wait + s.serviceTime)
	possible := len(view.targets) > 0 && len(s.queue) < maxQueue && end.Before(req.deadline)
	return max(wait, minRetryAfter), possible
}

// done frees the slot of a request, or removes the request from the queue. An empty kind
// means that the request was not sent.
func (s *oldScheduler) done(key requestKey, r health.Result, view poolView, now time.Time) {
	a, assigned := s.assignments[key]
	if !assigned {
		s.queue = slices.DeleteFunc(s.queue, func(req request) bool { return req.key() == key })
		return
	}
	s.release(key, a)
	if r.Kind == health.OK || r.Kind == health.Failed {
		s.lastContact[endpoints{key.vm, a.target}] = now
	}
	if ramp := view.ramp(a.target); a.ramping && ramp != nil {
		ramp.Done(r.Kind == health.OK, now)
	}
	if a.final && r.Kind != "" && r.Kind != health.Cancelled {
		s.recordServed(r.Kind == health.OK)
	}
	if s.paths.recordResult(key.vm, a.target, r.Kind, a.since, now) {
		return
	}
	s.observe(a.target, r, now)
}

func (s *oldScheduler) release(key requestKey, a oldAssignment) {
	delete(s.assignments, key)
	if s.inUse[a.target]--; s.inUse[a.target] <= 0 {
		delete(s.inUse, a.target)
	}
	if s.running[a.workspace]--; s.running[a.workspace] <= 0 {
		delete(s.running, a.workspace)
	}
}

// observe updates the estimate of a server with a result.
func (s *oldScheduler) observe(target string, r health.Result, now time.Time) {
	estimate, known := s.estimates[target]
	if !known || r.Kind == "" || r.Kind == health.Cancelled {
		return
	}
	if r.Kind == health.OK {
		s.serviceTime += time.Duration(serviceTimeWeight * float64(r.Latency-s.serviceTime))
	}
	bad := r.Kind.Bad() || r.Kind == health.Late || r.Kind == health.Shed
	s.estimates[target] = estimate.WithResult(s.model, bad, now)
}

// recordServed counts a request that succeeded or finally failed. Failures that a retry
// made up for do not count.
func (s *oldScheduler) recordServed(served bool) {
	value := 1.0
	if served {
		value = 0
	}
	s.failureShare += failureShareWeight * (value - s.failureShare)
}

// tick removes expired state, then places or rejects queued requests.
func (s *oldScheduler) tick(view poolView, now time.Time) []placement {
	for key, a := range s.assignments {
		if now.After(a.until) {
			s.release(key, a)
		}
	}
	s.forget(view.targets)
	for v, at := range s.lastContact {
		if now.Sub(at) > view.idleTimeout {
			delete(s.lastContact, v)
		}
	}
	return s.placeQueued(view, now)
}

// forget removes servers that have left the pool.
func (s *oldScheduler) forget(targets []fleet.Target) {
	for name := range s.estimates {
		if !slices.ContainsFunc(targets, func(t fleet.Target) bool { return t.Name == name }) {
			delete(s.estimates, name)
			delete(s.boots, name)
			delete(s.lastAssigned, name)
			s.paths.forget(name)
		}
	}
}

// placeQueued assigns queued requests to free slots. Requests that can no longer be
// answered in time are sent to any server or rejected.
func (s *oldScheduler) placeQueued(view poolView, now time.Time) []placement {
	var placements []placement
	s.queue = slices.DeleteFunc(s.queue, func(req request) bool {
		late := now.Add(s.serviceTime).After(req.deadline)
		if late {
			placements = append(placements, s.placeRegardless(req, minRetryAfter, view, now))
		}
		return late
	})
	view.belowFloor = s.belowFloor(view, now)
	for len(s.queue) > 0 {
		free := view
		free.targets = s.withFreeSlot(view, now)
		if len(free.targets) == 0 {
			return placements
		}
		at, target := s.nextQueued(free, now)
		if at < 0 {
			return placements
		}
		req := s.queue[at]
		s.queue = slices.Delete(s.queue, at, at+1)
		placements = append(placements, s.assign(req, target, view, now))
	}
	return placements
}

// withFreeSlot returns the servers that have a free slot.
func (s *oldScheduler) withFreeSlot(view poolView, now time.Time) []fleet.Target {
	var list []fleet.Target
	for _, t := range view.targets {
		if s.hasFreeSlot(t, view, now) {
			list = append(list, t)
		}
	}
	return list
}

// nextQueued returns the queue position and the server of the request to place next: the
// most urgent one, then one that can still meet its objective, then one of the workspace
// with the fewest requests running, then the oldest.
func (s *oldScheduler) nextQueued(view poolView, now time.Time) (int, fleet.Target) {
	best := -1
	target := fleet.Target{}
	for i, req := range s.queue {
		if best >= 0 && !s.precedes(req, s.queue[best], now) {
			continue
		}
		if t, ok := s.selectServer(req, view, now); ok {
			best, target = i, t
		}
	}
	return best, target
}

// precedes reports whether request a is placed before b, which arrived earlier.
func (s *oldScheduler) precedes(a, b request, now time.Time) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	inTime := func(x request) bool { return now.Add(s.serviceTime).Before(x.objective) }
	if inTime(a) != inTime(b) {
		return inTime(a)
	}
	return s.running[a.workspace] < s.running[b.workspace]
}

// selectServer returns the server with the lowest cost for a request, if one has a free
// slot.
func (s *oldScheduler) selectServer(req request, view poolView, now time.Time) (fleet.Target, bool) {
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

func (s *oldScheduler) hasFreeSlot(t fleet.Target, view poolView, now time.Time) bool {
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
func (s *oldScheduler) cost(req request, t fleet.Target, view poolView, now time.Time) (cost float64, usable bool) {
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
func (s *oldScheduler) overdue(t fleet.Target, now time.Time) bool {
	return now.Sub(s.lastAssigned[t.Name]) >= maxIdle
}

// belowFloor reports whether more servers are overdue than the floor permits while
// requests are failing. Non-idempotent requests then go to doubtful servers too.
func (s *oldScheduler) belowFloor(view poolView, now time.Time) bool {
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
func (s *oldScheduler) networkCost(req request, t fleet.Target, view poolView, now time.Time) float64 {
	cost := 0.0
	if t.DataCentre != req.dataCentre {
		cost += min(remoteCost+remoteByteCost*float64(req.bytes), maxRemoteCost)
	}
	if s.paths.entryImpaired(req.vm, now) && s.paths.serverImpaired(t.Name, now) {
		cost += impairedPathCost
	}
	if view.idleTimeout > 0 && now.Sub(s.lastContact[endpoints{req.vm, t.Name}]) >= view.idleTimeout {
		cost += dialCost
	}
	return cost
}

// explorationBonus favours a server without any results.
func (s *oldScheduler) explorationBonus(estimate health.Estimate) float64 {
	if estimate.Observed {
		return 0
	}
	return 1
}

// estimate returns the failure estimate of a server. A restarted server starts with a new
// one.
func (s *oldScheduler) estimate(t fleet.Target, now time.Time) health.Estimate {
	estimate, ok := s.estimates[t.Name]
	if !ok || s.boots[t.Name] != t.Boot {
		estimate = health.NewEstimate(s.model, now)
		s.estimates[t.Name], s.boots[t.Name] = estimate, t.Boot
	}
	return estimate
}

// placeRegardless assigns a request that cannot wait to the least doubtful server with a
// free slot, or rejects it.
func (s *oldScheduler) placeRegardless(req request, retryAfter time.Duration, view poolView, now time.Time) placement {
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
