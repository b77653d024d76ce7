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
	// deskPatience is how long an entry waits for the first word of a pool's
	// holder before it chooses by itself. It covers a round trip between regions.
	deskPatience = 150 * time.Millisecond
	// noObjective is the time until an answer loses worth where no route says so.
	noObjective = time.Hour
)

// PlacementMode says who chooses the backend server of a request.
type PlacementMode string

// The placements.
const (
	// PlacementLocal lets every entry choose by itself.
	PlacementLocal PlacementMode = "local"
	// PlacementHolder lets the holder of the pool choose for all entries.
	PlacementHolder PlacementMode = "holder"
)

// OverloadError is an answer of a pool's holder that there is no room in time.
type OverloadError struct {
	// RetryAfter is the time after which there is likely to be room.
	RetryAfter time.Duration
}

// Error implements error.
func (r *OverloadError) Error() string { return "all slots of the pool are taken, also in time" }

// After returns the time after which there is likely to be room.
func (r *OverloadError) After() time.Duration { return r.RetryAfter }

// Unwrap makes a refusal a case of pick.ErrNone.
func (r *OverloadError) Unwrap() error { return pick.ErrNoServer }

// await is an ask of this VM that waits for the holder's word.
type await struct {
	answers chan *wire.SlotAnswer
}

// askDesk asks the holder of a pool for a backend server. It reports false if this
// VM has to choose by itself.
func (p *Balancer) askDesk(ctx context.Context, pool string, r pick.Request) (pick.Choice, error, bool) {
	if p.options.Placement != PlacementHolder || p.leases.RecentlyFailed(LeaseName(pool)) {
		return pick.Choice{}, nil, false
	}
	p.mu.Lock()
	p.tokens++
	m := p.slotAsk(ctx, pool, p.tokens, r)
	waiting := &await{answers: make(chan *wire.SlotAnswer, 2)}
	p.awaits[m.GetId()] = waiting
	holder, known := p.holderOf(pool)
	var replies []reply
	if known && holder == p.options.VM {
		replies = p.placeHere(p.options.VM, p.options.DataCentre, m)
	}
	p.mu.Unlock()
	defer p.endAwait(m.GetId())
	if !known {
		return pick.Choice{}, nil, false
	}
	p.sendReplies(pool, replies)
	if holder != p.options.VM {
		p.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_SlotAsk{SlotAsk: m}})
	}
	return p.awaitSeat(ctx, pool, holder, m, waiting)
}

// holderOf returns the VM that holds a pool.
func (p *Balancer) holderOf(pool string) (string, bool) {
	if _, held := p.leases.Held(LeaseName(pool)); held {
		return p.options.VM, true
	}
	vm, known := p.leases.Holder(LeaseName(pool))
	return vm, known && vm != p.options.VM
}

func (p *Balancer) slotAsk(ctx context.Context, pool string, id uint64, r pick.Request) *wire.SlotAsk {
	left := noObjective
	if end, ok := ctx.Deadline(); ok {
		left = time.Until(end)
	}
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	objective := r.Objective
	if objective <= 0 {
		objective = left
	}
	return &wire.SlotAsk{
		Pool: pool, Id: id, Idempotent: r.Idempotent, Rank: uint32(max(0, r.Rank)), Workspace: r.Workspace,
		ObjectiveMicros: uint64(max(0, objective).Microseconds()), DeadlineMicros: uint64(max(0, left).Microseconds()),
		Avoid: r.Avoid, Arrived: r.Arrived, Bytes: uint64(max(0, r.Bytes)),
	}
}

// awaitSeat waits for the holder's word. A holder that is silent, or that has
// queued the request for longer than it could take, leaves the choice to this VM.
func (p *Balancer) awaitSeat(ctx context.Context, pool, holder string, m *wire.SlotAsk, w *await) (pick.Choice, error, bool) {
	timer := time.NewTimer(deskPatience)
	defer timer.Stop()
	for {
		select {
		case answer := <-w.answers:
			if !answer.GetNotHolder() {
				p.leases.ReportSuccess(LeaseName(pool))
			}
			switch {
			case answer.GetNotHolder():
				p.leases.ReportFailure(LeaseName(pool))
				return pick.Choice{}, nil, false
			case answer.GetQueued():
				timer.Reset(time.Duration(m.GetDeadlineMicros()) * time.Microsecond / 2)
				continue
			case answer.GetTarget() == "":
				return pick.Choice{}, &OverloadError{RetryAfter: time.Duration(answer.GetRetryMicros()) * time.Microsecond}, true
			}
			choice, ok := p.takeSeat(pool, holder, m.GetId(), answer.GetTarget())
			return choice, nil, ok
		case <-timer.C:
			p.leases.ReportFailure(LeaseName(pool))
			p.giveBack(pool, holder, m.GetId(), health.Result{})
			return pick.Choice{}, nil, false
		case <-ctx.Done():
			p.giveBack(pool, holder, m.GetId(), health.Result{})
			return pick.Choice{}, pick.ErrNoServer, true
		}
	}
}

// takeSeat uses a backend server that the holder has chosen. A server that this VM
// does not know yet is given back.
func (p *Balancer) takeSeat(pool, holder string, id uint64, name string) (pick.Choice, bool) {
	for _, t := range p.eligible(pool) {
		if t.Name != name {
			continue
		}
		p.mu.Lock()
		choice := p.choose(p.member(pool), t, false, p.options.Clock.Now())
		p.mu.Unlock()
		choice.RetryCounted = true
		finish := choice.Done
		choice.Done = func(r health.Result) {
			finish(r)
			p.giveBack(pool, holder, id, r)
		}
		return choice, true
	}
	p.giveBack(pool, holder, id, health.Result{})
	return pick.Choice{}, false
}

// giveBack tells the holder what became of a request.
func (p *Balancer) giveBack(pool, holder string, id uint64, r health.Result) {
	m := &wire.SlotDone{Pool: pool, Id: id, Result: string(r.Kind), LatencyMicros: uint64(r.Latency.Microseconds())}
	if holder == p.options.VM {
		p.receiveSlotDone(holder, m, p.options.Clock.Now())
		return
	}
	p.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_SlotDone{SlotDone: m}})
}

func (p *Balancer) endAwait(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.awaits, id)
}

// placeHere serves an ask as the holder.
func (p *Balancer) placeHere(vm, centre string, m *wire.SlotAsk) []reply {
	now := p.options.Clock.Now()
	h := p.holding(m.GetPool())
	if h == nil {
		return nil
	}
	a := ask{
		vm: vm, id: m.GetId(), centre: centre, idempotent: m.GetIdempotent(), rank: int(m.GetRank()),
		workspace: m.GetWorkspace(), avoid: m.GetAvoid(), arrived: m.GetArrived(), bytes: int64(m.GetBytes()),
		objective: now.Add(time.Duration(m.GetObjectiveMicros()) * time.Microsecond),
		deadline:  now.Add(time.Duration(m.GetDeadlineMicros()) * time.Microsecond),
	}
	return []reply{h.desk.place(a, p.deskView(m.GetPool(), h), now)}
}

// deskView returns what a desk knows of the backend servers of its pool.
func (p *Balancer) deskView(pool string, h *holder) deskView {
	settings, _ := state.Get[state.Pool](p.options.State(), pool)
	plan := deskView{targets: p.eligible(pool), floor: settings.Floor, keep: p.options.KeepConnections, ramp: func(name string) *Ramp { return h.ramps[name] }}
	for _, t := range plan.targets {
		h.noteCold(t, settings)
	}
	for _, e := range h.judge.Ejected() {
		plan.shunned = append(plan.shunned, e.Target)
	}
	return plan
}

// receiveSlotAsk serves an ask of another entry.
func (p *Balancer) receiveSlotAsk(from string, m *wire.SlotAsk) {
	centre := ""
	for _, member := range p.fleet.Members() {
		if member.VM == from {
			centre = member.DataCentre
		}
	}
	p.mu.Lock()
	replies := p.placeHere(from, centre, m)
	p.mu.Unlock()
	if replies == nil {
		answer := &wire.SlotAnswer{Pool: m.GetPool(), Id: m.GetId(), NotHolder: true}
		p.link.Send(from, &wire.Envelope{Body: &wire.Envelope_SlotAnswer{SlotAnswer: answer}})
		return
	}
	p.sendReplies(m.GetPool(), replies)
}

// sendReplies tells entries, this one included, what the desk has decided.
func (p *Balancer) sendReplies(pool string, replies []reply) {
	for _, r := range replies {
		answer := &wire.SlotAnswer{
			Pool: pool, Id: r.ask.id, Target: r.target, Queued: r.queued, RetryMicros: uint64(r.retry.Microseconds()),
		}
		if r.ask.vm == p.options.VM {
			p.receiveSlotAnswer(p.options.VM, answer)
			continue
		}
		p.link.Send(r.ask.vm, &wire.Envelope{Body: &wire.Envelope_SlotAnswer{SlotAnswer: answer}})
	}
}

// receiveSlotAnswer hands the holder's word to the request that waits for it. A
// server for a request that no longer waits is given back.
func (p *Balancer) receiveSlotAnswer(from string, m *wire.SlotAnswer) {
	p.mu.Lock()
	w, ok := p.awaits[m.GetId()]
	p.mu.Unlock()
	if ok {
		select {
		case w.answers <- m:
			return
		default:
		}
	}
	if m.GetTarget() != "" {
		p.giveBack(m.GetPool(), from, m.GetId(), health.Result{})
	}
}

// receiveSlotDone takes a slot back and serves the requests that wait for one.
func (p *Balancer) receiveSlotDone(from string, m *wire.SlotDone, now time.Time) {
	result := health.Result{
		Kind: health.Kind(m.GetResult()), Latency: time.Duration(m.GetLatencyMicros()) * time.Microsecond,
	}
	p.mu.Lock()
	h := p.holding(m.GetPool())
	if h == nil {
		p.mu.Unlock()
		return
	}
	plan := p.deskView(m.GetPool(), h)
	h.desk.done(seatKey{from, m.GetId()}, result, plan, now)
	replies := h.desk.serve(plan, now)
	p.mu.Unlock()
	p.sendReplies(m.GetPool(), replies)
}

// tickDesk lets a desk of this VM speak by itself.
func (p *Balancer) tickDesk(pool string, now time.Time) {
	p.mu.Lock()
	h := p.holding(pool)
	if h == nil {
		p.mu.Unlock()
		return
	}
	replies := h.desk.tick(p.deskView(pool, h), now)
	p.mu.Unlock()
	p.sendReplies(pool, replies)
}
