// Package pool balances the requests of an entry over the backend servers of all
// pools.
//
// Every entry reports the results of its requests to the holder of a pool's lease.
// The holder sees the requests of the whole fleet, so it detects a gray failure after
// few requests on each VM. It ejects servers down to the pool's floor, and issues the
// permits that every request to a cold backend server needs. The status that it
// publishes is gossiped to all entries. Package sched makes its decisions; this one passes
// it the messages and sends its answers. In addition, an entry avoids servers that fail
// only its own requests, within the same floor.
//
// # Usage
//
//	balancer := pool.New(links, fleet, leases, pool.VM("e1"), pool.State(current))
//	choice, err := balancer.Pick(ctx, "loan-desk", pick.Request{})
//	choice.Done(result)
package pool

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// Period is the interval at which Tick must be called.
	Period = 100 * time.Millisecond
	// urgentWait is the time a request may wait for its answer before it is reported
	// immediately.
	urgentWait = 200 * time.Millisecond
)

// Balancer chooses backend servers for the requests of one entry. It also evaluates
// the pools whose lease this VM holds.
type Balancer struct {
	options Options
	link    link.Transport
	fleet   *fleet.Fleet
	leases  *lease.Manager

	serverLists atomic.Pointer[serverLists]
	leaving     atomic.Pointer[leavingServers]

	mu sync.Mutex
	// cellStates and holders are by the name of the cell.
	cellStates map[string]*cellState
	holders    map[string]*sched.Holder
	lastID     uint64
	// pending holds the slot requests that wait for the answer of a holder, by ID.
	pending map[uint64]*pendingRequest
	// late holds the requests that were not answered in time, by ID.
	late map[uint64]lateRequest
	// guard knows the requests that may crash servers.
	guard     *guard.Table
	decisions decisionCounter
	// counters count the results of versions, by cell.
	counters map[string]*cellCounter
}

// cellState is what this VM knows about one cell.
type cellState struct {
	name       string
	status     sched.Status
	servers    map[string]*serverStats
	latency    latencyStats
	lastReport time.Time
	// answers is how long the holder takes.
	answers lease.AnswerTime
	permits permits
	// torn and cleared are the evidence for the next report to the holder.
	torn    []*wire.TornRequest
	cleared []guard.Print
}

// New returns the balancer of an entry. Tick must be called every Period.
func New(l link.Transport, f *fleet.Fleet, leases *lease.Manager, opts ...Option) *Balancer {
	b := &Balancer{
		options: newOptions(opts...), link: l, fleet: f, leases: leases,
		cellStates: make(map[string]*cellState), holders: make(map[string]*sched.Holder), pending: make(map[uint64]*pendingRequest),
		late:  make(map[uint64]lateRequest),
		guard: guard.New(), lastID: link.FirstNumber(), counters: make(map[string]*cellCounter),
	}
	b.decisions = newDecisionCounter(b.options.Meter)
	b.leaving.Store(&leavingServers{})
	f.Watch(fleet.KindEjection, b.updateStatus)
	return b
}

// String returns the name of the balancing policy.
func (b *Balancer) String() string { return "fleet" }

func (b *Balancer) cellState(name string) *cellState {
	cs, ok := b.cellStates[name]
	if !ok {
		cs = &cellState{name: name, servers: make(map[string]*serverStats)}
		b.cellStates[name] = cs
	}
	return cs
}

func (cs *cellState) server(target string) *serverStats {
	s, ok := cs.servers[target]
	if !ok {
		s = &serverStats{inFlight: make(map[uint64]time.Time)}
		cs.servers[target] = s
	}
	return s
}

// updateStatus stores the status that the holder of a pool has published.
func (b *Balancer) updateStatus(item fleet.Item) {
	var body wire.Ejections
	if proto.Unmarshal(item.Body, &body) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	next := sched.Status{Ejected: body.GetTargets(), Cold: body.GetCold(), Warmed: make(map[string]uint64)}
	for _, w := range body.GetWarmed() {
		next.Warmed[w.GetName()] = w.GetBoot()
	}
	limits := make(map[string]float64)
	for _, l := range body.GetLimited() {
		limits[l.GetName()] = l.GetPerSecond()
	}
	cs := b.cellState(item.Key.Name)
	for _, l := range body.GetLeaving() {
		b.markLeaving(item.Key.Name, l.GetName(), l.GetBoot())
	}
	now := b.options.Clock.Now()
	cs.status = next
	cs.publishLimits(limits, now)
	if _, held := b.leases.Held(LeaseName(item.Key.Name)); !held {
		b.guard.Import(item.Key.Name, suspectsOfWire(body.GetSuspects(), now), printsOfWire(body.GetCleared()), now)
	}
}

// Tick reports results to the holders and evaluates the pools held by this VM.
func (b *Balancer) Tick(now time.Time) {
	b.mu.Lock()
	type pendingReport struct {
		cell     string
		outcomes *wire.Outcomes
	}
	var pending []pendingReport
	b.guard.Expire(now)
	b.forgetLeaving()
	for name, cs := range b.cellStates {
		outcomes := reportsToWire(name, cs.report(now))
		if _, known := b.holderVM(name); known {
			outcomes.Torn, outcomes.Cleared = cs.torn, printsToWire(cs.cleared)
			cs.torn, cs.cleared = nil, nil
		}
		if len(outcomes.GetTargets())+len(outcomes.GetTorn())+len(outcomes.GetCleared()) > 0 {
			pending = append(pending, pendingReport{name, outcomes})
		}
	}
	b.mu.Unlock()
	for _, one := range pending {
		b.sendOutcomes(one.cell, one.outcomes, now)
	}
	b.tickHolders(now)
}

// report returns the results that are due to be sent to the holder. Failures, cold
// servers and long waits are reported at once, everything else every
// sched.ReportInterval.
func (cs *cellState) report(now time.Time) []health.Report {
	urgent := false
	var reports []health.Report
	for name, s := range cs.servers {
		oldestWait := s.oldestWait(now)
		limitChanged := s.reportedLimit.Stated != health.LimitUnstated
		if s.stats.Total()+s.stats.Late == 0 && !s.cold && oldestWait < urgentWait && !limitChanged && s.leavingBoot == 0 {
			continue
		}
		urgent = urgent || s.stats.Bad()+s.stats.Late > 0 || s.cold || s.leavingBoot != 0 || oldestWait >= urgentWait || limitChanged
		reports = append(reports, health.Report{
			Target: name, Stats: s.stats, Cold: s.cold, Limit: s.reportedLimit, LeavingBoot: s.leavingBoot, Oldest: oldestWait, InFlight: len(s.inFlight),
		})
	}
	if !urgent && now.Sub(cs.lastReport) < sched.ReportInterval {
		return nil
	}
	cs.lastReport = now
	for _, s := range cs.servers {
		s.stats, s.cold, s.reportedLimit, s.leavingBoot = health.Stats{}, false, health.Limit{}, 0
	}
	return reports
}

// sendOutcomes sends a report to the holder of a cell, which may be this VM.
func (b *Balancer) sendOutcomes(cell string, m *wire.Outcomes, now time.Time) {
	name := LeaseName(cell)
	if _, held := b.leases.Held(name); held {
		b.handleReport(b.options.VM, m, now)
		return
	}
	holder, ok := b.leases.Holder(name)
	if !ok || holder == b.options.VM {
		return
	}
	b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: m}})
}

// handleReport passes a report to the local holder, if this VM holds the cell.
func (b *Balancer) handleReport(vm string, m *wire.Outcomes, now time.Time) {
	cell, reports := m.GetPool(), reportsOfWire(m)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.localHolder(cell)
	if h == nil {
		return
	}
	h.Report(vm, reports, now)
	for _, r := range reports {
		if r.Cold {
			b.markCold(h, cell, r.Target)
		}
		if r.LeavingBoot != 0 {
			b.markLeaving(cell, r.Target, r.LeavingBoot)
		}
	}
	b.recordReportedEvidence(m, now)
}

// localHolder returns the holder of a cell, or nil if this VM does not hold it.
func (b *Balancer) localHolder(cell string) *sched.Holder {
	since, held := b.leases.Held(LeaseName(cell))
	if !held {
		delete(b.holders, cell)
		return nil
	}
	h, ok := b.holders[cell]
	if !ok || !h.Since().Equal(since) {
		h = sched.New(
			sched.Since(since), sched.RetryBudget(b.retryBudget(cell)...), sched.Evidence(b.guard, cell), sched.Admission(b.options.Admission),
			sched.Limits(b.knownLimits(b.options.State().PoolOfCell(cell))),
		)
		for _, name := range b.cellState(cell).status.Cold {
			b.markCold(h, cell, name)
		}
		b.holders[cell] = h
	}
	return h
}

// markCold starts the ramp of a backend server that turned out to be cold.
func (b *Balancer) markCold(h *sched.Holder, cell, name string) {
	if t, known := b.target(cell, name); known {
		h.MarkCold(t, b.settings(cell))
	}
}

// tickHolders evaluates every cell that this VM holds, including those that have just lost
// their last server.
func (b *Balancer) tickHolders(now time.Time) {
	held := make(map[string]bool)
	for _, settings := range b.options.Settings() {
		for _, cell := range b.cells(settings.Name) {
			held[cell] = true
		}
	}
	b.mu.Lock()
	for cell := range b.holders {
		held[cell] = true
	}
	b.mu.Unlock()
	for cell := range held {
		b.tickHolder(cell, b.settings(cell), now)
	}
}

func (b *Balancer) tickHolder(cell string, settings state.Pool, now time.Time) {
	b.mu.Lock()
	h := b.localHolder(cell)
	if h == nil {
		b.mu.Unlock()
		return
	}
	next, decision := h.Evaluate(b.cellServers(cell), settings, now)
	next.Leaving = b.leavingOf(cell)
	before := h.Published()
	publish := h.PublishDue(next, b.options.Placement == PlacementLocal, now)
	b.mu.Unlock()
	b.recordEvents(settings.Name, decision)
	if publish {
		b.recordLimits(settings.Name, before.Limits, next.Limits)
		b.recordSuspects(settings.Name, before.Suspects, next.Suspects, now)
		b.publish(cell, next, now)
	}
	b.tickScheduler(cell, now)
}

// publish gossips the status of a cell to all entries.
func (b *Balancer) publish(cell string, next sched.Status, now time.Time) {
	m := &wire.Ejections{
		Targets: next.Ejected, Cold: next.Cold, Suspects: suspectsToWire(next.Suspects, now), Cleared: printsToWire(next.Cleared),
	}
	for name, boot := range next.Warmed {
		m.Warmed = append(m.Warmed, &wire.Warmed{Name: name, Boot: boot})
	}
	for name, perSecond := range next.Limits {
		m.Limited = append(m.Limited, &wire.Limited{Name: name, PerSecond: perSecond})
	}
	for name, boot := range next.Leaving {
		m.Leaving = append(m.Leaving, &wire.Warmed{Name: name, Boot: boot})
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return
	}
	key := fleet.Key{Kind: fleet.KindEjection, Name: cell}
	known, _ := b.fleet.Get(key)
	b.fleet.Publish(fleet.Item{Key: key, Version: fleet.Version{Count: known.Version.Count + 1}, Body: body})
}

func (b *Balancer) recordEvents(pool string, decision health.Decision) {
	for _, e := range decision.Ejected {
		b.options.EventLog.Record(event.Ejected, e.Target, "pool "+pool+", "+string(e.Reason))
	}
	for _, name := range decision.Readmitted {
		b.options.EventLog.Record(event.Readmitted, name, "pool "+pool)
	}
}

// recordLimits records which targets have begun or ceased to name a limit.
func (b *Balancer) recordLimits(pool string, before, after map[string]float64) {
	for name, perSecond := range after {
		if _, known := before[name]; !known {
			b.options.EventLog.Record(event.TargetLimited, name, fmt.Sprintf("pool %s, %g/s", pool, perSecond))
		}
	}
	for name := range before {
		if _, limited := after[name]; !limited {
			b.options.EventLog.Record(event.TargetUnlimited, name, "pool "+pool)
		}
	}
}

// Receive handles a message and reports whether it was addressed to the balancer.
func (b *Balancer) Receive(from string, e *wire.Envelope) bool {
	now := b.options.Clock.Now()
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Outcomes:
		b.handleReport(from, body.Outcomes, now)
	case *wire.Envelope_PermitAsk:
		b.receivePermitAsk(from, body.PermitAsk, now)
	case *wire.Envelope_PermitAnswer:
		b.receivePermitAnswer(body.PermitAnswer, now)
	case *wire.Envelope_SlotAsk:
		b.receiveSlotAsk(from, body.SlotAsk)
	case *wire.Envelope_SlotAnswer:
		b.receiveSlotAnswer(from, body.SlotAnswer)
	case *wire.Envelope_SlotDone:
		b.receiveSlotDone(from, body.SlotDone, now)
	case *wire.Envelope_CellLoad:
		b.receiveLoad(from, body.CellLoad, now)
	default:
		return false
	}
	return true
}

// Status returns the names of the ejected and of the cold backend servers of a pool.
func (b *Balancer) Status(pool string) (ejected, cold []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, cell := range b.cells(pool) {
		next := b.cellState(cell).status
		ejected = append(ejected, next.Ejected...)
		cold = append(cold, next.Cold...)
	}
	return ejected, cold
}
