// Package pool balances the requests of an entry over the backend servers of all
// pools.
//
// Every entry reports the results of its requests to the holder of a pool's lease.
// The holder sees the requests of the whole fleet, so it detects a gray failure after
// few requests on each VM. It ejects servers down to the pool's floor, and issues the
// permits that every request to a cold backend server needs. The status that it
// publishes is gossiped to all entries. In addition, an entry avoids servers that
// fail only its own requests, within the same floor.
//
// # Usage
//
//	balancer := pool.New(links, fleet, leases, pool.VM("e1"), pool.State(current))
//	choice, err := balancer.Pick(ctx, "loan-desk", pick.Request{})
//	choice.Done(result)
package pool

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// Period is the interval at which Tick must be called.
	Period = 100 * time.Millisecond
	// routineReportInterval is the interval between reports on a pool without failures.
	routineReportInterval = 500 * time.Millisecond
	// urgentWait is the time a request may wait for its answer before it is reported
	// immediately.
	urgentWait = 200 * time.Millisecond
)

func LeaseName(pool string) string { return "p/" + pool }

// Balancer chooses backend servers for the requests of one entry. It also evaluates
// the pools whose lease this VM holds.
type Balancer struct {
	options Options
	link    link.Transport
	fleet   *fleet.Fleet
	leases  *lease.Manager

	eligibleServers atomic.Pointer[eligibleCache]

	mu      sync.Mutex
	pools   map[string]*poolState
	holders map[string]*holder
	lastID  uint64
	// pending holds the slot requests that wait for the answer of a holder, by ID.
	pending map[uint64]*pendingRequest
}

// poolState is what this VM knows about one pool.
type poolState struct {
	name       string
	status     status
	servers    map[string]*serverStats
	latency    latencyStats
	lastReport time.Time
	permits    permits
}

// New returns the balancer of an entry. Tick must be called every Period.
func New(l link.Transport, f *fleet.Fleet, leases *lease.Manager, opts ...Option) *Balancer {
	b := &Balancer{
		options: newOptions(opts...), link: l, fleet: f, leases: leases,
		pools: make(map[string]*poolState), holders: make(map[string]*holder), pending: make(map[uint64]*pendingRequest),
	}
	f.Watch(fleet.KindEjection, b.updateStatus)
	return b
}

// String returns the name of the balancing policy.
func (b *Balancer) String() string { return "fleet" }

func (b *Balancer) poolState(name string) *poolState {
	ps, ok := b.pools[name]
	if !ok {
		ps = &poolState{name: name, servers: make(map[string]*serverStats)}
		b.pools[name] = ps
	}
	return ps
}

func (ps *poolState) server(target string) *serverStats {
	s, ok := ps.servers[target]
	if !ok {
		s = &serverStats{inFlight: make(map[uint64]time.Time)}
		ps.servers[target] = s
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
	next := status{ejected: body.GetTargets(), cold: body.GetCold(), warmed: make(map[string]uint64)}
	for _, w := range body.GetWarmed() {
		next.warmed[w.GetName()] = w.GetBoot()
	}
	b.poolState(item.Key.Name).status = next
}

// Tick reports results to the holders and evaluates the pools held by this VM.
func (b *Balancer) Tick(now time.Time) {
	b.mu.Lock()
	type pendingReport struct {
		pool    string
		reports []health.Report
	}
	var pending []pendingReport
	for name, ps := range b.pools {
		if reports := ps.report(now); len(reports) > 0 {
			pending = append(pending, pendingReport{name, reports})
		}
	}
	b.mu.Unlock()
	for _, one := range pending {
		b.sendReport(one.pool, one.reports, now)
	}
	b.tickHolders(now)
}

// report returns the results that are due to be sent to the holder. Failures, cold
// servers and long waits are reported at once, everything else every
// routineReportInterval.
func (ps *poolState) report(now time.Time) []health.Report {
	urgent := false
	var reports []health.Report
	for name, s := range ps.servers {
		oldestWait := s.oldestWait(now)
		if s.stats.Total()+s.stats.Late == 0 && !s.cold && oldestWait < urgentWait {
			continue
		}
		urgent = urgent || s.stats.Bad()+s.stats.Late > 0 || s.cold || oldestWait >= urgentWait
		reports = append(reports, health.Report{
			Target: name, Stats: s.stats, Cold: s.cold, Oldest: oldestWait, InFlight: len(s.inFlight),
		})
	}
	if !urgent && now.Sub(ps.lastReport) < routineReportInterval {
		return nil
	}
	ps.lastReport = now
	for _, s := range ps.servers {
		s.stats, s.cold = health.Stats{}, false
	}
	return reports
}

func (b *Balancer) sendReport(pool string, reports []health.Report, now time.Time) {
	name := LeaseName(pool)
	if _, held := b.leases.Held(name); held {
		b.handleReport(b.options.VM, pool, reports, now)
		return
	}
	holder, ok := b.leases.Holder(name)
	if !ok || holder == b.options.VM {
		return
	}
	b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: reportsToWire(pool, reports)}})
}

// handleReport passes a report to the local holder, if this VM holds the pool.
func (b *Balancer) handleReport(vm, pool string, reports []health.Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.localHolder(pool)
	if h == nil {
		return
	}
	h.report(vm, reports, now)
	settings, _ := state.Get[state.Pool](b.options.State(), pool)
	for _, t := range b.eligible(pool) {
		cold := func(r health.Report) bool { return r.Cold && r.Target == t.Name }
		if slices.ContainsFunc(reports, cold) {
			h.markCold(t, settings)
		}
	}
}

// localHolder returns the holder of a pool, or nil if this VM does not hold it.
func (b *Balancer) localHolder(pool string) *holder {
	since, held := b.leases.Held(LeaseName(pool))
	if !held {
		delete(b.holders, pool)
		return nil
	}
	h, ok := b.holders[pool]
	if !ok || !h.since.Equal(since) {
		h = newHolder(since, b.options.RetryBudget...)
		b.holders[pool] = h
	}
	return h
}

// tickHolders evaluates every pool that this VM holds.
func (b *Balancer) tickHolders(now time.Time) {
	for _, settings := range b.options.Settings() {
		b.mu.Lock()
		h := b.localHolder(settings.Name)
		if h == nil {
			b.mu.Unlock()
			continue
		}
		next, decision := h.evaluate(b.eligible(settings.Name), settings, now)
		changed := !next.equal(h.published)
		h.published = next
		b.mu.Unlock()
		b.recordEvents(settings.Name, decision)
		if changed {
			b.publish(settings.Name, next)
		}
		b.tickScheduler(settings.Name, now)
	}
}

// publish gossips the status of a pool to all entries.
func (b *Balancer) publish(pool string, next status) {
	m := &wire.Ejections{Targets: next.ejected, Cold: next.cold}
	for name, boot := range next.warmed {
		m.Warmed = append(m.Warmed, &wire.Warmed{Name: name, Boot: boot})
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return
	}
	key := fleet.Key{Kind: fleet.KindEjection, Name: pool}
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

// Receive handles a message and reports whether it was addressed to the balancer.
func (b *Balancer) Receive(from string, e *wire.Envelope) bool {
	now := b.options.Clock.Now()
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Outcomes:
		b.handleReport(from, body.Outcomes.GetPool(), reportsOfWire(body.Outcomes), now)
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
	default:
		return false
	}
	return true
}

// Status returns the names of the ejected and of the cold backend servers of a pool.
func (b *Balancer) Status(pool string) (ejected, cold []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.poolState(pool).status
	return next.ejected, next.cold
}
