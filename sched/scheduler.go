package sched

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/retry"
)

const (
	// abandonedAfter is how long after its deadline a request still occupies its slot if its
	// entry has not reported a result.
	abandonedAfter = time.Second
	// maxGrayNonIdempotent is the highest probability of a gray failure at which a server
	// receives non-idempotent requests and retries. It is ignored if no other server is
	// available or too few servers receive requests.
	maxGrayNonIdempotent = 0.5
	// maxGrayIdempotent is the highest probability at which a server receives the first
	// attempts of idempotent requests.
	maxGrayIdempotent = 0.6
	// ejectedGray is the lowest probability assumed for an ejected server, which makes it
	// the last choice.
	ejectedGray = 0.9
	// overdueBonus ranks an overdue server before all other trusted ones.
	overdueBonus = 1.0
	// loadCost is the cost of a fully used server relative to an idle one, in units of
	// failure probability.
	loadCost = 0.005
	// remoteCost is the cost of a server in another data centre, and remoteByteCost that of
	// each byte sent there, up to maxRemoteCost in total.
	remoteCost     = 0.004
	remoteByteCost = 1.5e-6
	maxRemoteCost  = 0.1
	// shedCost is the cost of a server that has rejected all recent requests. A rejected request
	// has not run and can be sent elsewhere, at the expense of the retry budget.
	shedCost = 0.25
	// impairedPathCost is the cost of a server that the entry probably cannot reach.
	impairedPathCost = 0.5
	// dialCost is the cost of a server to which the entry has no open connection.
	dialCost = 0.03
	// stalenessScale converts a cost into seconds since a server's last result. Idempotent
	// requests prefer the server with the oldest result.
	stalenessScale = 15 * time.Second
	// maxIdle is the time without requests after which a server is overdue. It is below the
	// 2 s window over which operators check the floor, so that no server is left out of one.
	maxIdle = 1400 * time.Millisecond
	// floorFailureShare is the share of failed requests above which keeping the floor takes
	// priority over the safety of non-idempotent requests. Operators check the floor from a
	// share of 0.1 on, but the few latest results do not give the share more precisely.
	floorFailureShare = 0.03
	// overdueFailureShare is the share of failed requests above which every trusted overdue
	// server is preferred: the share is then close to 0.1, and it is not known which servers
	// the operators count towards the floor.
	overdueFailureShare = 0.09
	// failureShareWeight is the weight of one request in the moving average of that share.
	failureShareWeight = 0.02
	// initialServiceTime is the assumed service time before the first answer.
	initialServiceTime = 200 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the average service time.
	serviceTimeWeight = 0.05
)

// Request is a request that needs a backend server.
type Request struct {
	VM         string
	ID         uint64
	DataCentre string
	Idempotent bool
	Rank       int
	Workspace  string
	Route      string
	// Objective is the time from which the answer loses value, Deadline the time from which
	// it has none.
	Objective time.Time
	Deadline  time.Time
	Avoid     []string
	// Arrived is set if an earlier attempt reached a server.
	Arrived bool
	// Bytes is the size of the request body.
	Bytes int64
	// Forwarded is set if the holder of another cell has passed the request on. It is not
	// passed on again.
	Forwarded bool
	Print     guard.Print
	// Hedge is set if another attempt of the request is running.
	Hedge bool
}

// Key identifies a request in the fleet.
type Key struct {
	VM string
	ID uint64
}

func (req Request) key() Key { return Key{req.VM, req.ID} }

// assignment is a slot in use.
type assignment struct {
	server    *server
	workspace string
	route     string
	print     guard.Print
	// boot is the server's when it was chosen.
	boot  uint64
	since time.Time
	until time.Time
	// final is set if no retry can follow this attempt.
	final   bool
	ramping bool
	// work is what was counted for the workspace, in seconds.
	work float64
	// seen is the part of the failures that would have shown by now.
	seen float64
}

// Placement is the scheduler's decision on a request: it is assigned to a target, queued,
// left to another cell, or rejected with a retry delay, which is the rest of its quarantine if
// it is in one.
type Placement struct {
	Request     Request
	Target      string
	Queued      bool
	Forward     Destination
	RetryAfter  time.Duration
	Quarantined bool
	// Reason tells why the request was refused, if that is known.
	Reason Reason
}

// scheduler assigns the requests of a pool to its backend servers. It tracks every slot in
// use and every result, and performs no I/O.
//
// Entries that choose independently send two requests to one server while others are
// idle, detect a gray failure one entry at a time, and queue requests at the servers,
// where none can be rejected early. The scheduler instead gives the next free slot to the
// most urgent request. It sends non-idempotent requests to servers that have just
// answered successfully, probes the others with idempotent ones, and rejects at once what
// cannot be answered in time.
type scheduler struct {
	model *health.Model
	// servers are the servers of the pool in the order of poolView.targets, which they were
	// last synchronised with.
	servers     []*server
	byName      map[string]*server
	synced      []fleet.Target
	entries     map[string]int // positions of the entries in server.contacts
	assignments map[Key]assignment
	queue       []Request
	running     map[string]int // assignments by workspace
	serviceTime time.Duration
	// failureShare is the share of the most recent requests that failed.
	failureShare float64
	// lastIdempotent is when the last request that may be repeated arrived.
	lastIdempotent time.Time
	paths          *paths
	cutOff         cutOff
	evidence       evidence
	overflow       *overflow
	backlog        backlog
	versions       versions
	// counter counts the results of the versions, nil while there is no roll-out.
	counter *canary.Counter
	// budget limits the retries of the whole fleet.
	budget *retry.Budget
	// assumedLimits are the limits of servers that are not in servers yet.
	assumedLimits map[string]float64
	// guard knows the requests that may crash servers; this scheduler gives evidence as cell.
	guard *guard.Table
	cell  string
	// copies counts the assignments of each request that can be identified.
	copies map[guard.Print]int
	// free is reused by withFreeSlot.
	free []*server
	// admission orders the queue by work, in place of queue. It is nil in AdmissionRank.
	admission *admission
	// displaced are decisions on queued requests that have not been taken yet.
	displaced []Placement
	// room is the number of usable slots, as of roomAt and for that many servers.
	room        float64
	roomAt      time.Time
	roomServers int
}

func newScheduler(budget ...retry.Option) *scheduler {
	return &scheduler{
		model: health.NewModel(), byName: make(map[string]*server), entries: make(map[string]int),
		assignments: make(map[Key]assignment), paths: newPaths(),
		running: make(map[string]int), serviceTime: initialServiceTime, evidence: newEvidence(), overflow: newOverflow(),
		budget: retry.NewBudget(budget...), guard: guard.New(), copies: make(map[guard.Print]int),
	}
}

// poolView is the scheduler's input: the state of the pool's servers.
type poolView struct {
	// targets are the eligible servers. The slice is replaced, not modified, when they change.
	targets []fleet.Target
	// ejected servers are used only if there is no other.
	ejected []string
	// ramp returns the ramp of a cold server, or nil.
	ramp func(name string) *Ramp
	// floor is the share of servers that must receive requests. belowFloor is set if too many
	// of them are overdue.
	floor      float64
	belowFloor bool
	// idleTimeout is how long entries keep idle connections, 0 if they do not.
	idleTimeout time.Duration
	// trial is the share of the requests that a new version gets, and counter counts the results
	// of the versions while a roll-out is running.
	trial   pick.Trial
	counter *canary.Counter
}

// place assigns, queues or rejects a request.
func (s *scheduler) place(req Request, view poolView, now time.Time) Placement {
	s.sync(view, now)
	s.observeRunning(now)
	if left, held := s.guard.Quarantined(req.Print, now); held {
		return Placement{Request: req, RetryAfter: left, Quarantined: true}
	}
	if !req.Arrived && !req.Forwarded {
		s.budget.Deposit()
	}
	s.backlog.arrived(now)
	if req.Idempotent {
		s.lastIdempotent = now
	}
	s.versions.arrived(req)
	if req.Arrived && !req.Forwarded && !s.budget.Withdraw() {
		return Placement{Request: req, RetryAfter: minRetryAfter, Reason: ReasonBudget}
	}
	view.belowFloor = s.belowFloor(view, now)
	if s.admission != nil {
		return s.admit(req, view, now)
	}
	if s.mustWait(req) {
		return s.queueSuspect(req, now)
	}
	if srv := s.selectServer(req, s.servers, view, now); srv != nil {
		return s.assign(req, srv, now)
	}
	_, possible := s.queueWait(req, now)
	pause, paused := s.allPaused(req, now)
	possible = possible && !paused
	if to, ok := s.otherCell(req, possible, now); ok {
		return s.leave(req, to)
	}
	if paused {
		return Placement{Request: req, RetryAfter: min(max(pause, minRetryAfter), maxRetryAfter)}
	}
	if !possible {
		return s.placeRegardless(req, s.retryAfter(len(s.queue), s.servedPerSecond(now)), now)
	}
	s.queue = append(s.queue, req)
	return Placement{Request: req, Queued: true}
}

// otherCell returns the cell that a request should be left to because it cannot be assigned
// here: one with a free slot or, if the request cannot wait here, one where it can.
func (s *scheduler) otherCell(req Request, canWait bool, now time.Time) (Destination, bool) {
	if req.Forwarded {
		return Destination{}, false
	}
	if to, ok := s.overflow.withFreeSlot(now); ok || canWait {
		return to, ok
	}
	return s.overflow.withShortestWait(req.Deadline.Sub(now)-s.serviceTime, now)
}

// load returns the free slots of the servers that are likely to work, and the time that a
// request would wait for one.
func (s *scheduler) load(view poolView, now time.Time) (freeSlots int, wait time.Duration) {
	s.sync(view, now)
	moment := s.model.At(now)
	for _, srv := range s.servers {
		if srv.ramp == nil && !srv.ejected && s.versions.acceptsForwarded(srv) && moment.Probability(srv.estimate) <= maxGrayNonIdempotent {
			freeSlots += srv.freeSlots(now)
		}
	}
	if s.admission != nil {
		slots := s.usableSlots(now)
		return max(0, freeSlots-s.admission.order.len()), s.admission.waitFor(s.admission.order.load(), place{}, slots, now)
	}
	freeSlots = max(0, freeSlots-len(s.queue))
	wait, _ = s.queueWait(Request{Objective: now.Add(hopelessWait), Deadline: now.Add(2 * hopelessWait)}, now)
	return freeSlots, wait
}

// assign takes a slot for a request.
func (s *scheduler) assign(req Request, srv *server, now time.Time) Placement {
	a := assignment{final: !req.Idempotent || req.Arrived, server: srv, workspace: req.Workspace, route: req.Route, print: req.Print, boot: srv.boot, since: now, until: req.Deadline.Add(abandonedAfter)}
	if srv.ramp != nil {
		a.ramping = true
		srv.ramp.Grant(now)
	}
	if earlier, used := s.assignments[req.key()]; used {
		// An entry of an earlier version numbers its requests anew after each start.
		s.release(req.key(), earlier)
	}
	s.versions.sent(req, srv)
	if s.admission != nil {
		a.work = s.admission.started(req)
	}
	srv.throttle.take(now)
	srv.recordAssigned(now)
	srv.inUse++
	s.assignments[req.key()] = a
	s.evidence.started(req.key(), now)
	s.running[req.Workspace]++
	if req.Print != (guard.Print{}) {
		s.copies[req.Print]++
	}
	return Placement{Request: req, Target: srv.name}
}

// done frees the slot of a request and returns its server, or removes the request from the
// queue. An empty kind means that the request was not sent.
func (s *scheduler) done(key Key, r health.Result, now time.Time) (target string, assigned bool) {
	a, assigned := s.assignments[key]
	if !assigned && s.admission != nil {
		s.admission.cancel(key)
		return "", false
	}
	if !assigned {
		s.queue = slices.DeleteFunc(s.queue, func(req Request) bool { return req.key() == key })
		return "", false
	}
	s.release(key, a)
	s.recordPause(key.VM, a.server, r, now)
	a.server.recordLimit(r.Limit, a.since, now)
	if r.Kind == "" {
		a.server.throttle.giveBack()
	}
	if r.Kind == health.OK || r.Kind == health.Failed {
		a.server.setContact(s.entry(key.VM), now)
	}
	if a.ramping && a.server.ramp != nil {
		a.server.ramp.Done(r.Kind == health.OK, now)
	}
	if a.final && r.Kind != "" && r.Kind != health.Cancelled {
		s.recordServed(r.Kind == health.OK)
	}
	pathFailed := s.paths.recordResult(key.VM, a.server.name, r.Kind, a.since, now)
	if !pathFailed && !(r.Kind.Bad() && s.cutOff.preceded(key.VM, a.since)) {
		s.observe(key.VM, a, r, now)
	}
	s.recordEvidence(a, r, now)
	s.countVersion(key.VM, a, r, pathFailed, now)
	return a.server.name, true
}

func (s *scheduler) release(key Key, a assignment) {
	delete(s.assignments, key)
	if s.admission != nil {
		s.admission.giveBack(a.workspace, a.work)
	}
	a.server.inUse--
	if s.running[a.workspace]--; s.running[a.workspace] <= 0 {
		delete(s.running, a.workspace)
	}
	if s.copies[a.print]--; s.copies[a.print] <= 0 {
		delete(s.copies, a.print)
	}
}

// observe updates the estimate of a server with a result. A success shows the state of the
// server when it accepted the request, a failure its present state.
func (s *scheduler) observe(vm string, a assignment, r health.Result, now time.Time) {
	if r.Kind == "" || r.Kind == health.Cancelled {
		return
	}
	bad := r.Kind.Bad() || r.Kind == health.Late
	a.server.recordShed(r.Kind == health.Shed, now)
	a.server.silent = r.Kind == health.TimedOut || r.Kind == health.Unreachable
	switch {
	case r.Kind == health.Shed:
	case bad:
		s.evidence.failed(r, s.serviceTime)
		s.blame(a.server, vm, now)
	default:
		isMain := s.versions.has(s.versions.mainSide(), a.server)
		if s.admission != nil && isMain {
			s.admission.works.learn(a.route, r.Latency, now)
		}
		if isMain {
			s.serviceTime += time.Duration(serviceTimeWeight * float64(r.Latency-s.serviceTime))
		}
		a.server.estimate = a.server.estimate.WithResult(s.model, false, a.seen, a.since)
	}
}

// recordServed counts a request that succeeded or finally failed. Failures that a retry
// made up for do not count.
func (s *scheduler) recordServed(served bool) {
	value := 1.0
	if served {
		value = 0
	}
	s.failureShare += failureShareWeight * (value - s.failureShare)
}

// tick removes expired state, then places or rejects queued requests.
func (s *scheduler) tick(view poolView, now time.Time) []Placement {
	s.sync(view, now)
	s.observeRunning(now)
	for key, a := range s.assignments {
		if now.After(a.until) {
			s.release(key, a)
		}
	}
	if s.admission != nil {
		return slices.Concat(s.takeDisplaced(), s.placeWaiting(view, now), s.moveWaiting(now), s.sweepWaiting(now), s.displace(now))
	}
	return slices.Concat(s.placeQueued(view, now), s.moveQueued(now), s.rejectHopeless(now))
}
