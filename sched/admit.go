package sched

import (
	"slices"
	"time"
)

// This file connects the scheduler with admission by work: admission says who waits, the
// scheduler finds the servers.

// roomTTL is how long the number of usable slots is taken as unchanged. A decision must not
// look at all servers.
const roomTTL = 20 * time.Millisecond

// usableSlots returns the number of slots that can be counted on: those of servers that are
// likely to work, as far as their ramps are, less the part that they turn away, and no more
// than a limit that they name can fill.
func (s *scheduler) usableSlots(now time.Time) float64 {
	if s.roomAt.Equal(now) || now.Sub(s.roomAt) < roomTTL && len(s.servers) == s.roomServers {
		return s.room
	}
	s.roomAt, s.roomServers = now, len(s.servers)
	proven, onTrial := 0.0, 0.0
	mean := s.admission.works.of("").mean
	moment := s.model.At(now)
	for _, srv := range s.servers {
		if srv.ejected || srv.rejecting(now) || moment.Probability(srv.estimate) > maxGrayNonIdempotent {
			continue
		}
		slots := srv.slots
		if srv.ramp != nil {
			slots = min(slots, srv.ramp.Limit(now))
		}
		usable := min(float64(slots), srv.servedPerSecond(mean)*mean.Seconds()) * (1 - srv.shedShare(now))
		if s.versions.acceptsForwarded(srv) {
			proven += usable
		} else {
			onTrial += usable
		}
	}
	s.room = s.versions.room(proven, onTrial)
	if s.room == 0 && len(s.servers) > 0 {
		s.room = 1
	}
	return s.room
}

// admit places a request by work: on a server, in the queue, in another cell, or nowhere.
func (s *scheduler) admit(req Request, view poolView, now time.Time) Placement {
	a := s.admission
	a.cancel(req.key()) // an entry of an earlier version numbers its requests anew after each start
	a.arrived(req, now)
	placed := s.placeByWork(req, view, now)
	if placed.Forward != (Destination{}) {
		a.withdraw(req)
	} else {
		a.decided(req, now)
	}
	return placed
}

func (s *scheduler) placeByWork(req Request, view poolView, now time.Time) Placement {
	a := s.admission
	if s.mustWait(req) {
		return s.admitCopy(req, now)
	}
	srv := s.selectServer(req, s.servers, view, now)
	if srv != nil && a.order.len() > 0 {
		// The slot belongs to those that wait, as far as they can use it.
		s.displaced = append(s.displaced, s.placeWaiting(view, now)...)
		srv = s.selectServer(req, s.servers, view, now)
	}
	if srv != nil {
		return s.assign(req, srv, now)
	}
	v := a.judge(req, s.usableSlots(now), now)
	pause, paused := s.allPaused(req, now)
	if to, ok := s.otherCell(req, v.wait && !paused, now); ok {
		return s.leave(req, to)
	}
	if paused {
		return Placement{Request: req, RetryAfter: min(max(pause, minRetryAfter), maxRetryAfter), Reason: ReasonPaused}
	}
	if !v.wait {
		return s.refuse(req, v.reason, v.earliest, now)
	}
	a.enqueue(v)
	s.displaced = append(s.displaced, s.displace(now)...)
	if _, waiting := a.places[req.key()]; waiting {
		return Placement{Request: req, Queued: true}
	}
	return s.takeOutcome(req)
}

// admitCopy queues a request that has to wait for another copy of it. A hedge would wait for
// its own first attempt.
func (s *scheduler) admitCopy(req Request, now time.Time) Placement {
	v := s.admission.judge(req, s.usableSlots(now), now)
	if req.Hedge || !v.wait {
		return Placement{Request: req, RetryAfter: minRetryAfter, Reason: ReasonCopy}
	}
	s.admission.enqueue(v)
	return Placement{Request: req, Queued: true}
}

// refuse gives a request that can't wait a free slot of any server, or refuses it and books
// the moment at which it may come back.
func (s *scheduler) refuse(req Request, reason Reason, earliest time.Duration, now time.Time) Placement {
	placed := s.placeRegardless(req, 0, now)
	if placed.Target != "" {
		return placed
	}
	a := s.admission
	at := place{class: classOf(req.Rank, classBooked)}
	slots := s.usableSlots(now)
	w := a.works.of(req.Route)
	burst, usual := a.room(at, slots, now)
	rate := max(min(burst, usual), leastRoom*slots)
	placed.RetryAfter = a.bookings.book(req.Print, w.mean.Seconds(), rate, earliest, req.Deadline.Sub(now)-w.usual, now)
	placed.Reason = reason
	return placed
}

// displace refuses the queued requests that have lost their places to others.
func (s *scheduler) displace(now time.Time) []Placement {
	var placements []Placement
	for {
		q, reason, ok := s.admission.displace(s.usableSlots(now), now)
		if !ok {
			return placements
		}
		placements = append(placements, s.refuse(q.request, reason, 0, now))
	}
}

// takeOutcome returns the decision on a request from those that are kept, or that it waits.
func (s *scheduler) takeOutcome(req Request) Placement {
	for i, p := range s.displaced {
		if p.Request.key() == req.key() {
			s.displaced = slices.Delete(s.displaced, i, i+1)
			return p
		}
	}
	return Placement{Request: req, Queued: true}
}

// takeDisplaced returns the decisions on queued requests that the last arrival has led to.
func (s *scheduler) takeDisplaced() []Placement {
	placements := s.displaced
	s.displaced = nil
	return placements
}

// placeWaiting assigns the queued requests to free slots, in their order. Those that no free
// server is good enough for stay where they are.
func (s *scheduler) placeWaiting(view poolView, now time.Time) []Placement {
	a := s.admission
	if a.order.len() == 0 {
		return nil
	}
	s.sync(view, now)
	view.belowFloor = s.belowFloor(view, now)
	var placements []Placement
	for skipped := 0; skipped < min(a.order.len(), maxTried); {
		at, waiting := a.order.nth(skipped)
		q := *waiting
		left, held := s.guard.Quarantined(q.request.Print, now)
		late := now.Add(q.work.usual).After(q.request.Deadline)
		switch {
		case held:
			a.drop(at, q)
			placements = append(placements, Placement{Request: q.request, RetryAfter: left, Quarantined: true})
			continue
		case late || len(s.servers) == 0:
			a.drop(at, q)
			placements = append(placements, s.giveUp(q.request, now))
			continue
		case at.is(classInTime) && !a.canBeInTime(q, now):
			a.putBack(at, q, now)
			continue
		case s.mustWait(q.request):
			skipped++
			continue
		}
		free := s.withFreeSlot(now)
		if len(free) == 0 {
			return placements
		}
		srv := s.selectServer(q.request, free, view, now)
		if srv == nil {
			skipped++
			continue
		}
		a.drop(at, q)
		placements = append(placements, s.assign(q.request, srv, now))
	}
	return placements
}

// giveUp leaves a queued request that can't be answered in time to another cell, or refuses it.
func (s *scheduler) giveUp(req Request, now time.Time) Placement {
	if s.mustWait(req) {
		return Placement{Request: req, RetryAfter: minRetryAfter, Reason: ReasonCopy}
	}
	if to, ok := s.otherCell(req, true, now); ok {
		s.admission.left(req, now)
		return s.leave(req, to)
	}
	return s.refuse(req, ReasonDeadline, 0, now)
}

// moveWaiting leaves queued requests to cells that have free slots, in their order.
func (s *scheduler) moveWaiting(now time.Time) []Placement {
	a := s.admission
	var placements []Placement
	for skipped := 0; skipped < a.order.len(); {
		at, waiting := a.order.nth(skipped)
		q := *waiting
		if q.request.Forwarded || s.mustWait(q.request) {
			skipped++
			continue
		}
		to, ok := s.overflow.withFreeSlot(now)
		if !ok {
			break
		}
		a.drop(at, q)
		a.left(q.request, now)
		placements = append(placements, s.leave(q.request, to))
	}
	return placements
}

// sweepWaiting refuses all queued requests that can't be answered in time any more.
func (s *scheduler) sweepWaiting(now time.Time) []Placement {
	var placements []Placement
	s.admission.sweep(s.usableSlots(now), now, func(q queued) {
		if left, held := s.guard.Quarantined(q.request.Print, now); held {
			placements = append(placements, Placement{Request: q.request, RetryAfter: left, Quarantined: true})
			return
		}
		placements = append(placements, s.giveUp(q.request, now))
	})
	return placements
}

// QueueStatus is what waits in a cell, and what is known of the work of its requests.
type QueueStatus struct {
	// Waiting counts the queued requests by rank, Late those that can't meet their objective.
	Waiting map[int]int `json:"waiting,omitempty"`
	Late    int         `json:"late"`
	// Seconds is the time that the work of all queued requests takes.
	Seconds float64 `json:"seconds"`
	// Displaced counts those that lost their places since this VM holds the cell, Booked those
	// that were told when to come back and are expected.
	Displaced uint64      `json:"displaced"`
	Booked    int         `json:"booked"`
	Slots     float64     `json:"slots"`
	Routes    []RouteWork `json:"routes,omitempty"`
}

// RouteWork is the work that requests of a route need.
type RouteWork struct {
	Route  string        `json:"route"`
	Mean   time.Duration `json:"mean"`
	Usual  time.Duration `json:"usual"`
	Likely time.Duration `json:"likely"`
}

// queueStatus returns the status of the queue.
func (s *scheduler) queueStatus(now time.Time) QueueStatus {
	a := s.admission
	status := QueueStatus{
		Waiting: make(map[int]int), Displaced: a.displaced, Booked: len(a.bookings.byPrint), Slots: s.usableSlots(now),
	}
	a.order.each(func(at place, _ float64, q *queued) {
		status.Waiting[q.request.Rank]++
		if at.is(classLate) {
			status.Late++
		}
	})
	status.Seconds = a.order.load() / max(1, status.Slots)
	for route, l := range a.works.byRoute {
		status.Routes = append(status.Routes, RouteWork{Route: route, Mean: l.work.mean, Usual: l.work.usual, Likely: l.work.likely})
	}
	slices.SortFunc(status.Routes, func(a, b RouteWork) int { return int(b.Mean - a.Mean) })
	return status
}
