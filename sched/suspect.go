package sched

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
)

// This file keeps requests that crash the servers that run them from further servers; package
// guard has the evidence and the decisions.

const (
	// suspectCost is the cost of a fully used server for a request that may crash it, so that
	// few others run beside it.
	suspectCost = 0.25
	// suspectsInterval is the shortest time between two publications of changed suspects that
	// are not in quarantine.
	suspectsInterval = 500 * time.Millisecond
)

// mustWait reports whether a request has to wait until another copy of it has ended. Copies of
// a suspect run one at a time, so that each of them can crash one server only.
func (s *scheduler) mustWait(req Request) bool {
	return s.copies[req.Print] > 0 && s.guard.Suspected(req.Print)
}

// queueSuspect queues a request that has to wait for another copy of it. A hedge would wait for
// its own first attempt.
func (s *scheduler) queueSuspect(req Request, now time.Time) Placement {
	if _, possible := s.queueWait(req, now); req.Hedge || !possible {
		return Placement{Request: req, RetryAfter: minRetryAfter}
	}
	s.queue = append(s.queue, req)
	return Placement{Request: req, Queued: true}
}

// rejectQuarantined removes the queued requests that have been put in quarantine meanwhile.
func (s *scheduler) rejectQuarantined(now time.Time) []Placement {
	var placements []Placement
	s.queue = slices.DeleteFunc(s.queue, func(req Request) bool {
		left, held := s.guard.Quarantined(req.Print, now)
		if held {
			placements = append(placements, Placement{Request: req, RetryAfter: left, Quarantined: true})
		}
		return held
	})
	return placements
}

// recordEvidence records what the result of a request says about crashes of its server.
func (s *scheduler) recordEvidence(a assignment, r health.Result, now time.Time) {
	if a.print == (guard.Print{}) {
		a.print = r.Print
	}
	switch r.Kind {
	case health.OK, health.Failed:
		s.guard.Answered(s.cell, a.print, now)
		s.guard.Alive(a.server.name, a.boot, a.since)
	case health.Unreachable:
		s.guard.Gone(a.server.name)
	case health.Torn:
		s.guard.Torn(s.cell, guard.Suspect{Print: a.print, Workspace: a.workspace}.WithLabel(r.Label), a.server.name, a.boot, a.since, now)
	}
}

// sameSuspects reports whether two lists have the same suspects, with the same evidence.
func sameSuspects(a, b []guard.Suspect) bool {
	return slices.EqualFunc(a, b, func(a, b guard.Suspect) bool {
		return a.Print == b.Print && a.Crashes == b.Crashes && a.Quarantines == b.Quarantines && a.Until.Equal(b.Until)
	})
}

// inQuarantine returns the suspects that have been put in quarantine.
func inQuarantine(suspects []guard.Suspect) []guard.Suspect {
	var list []guard.Suspect
	for _, s := range suspects {
		if !s.Until.IsZero() {
			list = append(list, s)
		}
	}
	return list
}
