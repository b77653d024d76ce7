package pool

import (
	"context"
	"maps"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// holderTimeout is how long an entry waits at least for the first answer of a pool's holder
	// before it chooses locally. It covers a round trip between regions. maxHolderTimeout is how long
	// it waits for one whose answers take that long.
	holderTimeout    = 150 * time.Millisecond
	maxHolderTimeout = 400 * time.Millisecond
	// maxLate bounds the slot requests whose late answers are awaited, and lateTTL how long.
	maxLate = 256
	lateTTL = 2 * time.Second
	// defaultTimeout applies to requests that have neither a timeout nor a deadline.
	defaultTimeout = time.Hour
)

// PlacementMode selects who chooses the backend server of a request.
type PlacementMode string

// The placement modes.
const (
	// PlacementLocal lets every entry choose for its own requests.
	PlacementLocal PlacementMode = "local"
	// PlacementHolder lets the holder of the pool choose for all entries.
	PlacementHolder PlacementMode = "holder"
)

// OverloadError is the answer of a pool's holder that the request cannot be served
// within its deadline.
type OverloadError struct {
	// RetryAfter is the time after which a slot is likely to be free.
	RetryAfter time.Duration
	// Reason is why, if the holder tells.
	Reason sched.Reason
}

func (e *OverloadError) Error() string {
	const text = "no slot of the pool becomes free before the deadline"
	if e.Reason == sched.ReasonNone {
		return text
	}
	return text + " (" + string(e.Reason) + ")"
}

// After returns the time after which a slot is likely to be free.
func (e *OverloadError) After() time.Duration { return e.RetryAfter }

// Unwrap returns pick.ErrNoServer.
func (e *OverloadError) Unwrap() error { return pick.ErrNoServer }

// slotAnswer is an answer to a slot request, with the VM that sent it.
type slotAnswer struct {
	*wire.SlotAnswer
	from string
}

// maxSlotAnswers is the number of answers to one slot request: it is queued in its own cell,
// queued in another one, and decided.
const maxSlotAnswers = 4

// pendingRequest is a slot request of this VM that waits for the decision of a holder.
type pendingRequest struct {
	answers chan slotAnswer
	// cell and holder are those that were asked, or sent the last answer.
	cell, holder string
	sentAt       time.Time
}

// requestSlot asks the holder of a cell for a backend server. It reports false if this VM
// has to choose locally.
func (b *Balancer) requestSlot(ctx context.Context, pool string, r pick.Request) (pick.Choice, error, bool) {
	if b.options.Placement != PlacementHolder {
		return pick.Choice{}, nil, false
	}
	cell, holder, known := b.cellToAsk(pool)
	if !known {
		return pick.Choice{}, nil, false
	}
	b.mu.Lock()
	b.lastID++
	m := b.slotRequest(ctx, cell, b.lastID, r)
	waiting := &pendingRequest{answers: make(chan slotAnswer, maxSlotAnswers), cell: cell, holder: holder, sentAt: b.options.Clock.Now()}
	b.pending[m.GetId()] = waiting
	b.mu.Unlock()
	defer b.removePending(m.GetId())
	if holder == b.options.VM {
		b.receiveSlotAsk(holder, m)
	} else {
		b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_SlotAsk{SlotAsk: m}})
	}
	return b.awaitSlot(ctx, m, waiting, r)
}

// cellToAsk returns the first cell of a pool whose holder is known and has not just failed.
func (b *Balancer) cellToAsk(pool string) (cell, holder string, known bool) {
	for _, cell := range b.servers(pool).homeCells(b.options.VM) {
		if b.leases.RecentlyFailed(LeaseName(cell)) {
			continue
		}
		if holder, known := b.holderVM(cell); known {
			return cell, holder, true
		}
	}
	return "", "", false
}

// holderVM returns the VM that holds the lease of a cell.
func (b *Balancer) holderVM(cell string) (string, bool) {
	if _, held := b.leases.Held(LeaseName(cell)); held {
		return b.options.VM, true
	}
	vm, known := b.leases.Holder(LeaseName(cell))
	return vm, known && vm != b.options.VM
}

func (b *Balancer) slotRequest(ctx context.Context, cell string, id uint64, r pick.Request) *wire.SlotAsk {
	remaining := defaultTimeout
	if end, ok := ctx.Deadline(); ok {
		remaining = time.Until(end)
	}
	if r.Timeout > 0 {
		remaining = min(remaining, r.Timeout)
	}
	objective := r.Objective
	if objective <= 0 {
		objective = remaining
	}
	now := b.options.Clock.Now()
	return requestToWire(sched.Request{
		ID: id, DataCentre: b.options.DataCentre, Idempotent: r.Idempotent, Rank: r.Rank, Workspace: r.Workspace, Route: r.Route,
		Print: r.Print, Hedge: r.Hedge, Avoid: r.Avoid, Arrived: r.Arrived, Bytes: r.Bytes, Objective: now.Add(objective), Deadline: now.Add(remaining),
	}, cell, now)
}

// awaitSlot waits for the decision of the holder. It reports false, so that this VM chooses
// locally, if the holder does not answer in time, or is lost while the request is in its
// queue.
func (b *Balancer) awaitSlot(ctx context.Context, m *wire.SlotAsk, w *pendingRequest, r pick.Request) (pick.Choice, error, bool) {
	asked := w.cell
	timer := time.NewTimer(b.answerTimeout(asked))
	defer timer.Stop()
	answered, queued := false, false
	for {
		select {
		case answer := <-w.answers:
			if !answered {
				answered = true
				b.learnAnswer(asked, w.sentAt)
			}
			w.cell, w.holder = answer.GetPool(), answer.from
			if answer.GetNotHolder() {
				b.leases.ReportFailure(LeaseName(w.cell))
				return pick.Choice{}, nil, false
			}
			b.leases.ReportSuccess(LeaseName(w.cell))
			switch {
			case answer.GetQueued():
				queued = true
				timer.Reset(holderTimeout)
				continue
			case answer.GetQuarantined():
				return pick.Choice{}, &pick.QuarantineError{Left: time.Duration(answer.GetRetryMicros()) * time.Microsecond}, true
			case answer.GetTarget() == "":
				return pick.Choice{}, &OverloadError{
					RetryAfter: time.Duration(answer.GetRetryMicros()) * time.Microsecond, Reason: sched.Reason(answer.GetReason()),
				}, true
			}
			choice, ok := b.acceptSlot(w.cell, w.holder, m.GetId(), answer.GetTarget(), r.Label)
			return choice, nil, ok
		case <-timer.C:
			if queued && b.stillHolds(w.cell, w.holder) {
				timer.Reset(holderTimeout)
				continue
			}
			if !queued {
				b.leases.ReportFailure(LeaseName(w.cell))
				b.expectLate(m.GetId(), asked, w.sentAt)
			}
			b.releaseSlot(w.cell, w.holder, m.GetId(), health.Result{})
			return pick.Choice{}, nil, false
		case <-ctx.Done():
			b.releaseSlot(w.cell, w.holder, m.GetId(), health.Result{})
			return pick.Choice{}, pick.ErrNoServer, true
		}
	}
}

// stillHolds reports whether a VM is still known as the holder of a cell, and answers.
func (b *Balancer) stillHolds(cell, vm string) bool {
	holder, known := b.holderVM(cell)
	return known && holder == vm && !b.leases.RecentlyFailed(LeaseName(cell))
}

// lateRequest is a slot request that was not answered in time.
type lateRequest struct {
	cell   string
	sentAt time.Time
}

// answerTimeout returns how long to wait for the first answer of the holder of a cell.
func (b *Balancer) answerTimeout(cell string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cellState(cell).answers.Usual(holderTimeout, maxHolderTimeout)
}

// learnAnswer notes that the holder of a cell has answered a request.
func (b *Balancer) learnAnswer(cell string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cellState(cell).answers.Learn(b.options.Clock.Now().Sub(sentAt))
}

// expectLate notes a request whose answer may still come, which shows how long the holder takes.
func (b *Balancer) expectLate(id uint64, cell string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.late) >= maxLate {
		now := b.options.Clock.Now()
		maps.DeleteFunc(b.late, func(_ uint64, r lateRequest) bool { return now.Sub(r.sentAt) > lateTTL })
	}
	if len(b.late) < maxLate {
		b.late[id] = lateRequest{cell, sentAt}
	}
}

// acceptSlot uses the backend server that the holder has assigned. If this VM does not
// know the server yet, or knows that it must not be used, the slot is released.
func (b *Balancer) acceptSlot(cell, holder string, id uint64, name, label string) (pick.Choice, bool) {
	t, known := b.target(cell, name)
	if !known || !pick.IsEligible(t, b.options.State()) || b.leaving.Load().has(t) || b.isRetired(t) {
		b.releaseSlot(cell, holder, id, health.Result{})
		return pick.Choice{}, false
	}
	if left := b.pauseLeft(cell, t); left > 0 {
		b.releaseSlot(cell, holder, id, health.Result{Pause: left})
		return pick.Choice{}, false
	}
	return pick.Choice{Target: t, RetryCounted: true, Check: func() error { return b.checkStays(t) }, Done: func(r health.Result) {
		if r.Leaving {
			b.markLeaving(t.Pool, t.Name, t.Boot)
			r.LeavingBoot = t.Boot
		}
		b.finishPlaced(cell, t, r)
		if r.Kind == health.Torn {
			r.Label = label
		}
		b.releaseSlot(cell, holder, id, r)
	}}, true
}

// finishPlaced records the result of a request that a holder has placed, for choices of
// this VM alone. It is not part of the reports to the holder, which receives it by itself.
func (b *Balancer) finishPlaced(cell string, t fleet.Target, r health.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cs, now := b.cellState(cell), b.options.Clock.Now()
	cs.server(t.Name).recordLocally(r, now)
	cs.recordPause(t, r, now)
	if r.Kind == health.OK {
		cs.latency.add(r.Latency)
	}
}

// pauseLeft returns the rest of the pause that a server has named to this VM. The holder may not
// know of it yet.
func (b *Balancer) pauseLeft(cell string, t fleet.Target) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cellState(cell).pauseLeft(t, b.options.Clock.Now())
}

// releaseSlot reports the result of a request to the holder, which frees its slot. An
// empty result means that the request was not sent.
func (b *Balancer) releaseSlot(cell, holder string, id uint64, r health.Result) {
	m := &wire.SlotDone{
		Pool: cell, Id: id, Result: string(r.Kind), LatencyMicros: uint64(r.Latency.Microseconds()), Cold: r.Cold, Limit: limitToWire(r.Limit),
		Label: r.Label, LeavingBoot: r.LeavingBoot, PauseMicros: uint64(r.Pause.Microseconds()),
		Print: r.Print.Bytes(),
	}
	if holder == b.options.VM {
		b.receiveSlotDone(holder, m, b.options.Clock.Now())
		return
	}
	b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_SlotDone{SlotDone: m}})
}

func (b *Balancer) removePending(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
}

// receiveSlotAnswer passes the holder's answer to the waiting request. A slot for a
// request that no longer waits is released.
func (b *Balancer) receiveSlotAnswer(from string, m *wire.SlotAnswer) {
	b.mu.Lock()
	w, ok := b.pending[m.GetId()]
	if late, ok := b.late[m.GetId()]; ok {
		delete(b.late, m.GetId())
		b.cellState(late.cell).answers.Learn(b.options.Clock.Now().Sub(late.sentAt))
	}
	b.mu.Unlock()
	if ok {
		select {
		case w.answers <- slotAnswer{m, from}:
			return
		default:
		}
	}
	if m.GetTarget() != "" || m.GetQueued() {
		b.releaseSlot(m.GetPool(), from, m.GetId(), health.Result{})
	}
}
