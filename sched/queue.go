package sched

import (
	"math/rand/v2"
	"slices"
	"time"
)

// This file is the scheduler's queue: which requests wait for a slot, in which order they get
// one, and when they are rejected or left to another cell.

const (
	// maxQueue limits the queued requests of a pool.
	maxQueue = 512
	// minRetryAfter and maxRetryAfter bound the retry delay returned for a rejected request.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// queueWait estimates how long a request would wait in the queue, and reports whether it
// could still be answered before its deadline.
func (s *scheduler) queueWait(req Request, now time.Time) (time.Duration, bool) {
	served := s.servedPerSecond(now)
	ahead, late := 1, 0
	for _, other := range s.queue {
		switch {
		case other.Rank > req.Rank:
		case s.inTime(other, now):
			ahead++
		default:
			late++
		}
	}
	wait := s.backlog.wait(ahead, served, true)
	if now.Add(wait + s.serviceTime).After(req.Objective) {
		// It will lose its place to requests that can still meet their objective.
		wait = s.backlog.wait(ahead+late, served, false)
	}
	possible := len(s.servers) > 0 && len(s.queue) < maxQueue && now.Add(wait+s.serviceTime).Before(req.Deadline)
	return wait, possible
}

// servedPerSecond returns the rate at which slots become free while all of them are in use.
func (s *scheduler) servedPerSecond(now time.Time) float64 {
	served, onTrial := 0.0, 0.0
	moment := s.model.At(now)
	for _, srv := range s.servers {
		if moment.Probability(srv.estimate) > maxGrayNonIdempotent {
			continue
		}
		if s.versions.acceptsForwarded(srv) {
			served += srv.servedPerSecond(s.serviceTime)
		} else {
			onTrial += srv.servedPerSecond(s.serviceTime)
		}
	}
	served = s.versions.room(served, onTrial)
	if served == 0 {
		return 1 / max(s.serviceTime, time.Millisecond).Seconds()
	}
	return served
}

// inTime reports whether a request that gets a slot now can meet its objective.
func (s *scheduler) inTime(req Request, now time.Time) bool {
	return now.Add(s.serviceTime).Before(req.Objective)
}

// rejectHopeless removes the queued requests that will not get a slot before it is too late.
func (s *scheduler) rejectHopeless(now time.Time) []Placement {
	s.backlog.advance(now)
	if len(s.queue) == 0 {
		return nil
	}
	served := s.servedPerSecond(now)
	inTime, late := 0, 0
	for _, req := range s.queue {
		if s.inTime(req, now) {
			inTime++
		}
	}
	var placements []Placement
	s.queue = slices.DeleteFunc(s.queue, func(req Request) bool {
		if s.inTime(req, now) {
			return false
		}
		late++
		wait := s.backlog.wait(inTime+late, served, false)
		if now.Add(wait + s.serviceTime).Before(req.Deadline) {
			return false
		}
		late--
		placements = append(placements, Placement{Request: req, RetryAfter: s.retryAfter(inTime, served)})
		return true
	})
	return placements
}

// retryAfter returns the retry delay of a rejected request: the time after which those ahead
// of it have got their slots, spread so that callers do not return together.
func (s *scheduler) retryAfter(ahead int, served float64) time.Duration {
	wait := max(s.backlog.wait(ahead+1, served, true), minRetryAfter)
	return min(wait+rand.N(wait), maxRetryAfter)
}

// moveQueued leaves queued requests to cells that have free slots, the most urgent first.
func (s *scheduler) moveQueued(now time.Time) []Placement {
	var placements []Placement
	for {
		best := -1
		for i, req := range s.queue {
			if !req.Forwarded && !s.mustWait(req) && (best < 0 || s.precedes(req, s.queue[best], now)) {
				best = i
			}
		}
		if best < 0 {
			return placements
		}
		to, ok := s.overflow.withFreeSlot(now)
		if !ok {
			return placements
		}
		placements = append(placements, s.leave(s.queue[best], to))
		s.queue = slices.Delete(s.queue, best, best+1)
	}
}

// placeQueued assigns queued requests to free slots. Requests that can no longer be
// answered in time are sent to any server or rejected, and all are if no server is left.
func (s *scheduler) placeQueued(view poolView, now time.Time) []Placement {
	if s.admission != nil {
		return s.placeWaiting(view, now)
	}
	if len(s.queue) == 0 {
		return nil
	}
	s.sync(view, now)
	placements := s.rejectQuarantined(now)
	s.queue = slices.DeleteFunc(s.queue, func(req Request) bool {
		late := now.Add(s.serviceTime).After(req.Deadline)
		if !late && len(s.servers) > 0 {
			return false
		}
		if s.mustWait(req) {
			placements = append(placements, Placement{Request: req, RetryAfter: minRetryAfter})
			return true
		}
		if to, ok := s.otherCell(req, true, now); ok {
			placements = append(placements, s.leave(req, to))
		} else {
			placements = append(placements, s.placeRegardless(req, s.retryAfter(0, s.servedPerSecond(now)), now))
		}
		return true
	})
	view.belowFloor = s.belowFloor(view, now)
	for len(s.queue) > 0 {
		free := s.withFreeSlot(now)
		if len(free) == 0 {
			return placements
		}
		at, srv := s.nextQueued(free, view, now)
		if at < 0 {
			return placements
		}
		req := s.queue[at]
		s.queue = slices.Delete(s.queue, at, at+1)
		placements = append(placements, s.assign(req, srv, now))
	}
	return placements
}

// withFreeSlot returns the servers that have a free slot, until the next call.
func (s *scheduler) withFreeSlot(now time.Time) []*server {
	s.free = s.free[:0]
	for _, srv := range s.servers {
		if srv.hasFreeSlot(now) {
			s.free = append(s.free, srv)
		}
	}
	return s.free
}

// nextQueued returns the queue position and the server of the request to place next: the
// most urgent one, then one that can still meet its objective, then one of the workspace
// with the fewest requests running, then the oldest.
func (s *scheduler) nextQueued(free []*server, view poolView, now time.Time) (int, *server) {
	best := -1
	var selected *server
	for i, req := range s.queue {
		if best >= 0 && !s.precedes(req, s.queue[best], now) || s.mustWait(req) {
			continue
		}
		if srv := s.selectServer(req, free, view, now); srv != nil {
			best, selected = i, srv
		}
	}
	return best, selected
}

// precedes reports whether request a is placed before b, which arrived earlier.
func (s *scheduler) precedes(a, b Request, now time.Time) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if s.inTime(a, now) != s.inTime(b, now) {
		return s.inTime(a, now)
	}
	return s.running[a.Workspace] < s.running[b.Workspace]
}
