package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/wire"
)

// This file is the holder's side of placement: it passes the requests and results of entries
// to the scheduler of a cell, and its decisions back. placement.go is the entries' side.

// syncServers passes the backend servers of a cell to its holder. It costs no more for a large
// cell than for a small one while neither the servers nor the state change.
func (b *Balancer) syncServers(cell string, h *sched.Holder) {
	targets := b.cellServers(cell)
	if !h.HasTargets(targets) {
		h.SetTargets(targets, b.settings(cell), b.options.KeepConnections)
		current := b.options.State()
		h.SetTrial(pick.TrialOf(current.PoolOfCell(cell), current), b.counter(cell, b.options.Clock.Now()))
	}
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
		b.sendAnswer(req.VM, &wire.SlotAnswer{Pool: m.GetPool(), Id: req.ID, NotHolder: true})
		return
	}
	b.syncServers(m.GetPool(), h)
	placements := h.Place(req, now)
	b.mu.Unlock()
	b.sendPlacements(m.GetPool(), placements, now)
}

// sendPlacements sends the decisions of a scheduler: to the entries with the requests, which
// may include this one, or to the holders of other cells. It must be called without the lock.
func (b *Balancer) sendPlacements(cell string, placements []sched.Placement, now time.Time) {
	for _, placed := range placements {
		b.countDecision(placed)
		if placed.Forward != (sched.Destination{}) {
			b.forward(placed, now)
			continue
		}
		b.sendAnswer(placed.Request.VM, &wire.SlotAnswer{
			Pool: cell, Id: placed.Request.ID, Target: placed.Target, Queued: placed.Queued, RetryMicros: uint64(placed.RetryAfter.Microseconds()),
			Quarantined: placed.Quarantined, Reason: string(placed.Reason),
		})
	}
}

// forward passes a request on to the holder of another cell.
func (b *Balancer) forward(placed sched.Placement, now time.Time) {
	m := requestToWire(placed.Request, placed.Forward.Cell, now)
	m.Vm = placed.Request.VM
	if placed.Forward.VM == b.options.VM {
		b.receiveSlotAsk(b.options.VM, m)
		return
	}
	b.link.Send(placed.Forward.VM, &wire.Envelope{Body: &wire.Envelope_SlotAsk{SlotAsk: m}})
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
	target, assigned := h.Done(sched.Key{VM: from, ID: m.GetId()}, result, now)
	if boot := m.GetLeavingBoot(); assigned && boot != 0 {
		b.markLeaving(m.GetPool(), target, boot)
	}
	b.syncServers(m.GetPool(), h)
	if assigned {
		b.recordPlaced(h, from, m.GetPool(), target, result, now)
	}
	placements := h.PlaceQueued(now)
	b.mu.Unlock()
	b.sendPlacements(m.GetPool(), placements, now)
}

// recordPlaced passes the result of a request that this holder has placed to the failure
// detector, and starts the ramp of a server that turned out to be cold.
func (b *Balancer) recordPlaced(h *sched.Holder, vm, cell, target string, r health.Result, now time.Time) {
	report := health.Report{Target: target, Cold: r.Cold}
	report.Stats.Add(r)
	h.Report(vm, []health.Report{report}, now)
	if r.Cold {
		b.markCold(h, cell, target)
	}
}

// tickScheduler runs the periodic work of the scheduler of a cell held by this VM, and tells
// the holders of the pool's other cells its load.
func (b *Balancer) tickScheduler(cell string, now time.Time) {
	cutOff := b.cutOffEntries()
	divided := len(b.cells(b.options.State().PoolOfCell(cell))) > 1
	b.mu.Lock()
	h := b.localHolder(cell)
	if h == nil {
		b.mu.Unlock()
		return
	}
	b.syncServers(cell, h)
	h.SetCutOff(cutOff, now)
	placements := h.Tick(now)
	var load *wire.CellLoad
	if divided && h.LoadDue(now) {
		free, wait := h.Load(now)
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
	for _, other := range b.cells(b.options.State().PoolOfCell(load.GetCell())) {
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
	pool := b.options.State().PoolOfCell(m.GetCell())
	load := sched.CellLoad{VM: from, FreeSlots: int(m.GetFreeSlots()), Wait: time.Duration(m.GetWaitMicros()) * time.Microsecond, ReportedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	for cell, h := range b.holders {
		if cell != m.GetCell() && b.options.State().PoolOfCell(cell) == pool {
			h.ReportLoad(m.GetCell(), load)
		}
	}
}

// cutOffEntries returns the entries that reach no server by themselves.
func (b *Balancer) cutOffEntries() []string {
	var vms []string
	for _, m := range b.fleet.Members() {
		if m.CutOff {
			vms = append(vms, m.VM)
		}
	}
	return vms
}
