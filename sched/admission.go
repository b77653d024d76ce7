package sched

import (
	"math"
	"time"
)

const (
	// maxQueued bounds the memory of the queue. What limits it before is that no request waits
	// that cannot be answered in time.
	maxQueued = 10000
	// burstMemory and usualMemory are the time constants of the work that arrives, by rank. What
	// has arrived within the first is expected to go on for as long, then what has within the
	// second: most bursts last a few seconds.
	burstMemory = time.Second
	usualMemory = 5 * time.Second
	// demandRanks is the number of ranks whose demand is told apart. Less urgent ones count as
	// the last.
	demandRanks = 16
	// leastRoom is the part of the servers that a rank can count on however much more urgent
	// work arrives. Below it, a wait can't be estimated.
	leastRoom = 0.02
	// maxLead is how much later arrivals go before a request of a workspace that has all the
	// work of the pool, and by its part of the work of others.
	maxLead = time.Second
	// workLead is how much later a request that needs less work may arrive and still go first,
	// as a multiple of the difference. It shortens the queue for all, and is bounded, so that
	// long work waits no more than that for short work.
	workLead = 2.0
	// maxTried bounds the queued requests that are tried for a free slot, if no free server is
	// good enough for the first ones.
	maxTried = 8
)

// Classes of places in the queue, from the first on: those that are due to the least share of
// their route or workspace, and for each rank three others.
const (
	classLeastShare int32 = 0
	classesPerRank  int32 = 3

	classBooked int32 = 0 // come back as they were told
	classInTime int32 = 1 // can meet their objective
	classLate   int32 = 2 // can't
)

// AdmissionMode selects how the requests are ordered that wait for a slot.
type AdmissionMode string

// The admission modes.
const (
	// AdmissionRank orders them by rank, and assumes that all need the same work.
	AdmissionRank AdmissionMode = "rank"
	// AdmissionWork also goes by the work that each needs, by what it can still earn, and by
	// the share that its workspace has.
	AdmissionWork AdmissionMode = "work"
)

// Reason tells why a request was refused.
type Reason string

// The reasons for refusals.
const (
	ReasonNone Reason = ""
	// ReasonDeadline means that the request could not be answered in time.
	ReasonDeadline Reason = "deadline"
	// ReasonDisplaced means that it was queued, and more urgent work has come since.
	ReasonDisplaced Reason = "displaced"
	ReasonFull      Reason = "queue full"
	ReasonBudget    Reason = "retry budget"
	ReasonPaused    Reason = "servers pause"
	ReasonCopy      Reason = "copy is running"
)

// queued is a request in the queue.
type queued struct {
	request Request
	work    work
	// least is set if the request is due to the least share of its route or workspace.
	least bool
}

// usage is what a workspace has in hand: the number of its requests that run or wait, and
// their work in seconds.
type usage struct {
	requests int
	work     float64
}

// admission decides what happens to requests while no slot is free: which wait in which
// order, which are refused, and which give up their place.
//
// The load it answers: for some seconds more work arrives than the pool can do, of several
// ranks and routes, one workspace sends many times its usual, servers are lost or turn
// requests away. The room is given to what costs callers least to be without it, in this
// order: the more urgent rank; what can still be answered within its objective; who comes back
// as told; then who must start first to be in time, brought forward if it needs little work or
// an earlier attempt has spent it already, put back if its workspace has much in hand. What
// can't be answered before its deadline behind those ahead of it, and those more urgent that
// arrive meanwhile, is refused at that moment.
//
// It knows nothing of servers but their room, and decides in logarithmic time.
type admission struct {
	works  *works
	order  *order[queued]
	places map[Key]place
	// demand is the work that arrives per second, by rank.
	demand [demandRanks]demand
	inHand map[string]usage // by workspace
	// working is the sum of the work in hand.
	working    float64
	routes     *shares
	workspaces *shares
	bookings   *bookings
	// since is the time from which scores are counted.
	since time.Time
	seq   uint64
	// displaced counts the requests that lost their places.
	displaced uint64
	// expired is reused by sweep.
	expired []place
}

func newAdmission() *admission {
	return &admission{
		works: newWorks(), order: newOrder[queued](), places: make(map[Key]place), inHand: make(map[string]usage),
		routes: newShares(), workspaces: newShares(), bookings: newBookings(),
	}
}

// demand is the work that arrives per second, lately and usually.
type demand struct {
	burst, usual float64
	at           time.Time
}

func (d *demand) add(load float64, now time.Time) {
	d.fade(now)
	d.burst = max(0, d.burst+load/burstMemory.Seconds())
	d.usual = max(0, d.usual+load/usualMemory.Seconds())
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 && d.usual > 0 {
		d.burst *= math.Exp(-elapsed.Seconds() / burstMemory.Seconds())
		d.usual *= math.Exp(-elapsed.Seconds() / usualMemory.Seconds())
	}
	d.at = now
}

// decided adds a request to the work that arrives. It is called after the decision on it, as no
// request goes before itself.
func (a *admission) decided(req Request, now time.Time) {
	a.demand[demandRank(req.Rank)].add(a.works.of(req.Route).mean.Seconds(), now)
}

// arrived counts a request that asks for a slot.
func (a *admission) arrived(req Request, now time.Time) {
	a.routes.offer(req.Route, now)
	a.workspaces.offer(req.Workspace, now)
}

// left takes back that a request was counted that waited here, because it is left to another
// cell.
func (a *admission) left(req Request, now time.Time) {
	a.demand[demandRank(req.Rank)].add(-a.works.of(req.Route).mean.Seconds(), now)
	a.withdraw(req)
}

// withdraw takes back that a request has asked for a slot here.
func (a *admission) withdraw(req Request) {
	a.routes.withdraw(req.Route)
	a.workspaces.withdraw(req.Workspace)
}

func demandRank(rank int) int { return min(max(rank, 0), demandRanks-1) }

// verdict is the decision on a request that got no slot.
type verdict struct {
	// wait is true if the request may wait, at the place and with the work given.
	wait  bool
	at    place
	entry queued
	// reason and earliest are set otherwise: why it is refused, and the time after which a
	// request like it could wait.
	reason   Reason
	earliest time.Duration
}

// judge decides whether a request may wait for a slot. slots is the number of slots that are
// usable, all of which are taken.
func (a *admission) judge(req Request, slots float64, now time.Time) verdict {
	w := a.works.of(req.Route)
	v := verdict{entry: queued{request: req, work: w, least: a.routes.starved(req.Route) || a.workspaces.starved(req.Workspace)}}
	booked := a.bookings.claim(req.Print, now)
	if now.Add(w.usual).After(req.Deadline) {
		v.reason = ReasonDeadline
		return v
	}
	inTime := a.canBeInTime(v.entry, now)
	v.at = a.placeOf(v.entry, booked, inTime, now)
	wait := a.wait(v.at, w, slots, now)
	if inTime && now.Add(wait+w.likely).After(req.Objective) {
		// It will lose its place to those that can still be in time.
		wait = max(wait, a.wait(a.placeOf(v.entry, booked, false, now), w, slots, now))
	}
	spare := req.Deadline.Sub(now) - w.usual
	switch {
	case wait > spare:
		v.reason, v.earliest = ReasonDeadline, wait-spare
	case a.order.len() >= maxQueued && !a.yields(v.at):
		v.reason, v.earliest = ReasonFull, wait
	default:
		v.wait = true
	}
	return v
}

// yields reports whether the last queued request comes after a place.
func (a *admission) yields(at place) bool {
	last, _ := a.order.nth(a.order.len() - 1)
	return at.before(last)
}

// canBeInTime reports whether a request that gets a slot now is likely to meet its objective.
func (a *admission) canBeInTime(q queued, now time.Time) bool {
	return !now.Add(q.work.likely).After(q.request.Objective)
}

// placeOf returns the place of a request.
func (a *admission) placeOf(q queued, booked, inTime bool, now time.Time) place {
	a.seq++
	class := classInTime
	if a.since.IsZero() {
		a.since = now
	}
	latest := q.request.Objective.Add(-q.work.likely)
	if !inTime {
		class = classLate
		latest = q.request.Deadline.Add(-q.work.usual)
	}
	if booked {
		class = classBooked
	}
	class = classOf(q.request.Rank, class)
	if q.least {
		class = classLeastShare
	}
	score := latest.Sub(a.since)
	if !q.request.Arrived {
		score += time.Duration(workLead * float64(q.work.mean))
	}
	if a.working > 0 {
		score += time.Duration(float64(maxLead) * a.inHand[q.request.Workspace].work / a.working)
	}
	return place{class: class, score: int64(score), seq: a.seq}
}

// classOf returns a class of a rank. rank and is tell which it was.
func classOf(rank int, class int32) int32 {
	return classLeastShare + 1 + classesPerRank*int32(demandRank(rank)) + class
}

func (p place) rank() int { return int(max(0, p.class-classLeastShare-1) / classesPerRank) }

func (p place) is(class int32) bool {
	return p.class > classLeastShare && (p.class-classLeastShare-1)%classesPerRank == class
}

// wait returns the time until a request at a place gets a slot.
func (a *admission) wait(at place, w work, slots float64, now time.Time) time.Duration {
	return a.waitFor(a.order.ahead(at)+w.mean.Seconds(), at, slots, now)
}

// waitFor returns the time in which slots become free for the work of a request and of those
// ahead of it, and for what arrives meanwhile and goes before it.
func (a *admission) waitFor(load float64, at place, slots float64, now time.Time) time.Duration {
	burst, usual := a.room(at, slots, now)
	burst, usual = max(0, burst), max(0, usual)
	wait := burstMemory.Seconds()
	switch least := leastRoom * slots; {
	case load <= 0 && burst > least:
		return 0
	case load <= burst*wait && burst > least:
		wait = load / burst
	case usual > least:
		wait += (load - burst*wait) / usual
	default:
		return hopelessWait
	}
	return time.Duration(min(wait, hopelessWait.Seconds()) * float64(time.Second))
}

// room returns the work per second that is left for requests at a place, beside those that
// arrive and go before them: for the next burstMemory, and afterwards.
func (a *admission) room(at place, slots float64, now time.Time) (burst, usual float64) {
	burst, usual = slots, slots
	if at.class == classLeastShare {
		return burst, usual
	}
	ranks := at.rank()
	if at.is(classLate) {
		ranks++
	}
	for r := range ranks {
		a.demand[r].fade(now)
		burst, usual = burst-a.demand[r].burst, usual-a.demand[r].usual
	}
	return burst, usual
}

// enqueue puts a request in the queue, at the place of its verdict.
func (a *admission) enqueue(v verdict) {
	req := v.entry.request
	a.order.add(v.at, v.entry.work.mean.Seconds(), v.entry)
	a.places[req.key()] = v.at
	a.take(req.Workspace, v.entry.work.mean.Seconds())
	if v.entry.least {
		a.grant(req, 1)
	}
}

// drop takes a request out of the queue.
func (a *admission) drop(at place, q queued) {
	a.order.remove(at)
	delete(a.places, q.request.key())
	a.giveBack(q.request.Workspace, q.work.mean.Seconds())
	if q.least {
		a.grant(q.request, -1)
	}
}

// cancel takes the request of a caller out of the queue that has left.
func (a *admission) cancel(key Key) {
	at, waiting := a.places[key]
	if !waiting {
		return
	}
	if q := a.order.find(at); q != nil {
		a.drop(at, *q)
	}
}

// grant counts a request that got a place.
func (a *admission) grant(req Request, n float64) {
	a.routes.grant(req.Route, n)
	a.workspaces.grant(req.Workspace, n)
}

// started counts a request that got a slot, and returns its work.
func (a *admission) started(req Request) float64 {
	load := a.works.of(req.Route).mean.Seconds()
	a.take(req.Workspace, load)
	a.grant(req, 1)
	return load
}

// take and giveBack count the work that a workspace has in hand.
func (a *admission) take(workspace string, load float64) {
	u := a.inHand[workspace]
	a.inHand[workspace] = usage{u.requests + 1, u.work + load}
	a.working += load
}

func (a *admission) giveBack(workspace string, load float64) {
	u := a.inHand[workspace]
	if u.requests <= 1 {
		delete(a.inHand, workspace)
	} else {
		a.inHand[workspace] = usage{u.requests - 1, u.work - load}
	}
	if a.working -= load; len(a.inHand) == 0 {
		a.working = 0 // no rounding errors are kept
	}
}

// displace takes the last request out of the queue if it can't be answered in time any more
// behind those ahead of it, or there are too many.
func (a *admission) displace(slots float64, now time.Time) (q queued, reason Reason, ok bool) {
	if a.order.len() == 0 {
		return queued{}, ReasonNone, false
	}
	at, last := a.order.nth(a.order.len() - 1)
	reason = ReasonDisplaced
	if a.order.len() > maxQueued {
		reason = ReasonFull
	} else if !now.Add(a.waitFor(a.order.load(), at, slots, now) + last.work.usual).After(last.request.Deadline) {
		return queued{}, ReasonNone, false
	}
	q = *last
	a.drop(at, q)
	a.displaced++
	return q, reason, true
}

// sweep takes all requests out of the queue that can't be answered in time any more, and puts
// those back that can't meet their objective.
func (a *admission) sweep(slots float64, now time.Time, refuse func(q queued)) {
	a.bookings.expire(now)
	a.routes.forget(now)
	a.workspaces.forget(now)
	ahead := 0.0
	a.expired = a.expired[:0]
	a.order.each(func(at place, load float64, q *queued) {
		late := at.is(classInTime) && !a.canBeInTime(*q, now)
		hopeless := now.Add(a.waitFor(ahead+load, at, slots, now) + q.work.usual).After(q.request.Deadline)
		if late || hopeless {
			a.expired = append(a.expired, at)
		} else {
			ahead += load
		}
	})
	for _, at := range a.expired {
		q := *a.order.find(at)
		if at.is(classInTime) && !now.Add(q.work.usual).After(q.request.Deadline) {
			at = a.putBack(at, q, now)
			if !now.Add(a.wait(at, q.work, slots, now) + q.work.usual).After(q.request.Deadline) {
				continue
			}
		}
		a.drop(at, q)
		refuse(q)
	}
}

// putBack moves a request behind those that can be in time, and returns its new place.
func (a *admission) putBack(at place, q queued, now time.Time) place {
	a.order.remove(at)
	next := a.placeOf(q, false, false, now)
	a.order.add(next, q.work.mean.Seconds(), q)
	a.places[q.request.key()] = next
	return next
}
