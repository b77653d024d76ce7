package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/wire"
)

// This file is the holder's side of placement: it passes the requests and results of entries
// to the scheduler of a cell, and its decisions back. placement.go is the entries' side.

// cellView returns the scheduler's view of the backend servers of its cell. It costs no more
// for a large cell than for a small one while neither the servers nor the state change.
func (b *Balancer) cellView(cell string, h *holder) poolView {
	targets := b.cellServers(cell)
	if !sameSlice(targets, h.view.targets) || h.view.ramp == nil {
		h.setTargets(targets, b.settings(cell), b.options.KeepConnections)
		current := b.options.State()
		h.view.trial = pick.TrialOf(poolOfCell(cell, current), current)
		h.view.counter = b.counter(cell, b.options.Clock.Now())
	}
	return h.view
}

// receiveSlotAsk handles a slot request of an entry, which the holder of another cell may
// have forwarded.
func (b *Balancer) receiveSlotAsk(from string, m *wire.SlotAsk) {
	now := b.options.Clock.Now()
	req := requestOfWire(from, m, now)
	b.mu.Lock()
	h := b.localHolder(m.GetPool())
	if h == nil {
		b.mu.Unlock()
		b.sendAnswer(req.vm, &wire.SlotAnswer{Pool: m.GetPool(), Id: req.id, NotHolder: true})
		return
	}
	placed := h.scheduler.place(req, b.cellView(m.GetPool(), h), now)
	b.mu.Unlock()
	b.sendPlacements(m.GetPool(), []placement{placed}, now)
}

// sendPlacements sends the decisions of a scheduler: to the entries with the requests, which
// may include this one, or to the holders of other cells. It must be called without the lock.
func (b *Balancer) sendPlacements(cell string, placements []placement, now time.Time) {
	for _, placed := range placements {
		if placed.forward != (destination{}) {
			b.forward(placed, now)
			continue
		}
		b.sendAnswer(placed.request.vm, &wire.SlotAnswer{
			Pool: cell, Id: placed.request.id, Target: placed.target, Queued: placed.queued, RetryMicros: uint64(placed.retryAfter.Microseconds()),
			Quarantined: placed.quarantined,
		})
	}
}

// forward passes a request on to the holder of another cell.
func (b *Balancer) forward(placed placement, now time.Time) {
	m := placed.request.wire(placed.forward.cell, now)
	m.Vm = placed.request.vm
	if placed.forward.vm == b.options.VM {
		b.receiveSlotAsk(b.options.VM, m)
		return
	}
	b.link.Send(placed.forward.vm, &wire.Envelope{Body: &wire.Envelope_SlotAsk{SlotAsk: m}})
}

func (b *Balancer) sendAnswer(vm string, answer *wire.SlotAnswer) {
	if vm == b.options.VM {
		b.receiveSlotAnswer(vm, answer)
		return
	}
	b.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_SlotAnswer{SlotAnswer: answer}})
}

// receiveSlotDone frees a slot and places queued requests.
func (b *Balancer) receiveSlotDone(from string, m *wire.SlotDone, now time.Time) {
	result := health.Result{
		Kind: health.Kind(m.GetResult()), Latency: time.Duration(m.GetLatencyMicros()) * time.Microsecond, Cold: m.GetCold(),
		Limit: limitOfWire(m.GetLimit()), Label: m.GetLabel(), Print: guard.PrintOfBytes(m.GetPrint()),
		Pause: time.Duration(m.GetPauseMicros()) * time.Microsecond,
	}
	b.mu.Lock()
	h := b.localHolder(m.GetPool())
	if h == nil {
		b.mu.Unlock()
		return
	}
	target, assigned := h.scheduler.done(requestKey{from, m.GetId()}, result, now)
	if boot := m.GetLeavingBoot(); assigned && boot != 0 {
		b.markLeaving(m.GetPool(), target, boot)
	}
	view := b.cellView(m.GetPool(), h)
	if assigned {
		b.recordPlaced(h, from, m.GetPool(), target, result, now)
	}
	placements := h.scheduler.placeQueued(view, now)
	b.mu.Unlock()
	b.sendPlacements(m.GetPool(), placements, now)
}

// recordPlaced passes the result of a request that this holder has placed to the failure
// detector, and starts the ramp of a server that turned out to be cold.
func (b *Balancer) recordPlaced(h *holder, vm, cell, target string, r health.Result, now time.Time) {
	report := health.Report{Target: target, Cold: r.Cold}
	report.Stats.Add(r)
	h.report(vm, []health.Report{report}, now)
	if r.Cold {
		b.markCold(h, cell, target)
	}
}

// tickScheduler runs the periodic work of the scheduler of a cell held by this VM, and tells
// the holders of the pool's other cells its load.
func (b *Balancer) tickScheduler(cell string, now time.Time) {
	cutOff := b.cutOffEntries()
	divided := len(b.cells(poolOfCell(cell, b.options.State()))) > 1
	b.mu.Lock()
	h := b.localHolder(cell)
	if h == nil {
		b.mu.Unlock()
		return
	}
	view := b.cellView(cell, h)
	h.scheduler.setCutOff(cutOff, now)
	placements := h.scheduler.tick(view, now)
	var load *wire.CellLoad
	if divided && now.Sub(h.loadSentAt) >= loadInterval {
		h.loadSentAt = now
		free, wait := h.scheduler.load(view, now)
		load = &wire.CellLoad{Cell: cell, FreeSlots: uint32(free), WaitMicros: uint64(wait.Microseconds())}
	}
	b.mu.Unlock()
	b.sendPlacements(cell, placements, now)
	if load != nil {
		b.sendLoad(load, now)
	}
}

// sendLoad tells the holders of the other cells of a pool the load of a cell.
func (b *Balancer) sendLoad(load *wire.CellLoad, now time.Time) {
	told := make(map[string]bool)
	for _, other := range b.cells(poolOfCell(load.GetCell(), b.options.State())) {
		vm, known := b.holderVM(other)
		if other == load.GetCell() || !known || told[vm] {
			continue
		}
		told[vm] = true
		if vm == b.options.VM {
			b.receiveLoad(vm, load, now)
			continue
		}
		b.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_CellLoad{CellLoad: load}})
	}
}

// receiveLoad records the load of a cell for all other cells of its pool held by this VM.
func (b *Balancer) receiveLoad(from string, m *wire.CellLoad, now time.Time) {
	pool := poolOfCell(m.GetCell(), b.options.State())
	load := cellLoad{vm: from, freeSlots: int(m.GetFreeSlots()), wait: time.Duration(m.GetWaitMicros()) * time.Microsecond, reportedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	for cell, h := range b.holders {
		if cell != m.GetCell() && poolOfCell(cell, b.options.State()) == pool {
			h.scheduler.overflow.report(m.GetCell(), load)
		}
	}
}
