// Package sched is what the holder of a pool's lease decides for the requests of all
// entries: which backend server each gets, which wait, are left to another cell or are
// refused, which servers are ejected, and which get their first requests.
//
// It has no input or output and is given the time. Package pool passes it what entries ask
// and report, and sends them what it decides.
//
// # Usage
//
//	holder := sched.New(sched.Since(now), sched.Evidence(table, "loan-desk"))
//	holder.SetTargets(targets, settings, idleTimeout)
//	placements := holder.Place(request, now)
//	target, assigned := holder.Done(sched.Key{VM: "e1", ID: 7}, result, now)
//	placements = holder.PlaceQueued(now)
package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

// ReportInterval is the interval between the reports of an entry on a pool without failures.
const ReportInterval = 500 * time.Millisecond

// New returns the holder of a cell. It must be given its servers before it places requests.
func New(opts ...Option) *Holder {
	o := newOptions(opts...)
	h := newHolder(o.Since, o.RetryBudget...)
	if o.Guard != nil {
		h.scheduler.guard = o.Guard
	}
	h.scheduler.cell = o.Cell
	h.scheduler.assumeLimits(o.Limits)
	if o.Admission == AdmissionWork {
		h.scheduler.admission = newAdmission()
	}
	return h
}

// SetTrial sets the share of the requests that a new version gets, and what counts the results of
// the versions, or nil. It must follow SetTargets, which ends a trial.
func (h *Holder) SetTrial(trial pick.Trial, counter *canary.Counter) {
	h.view.trial, h.view.counter = trial, counter
}

// Since returns the time from which the VM has held the cell.
func (h *Holder) Since() time.Time { return h.since }

// HasTargets reports whether the holder was given this very list of servers.
func (h *Holder) HasTargets(targets []fleet.Target) bool {
	return h.view.ramp != nil && fleet.SameList(targets, h.view.targets)
}

// Place assigns, queues, forwards or refuses a request. Decisions on queued requests that it
// leads to come first.
func (h *Holder) Place(req Request, now time.Time) []Placement {
	placed := h.scheduler.place(req, h.view, now)
	return append(h.scheduler.takeDisplaced(), placed)
}

// Done frees the slot of a request and returns its server, or removes the request from the
// queue. An empty kind of result means that the request was not sent.
func (h *Holder) Done(key Key, r health.Result, now time.Time) (target string, assigned bool) {
	return h.scheduler.done(key, r, now)
}

// PlaceQueued decides on the queued requests after slots have become free.
func (h *Holder) PlaceQueued(now time.Time) []Placement {
	return h.scheduler.placeQueued(h.view, now)
}

// Tick removes expired state and decides on the queued requests.
func (h *Holder) Tick(now time.Time) []Placement { return h.scheduler.tick(h.view, now) }

// SetCutOff replaces the entries that reach no server by themselves.
func (h *Holder) SetCutOff(vms []string, now time.Time) { h.scheduler.setCutOff(vms, now) }

// Published returns the status that PublishDue last took as published.
func (h *Holder) Published() Status { return h.published }

// LoadDue reports whether the other cells of the pool must hear of this one's load, and if so
// takes it as sent.
func (h *Holder) LoadDue(now time.Time) bool {
	if now.Sub(h.loadSentAt) < loadInterval {
		return false
	}
	h.loadSentAt = now
	return true
}

// Load returns the free slots of the servers that are likely to work, and the time that a
// request would wait for one.
func (h *Holder) Load(now time.Time) (freeSlots int, wait time.Duration) {
	return h.scheduler.load(h.view, now)
}

// ReportLoad records the load of another cell of the pool.
func (h *Holder) ReportLoad(cell string, load CellLoad) { h.scheduler.overflow.report(cell, load) }

// Queue returns what waits, and reports false if the queue is not ordered by work.
func (h *Holder) Queue(now time.Time) (QueueStatus, bool) {
	if h.scheduler.admission == nil {
		return QueueStatus{}, false
	}
	return h.scheduler.queueStatus(now), true
}
