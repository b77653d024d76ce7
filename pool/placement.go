package pool

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// holderTimeout is how long an entry waits for the first answer of a pool's holder
	// before it chooses locally. It covers a round trip between regions.
	holderTimeout = 150 * time.Millisecond
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
}

func (e *OverloadError) Error() string { return "no slot of the pool becomes free before the deadline" }

// After returns the time after which a slot is likely to be free.
func (e *OverloadError) After() time.Duration { return e.RetryAfter }

// Unwrap returns pick.ErrNoServer.
func (e *OverloadError) Unwrap() error { return pick.ErrNoServer }

// pendingRequest is a slot request of this VM that waits for the answer of the holder.
type pendingRequest struct {
	answers chan *wire.SlotAnswer
}

// requestSlot asks the holder of a pool for a backend server. It reports false if this
// VM has to choose locally.
func (b *Balancer) requestSlot(ctx context.Context, pool string, r pick.Request) (pick.Choice, error, bool) {
	if b.options.Placement != PlacementHolder || b.leases.RecentlyFailed(LeaseName(pool)) {
		return pick.Choice{}, nil, false
	}
	b.mu.Lock()
	b.lastID++
	m := b.slotRequest(ctx, pool, b.lastID, r)
	waiting := &pendingRequest{answers: make(chan *wire.SlotAnswer, 2)}
	b.pending[m.GetId()] = waiting
	holder, known := b.holderVM(pool)
	var placements []placement
	if known && holder == b.options.VM {
		placements = b.placeRequest(b.options.VM, b.options.DataCentre, m)
	}
	b.mu.Unlock()
	defer b.removePending(m.GetId())
	if !known {
		return pick.Choice{}, nil, false
	}
	b.sendPlacements(pool, placements)
	if holder != b.options.VM {
		b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_SlotAsk{SlotAsk: m}})
	}
	return b.awaitSlot(ctx, pool, holder, m, waiting)
}

// holderVM returns the VM that holds the lease of a pool.
func (b *Balancer) holderVM(pool string) (string, bool) {
	if _, held := b.leases.Held(LeaseName(pool)); held {
		return b.options.VM, true
	}
	vm, known := b.leases.Holder(LeaseName(pool))
	return vm, known && vm != b.options.VM
}

func (b *Balancer) slotRequest(ctx context.Context, pool string, id uint64, r pick.Request) *wire.SlotAsk {
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
	return &wire.SlotAsk{
		Pool: pool, Id: id, Idempotent: r.Idempotent, Rank: uint32(max(0, r.Rank)), Workspace: r.Workspace,
		ObjectiveMicros: uint64(max(0, objective).Microseconds()), DeadlineMicros: uint64(max(0, remaining).Microseconds()),
		Avoid: r.Avoid, Arrived: r.Arrived, Bytes: uint64(max(0, r.Bytes)),
	}
}

// awaitSlot waits for the answer of the holder. It reports false, so that this VM chooses
// locally, if the holder does not answer in time or leaves the request in its queue for
// more than half of the remaining time.
func (b *Balancer) awaitSlot(ctx context.Context, pool, holder string, m *wire.SlotAsk, w *pendingRequest) (pick.Choice, error, bool) {
	timer := time.NewTimer(holderTimeout)
	defer timer.Stop()
	for {
		select {
		case answer := <-w.answers:
			if !answer.GetNotHolder() {
				b.leases.ReportSuccess(LeaseName(pool))
			}
			switch {
			case answer.GetNotHolder():
				b.leases.ReportFailure(LeaseName(pool))
				return pick.Choice{}, nil, false
			case answer.GetQueued():
				timer.Reset(time.Duration(m.GetDeadlineMicros()) * time.Microsecond / 2)
				continue
			case answer.GetTarget() == "":
				return pick.Choice{}, &OverloadError{RetryAfter: time.Duration(answer.GetRetryMicros()) * time.Microsecond}, true
			}
			choice, ok := b.acceptSlot(pool, holder, m.GetId(), answer.GetTarget())
			return choice, nil, ok
		case <-timer.C:
			b.leases.ReportFailure(LeaseName(pool))
			b.releaseSlot(pool, holder, m.GetId(), health.Result{})
			return pick.Choice{}, nil, false
		case <-ctx.Done():
			b.releaseSlot(pool, holder, m.GetId(), health.Result{})
			return pick.Choice{}, pick.ErrNoServer, true
		}
	}
}

// acceptSlot uses the backend server that the holder has assigned. If this VM does not
// know the server yet, or knows that it must not be used, the slot is released.
func (b *Balancer) acceptSlot(pool, holder string, id uint64, name string) (pick.Choice, bool) {
	t, known := b.fleet.Directory().Target(name)
	if !known || t.Pool != pool || !pick.IsEligible(t, b.options.State()) {
		b.releaseSlot(pool, holder, id, health.Result{})
		return pick.Choice{}, false
	}
	return pick.Choice{Target: t, RetryCounted: true, Done: func(r health.Result) {
		b.finishPlaced(pool, t.Name, r)
		b.releaseSlot(pool, holder, id, r)
	}}, true
}

// finishPlaced records the result of a request that the holder has placed, for choices of
// this VM alone. It is not part of the reports to the holder, which receives it by itself.
func (b *Balancer) finishPlaced(pool, target string, r health.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ps := b.poolState(pool)
	ps.server(target).recordLocally(r, b.options.Clock.Now())
	if r.Kind == health.OK {
		ps.latency.add(r.Latency)
	}
}

// releaseSlot reports the result of a request to the holder, which frees its slot. An
// empty result means that the request was not sent.
func (b *Balancer) releaseSlot(pool, holder string, id uint64, r health.Result) {
	m := &wire.SlotDone{Pool: pool, Id: id, Result: string(r.Kind), LatencyMicros: uint64(r.Latency.Microseconds()), Cold: r.Cold}
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

// placeRequest handles a slot request as the holder. It returns nil if this VM does not
// hold the pool.
func (b *Balancer) placeRequest(vm, dataCentre string, m *wire.SlotAsk) []placement {
	now := b.options.Clock.Now()
	h := b.localHolder(m.GetPool())
	if h == nil {
		return nil
	}
	req := request{
		vm: vm, id: m.GetId(), dataCentre: dataCentre, idempotent: m.GetIdempotent(), rank: int(m.GetRank()),
		workspace: m.GetWorkspace(), avoid: m.GetAvoid(), arrived: m.GetArrived(), bytes: int64(m.GetBytes()),
		objective: now.Add(time.Duration(m.GetObjectiveMicros()) * time.Microsecond),
		deadline:  now.Add(time.Duration(m.GetDeadlineMicros()) * time.Microsecond),
	}
	return []placement{h.scheduler.place(req, b.poolView(m.GetPool(), h), now)}
}

// poolView returns the scheduler's view of the backend servers of its pool. It costs no more
// for a large pool than for a small one while neither the servers nor the state change.
func (b *Balancer) poolView(pool string, h *holder) poolView {
	targets := b.eligible(pool)
	if !sameSlice(targets, h.view.targets) || h.view.ramp == nil {
		settings, _ := state.Get[state.Pool](b.options.State(), pool)
		h.setTargets(targets, settings, b.options.KeepConnections)
	}
	return h.view
}

// receiveSlotAsk handles the slot request of another entry.
func (b *Balancer) receiveSlotAsk(from string, m *wire.SlotAsk) {
	dataCentre := ""
	for _, entry := range b.fleet.Members() {
		if entry.VM == from {
			dataCentre = entry.DataCentre
		}
	}
	b.mu.Lock()
	placements := b.placeRequest(from, dataCentre, m)
	b.mu.Unlock()
	if placements == nil {
		answer := &wire.SlotAnswer{Pool: m.GetPool(), Id: m.GetId(), NotHolder: true}
		b.link.Send(from, &wire.Envelope{Body: &wire.Envelope_SlotAnswer{SlotAnswer: answer}})
		return
	}
	b.sendPlacements(m.GetPool(), placements)
}

// sendPlacements sends the decisions of the scheduler to the requesting entries, which
// may include this one.
func (b *Balancer) sendPlacements(pool string, placements []placement) {
	for _, placed := range placements {
		answer := &wire.SlotAnswer{
			Pool: pool, Id: placed.request.id, Target: placed.target, Queued: placed.queued, RetryMicros: uint64(placed.retryAfter.Microseconds()),
		}
		if placed.request.vm == b.options.VM {
			b.receiveSlotAnswer(b.options.VM, answer)
			continue
		}
		b.link.Send(placed.request.vm, &wire.Envelope{Body: &wire.Envelope_SlotAnswer{SlotAnswer: answer}})
	}
}

// receiveSlotAnswer passes the holder's answer to the waiting request. A slot for a
// request that no longer waits is released.
func (b *Balancer) receiveSlotAnswer(from string, m *wire.SlotAnswer) {
	b.mu.Lock()
	w, ok := b.pending[m.GetId()]
	b.mu.Unlock()
	if ok {
		select {
		case w.answers <- m:
			return
		default:
		}
	}
	if m.GetTarget() != "" {
		b.releaseSlot(m.GetPool(), from, m.GetId(), health.Result{})
	}
}

// receiveSlotDone frees a slot and places queued requests.
func (b *Balancer) receiveSlotDone(from string, m *wire.SlotDone, now time.Time) {
	result := health.Result{
		Kind: health.Kind(m.GetResult()), Latency: time.Duration(m.GetLatencyMicros()) * time.Microsecond, Cold: m.GetCold(),
	}
	b.mu.Lock()
	h := b.localHolder(m.GetPool())
	if h == nil {
		b.mu.Unlock()
		return
	}
	if target, assigned := h.scheduler.done(requestKey{from, m.GetId()}, result, now); assigned {
		b.recordPlaced(h, from, m.GetPool(), target, result, now)
	}
	placements := h.scheduler.placeQueued(b.poolView(m.GetPool(), h), now)
	b.mu.Unlock()
	b.sendPlacements(m.GetPool(), placements)
}

// recordPlaced passes the result of a request that this holder has placed to the failure
// detector, and starts the ramp of a server that turned out to be cold.
func (b *Balancer) recordPlaced(h *holder, vm, pool, target string, r health.Result, now time.Time) {
	report := health.Report{Target: target, Cold: r.Cold}
	report.Stats.Add(r)
	h.report(vm, []health.Report{report}, now)
	if !r.Cold {
		return
	}
	if t, known := b.fleet.Directory().Target(target); known && t.Pool == pool {
		settings, _ := state.Get[state.Pool](b.options.State(), pool)
		h.markCold(t, settings)
	}
}

// tickScheduler runs the periodic work of the scheduler of a pool held by this VM.
func (b *Balancer) tickScheduler(pool string, now time.Time) {
	b.mu.Lock()
	h := b.localHolder(pool)
	if h == nil {
		b.mu.Unlock()
		return
	}
	placements := h.scheduler.tick(b.poolView(pool, h), now)
	b.mu.Unlock()
	b.sendPlacements(pool, placements)
}
