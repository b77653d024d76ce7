package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// earlyShareOfService is the part of the usual service time after which a request that
	// has not failed counts in favour of its server, at least minEarly and at most maxEarly.
	earlyShareOfService = 0.2
	minEarly            = 10 * time.Millisecond
	maxEarly            = 100 * time.Millisecond
	// overdueFactor is the multiple of the usual service time after which a request without
	// a result counts against its server.
	overdueFactor = 2.5
	// initialEarlyFailures is the assumed part of the failures that show early, and
	// earlyFailureWeight the weight of one failure in its moving average.
	initialEarlyFailures = 0.5
	earlyFailureWeight   = 0.05
)

// evidence derives from running requests what their results would show only later.
//
// The load it answers: a pool in which servers turn gray at any time, and requests that must
// run once and take a few hundred milliseconds. When the last success of a server arrives,
// its request was accepted that long ago, and the server may have turned gray since. One
// that has accepted a request some milliseconds ago and has not failed it is a safer choice.
// Servers that hang are noticed by their overdue requests, long before the deadline.
type evidence struct {
	// early and overdue hold the assignments in the order of their start, until they have run
	// for long enough to count in favour of or against their server. Some have ended by then.
	early   []startedAssignment
	overdue []startedAssignment
	// earlyFailures is the part of the failures that show early.
	earlyFailures float64
}

// startedAssignment identifies an assignment that was started at a time.
type startedAssignment struct {
	key Key
	at  time.Time
}

// overdueRequest is a request without a result, and the entry that sent it.
type overdueRequest struct {
	vm string
	at time.Time
}

func newEvidence() evidence { return evidence{earlyFailures: initialEarlyFailures} }

// earlyAfter is the time after which a request that has not failed counts as evidence.
func earlyAfter(serviceTime time.Duration) time.Duration {
	return min(max(time.Duration(earlyShareOfService*float64(serviceTime)), minEarly), maxEarly)
}

// started records an assignment.
func (e *evidence) started(key Key, now time.Time) {
	e.early = append(e.early, startedAssignment{key, now})
	e.overdue = append(e.overdue, startedAssignment{key, now})
}

// failed learns whether failures show early.
func (e *evidence) failed(r health.Result, serviceTime time.Duration) {
	value := 0.0
	if r.Latency < earlyAfter(serviceTime) {
		value = 1
	}
	e.earlyFailures += earlyFailureWeight * (value - e.earlyFailures)
}

// take removes and returns the assignments that were started before a time.
func take(list *[]startedAssignment, before time.Time) []startedAssignment {
	n := 0
	for n < len(*list) && !(*list)[n].at.After(before) {
		n++
	}
	due := (*list)[:n]
	*list = (*list)[n:]
	return due
}

// observeRunning updates the estimates by the requests that have run for long enough.
func (s *scheduler) observeRunning(now time.Time) {
	for _, d := range take(&s.evidence.early, now.Add(-earlyAfter(s.serviceTime))) {
		a, running := s.assignments[d.key]
		if !running || !a.since.Equal(d.at) {
			continue
		}
		if a.server.silent {
			continue // that it does not fail the request is no sign that it answers
		}
		a.seen = s.evidence.earlyFailures
		s.assignments[d.key] = a
		a.server.estimate = a.server.estimate.WithoutFailure(s.model, a.seen, now)
	}
	limit := time.Duration(overdueFactor * float64(s.serviceTime))
	for _, d := range take(&s.evidence.overdue, now.Add(-limit)) {
		a, running := s.assignments[d.key]
		if !running || !a.since.Equal(d.at) || s.paths.answeredOther(d.key.VM, a.server.name, a.since) ||
			s.cutOff.preceded(d.key.VM, a.since) {
			continue
		}
		first := a.server.overdueRequest
		if first.vm == "" || first.vm == d.key.VM || s.paths.answeredOther("", a.server.name, first.at) {
			// One entry may have lost its path to the server.
			a.server.overdueRequest = overdueRequest{d.key.VM, d.at}
			continue
		}
		a.server.silent = true
		s.blame(a.server, d.key.VM, now)
	}
}
