// Package pool is an entry's part in the care of all pools of backend servers.
//
// Every entry reports what became of its requests to the holder of a pool's
// lease. The holder sees the requests of the whole fleet, so that a gray failure
// shows after few requests on each VM; it ejects within the floor and gives the
// permits without which no entry sends work to a cold backend server. Its
// ruling spreads to all entries. What one entry alone sees failing it avoids
// alone, within the same floor.
//
// # Usage
//
//	pools := pool.New(links, fleet, leases, pool.VM("e1"), pool.State(current))
//	choice, err := pools.Pick(ctx, "loan-desk", pick.Request{})
//	choice.Done(result)
package pool

import (
	"slices"
	"sync"
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
	// Period is the time between two ticks.
	Period = 100 * time.Millisecond
	// calmReport is the time between two reports of a pool without trouble.
	calmReport = 500 * time.Millisecond
	// lateReport is the age of a waiting request that is reported at once.
	lateReport = 200 * time.Millisecond
)

// LeaseName returns the name of the lease of a pool.
func LeaseName(pool string) string { return "p/" + pool }

// Balancer is one entry's part in all pools.
type Balancer struct {
	options Options
	link    link.Link
	fleet   *fleet.Fleet
	leases  *lease.Manager

	mu      sync.Mutex
	pools   map[string]*member
	holders map[string]*holder
	tokens  uint64
	// awaits are the requests of this VM that wait for a holder's word.
	awaits map[uint64]*await
}

// member is this VM's knowledge of one pool.
type member struct {
	name     string
	ruling   ruling
	targets  map[string]*seen
	pace     pace
	reported time.Time
	permits  permits
}

// New returns an entry's part in all pools. Tick must be called every Period.
func New(l link.Link, f *fleet.Fleet, leases *lease.Manager, opts ...Option) *Balancer {
	p := &Balancer{
		options: newOptions(opts...), link: l, fleet: f, leases: leases,
		pools: make(map[string]*member), holders: make(map[string]*holder), awaits: make(map[uint64]*await),
	}
	f.Watch(fleet.KindEjection, p.noteRuling)
	return p
}

// String names the policy.
func (p *Balancer) String() string { return "fleet" }

func (p *Balancer) member(name string) *member {
	m, ok := p.pools[name]
	if !ok {
		m = &member{name: name, targets: make(map[string]*seen)}
		p.pools[name] = m
	}
	return m
}

func (m *member) seen(target string) *seen {
	s, ok := m.targets[target]
	if !ok {
		s = &seen{inFlight: make(map[uint64]time.Time)}
		m.targets[target] = s
	}
	return s
}

// noteRuling takes the ruling of a pool's holder.
func (p *Balancer) noteRuling(item fleet.Item) {
	var body wire.Ejections
	if proto.Unmarshal(item.Body, &body) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r := ruling{ejected: body.GetTargets(), cold: body.GetCold(), warmed: make(map[string]uint64)}
	for _, w := range body.GetWarmed() {
		r.warmed[w.GetName()] = w.GetBoot()
	}
	p.member(item.Key.Name).ruling = r
}

// Tick reports to the holders, and judges the pools held by this VM.
func (p *Balancer) Tick(now time.Time) {
	p.mu.Lock()
	type parcel struct {
		pool    string
		reports []health.Report
	}
	var parcels []parcel
	for name, m := range p.pools {
		if reports := m.report(now); len(reports) > 0 {
			parcels = append(parcels, parcel{name, reports})
		}
	}
	p.mu.Unlock()
	for _, one := range parcels {
		p.sendReport(one.pool, one.reports, now)
	}
	p.tickHolders(now)
}

// report returns what the holder should hear now: everything if something is
// wrong, and otherwise only from time to time.
func (m *member) report(now time.Time) []health.Report {
	trouble := false
	var reports []health.Report
	for name, s := range m.targets {
		oldest := s.oldest(now)
		if s.tally.Total()+s.tally.Late == 0 && !s.cold && oldest < lateReport {
			continue
		}
		trouble = trouble || s.tally.Bad()+s.tally.Late > 0 || s.cold || oldest >= lateReport
		reports = append(reports, health.Report{
			Target: name, Stats: s.tally, Cold: s.cold, Oldest: oldest, InFlight: len(s.inFlight),
		})
	}
	if !trouble && now.Sub(m.reported) < calmReport {
		return nil
	}
	m.reported = now
	for _, s := range m.targets {
		s.tally, s.cold = health.Stats{}, false
	}
	return reports
}

func (p *Balancer) sendReport(pool string, reports []health.Report, now time.Time) {
	name := LeaseName(pool)
	if _, mine := p.leases.Held(name); mine {
		p.takeReport(p.options.VM, pool, reports, now)
		return
	}
	holder, ok := p.leases.Holder(name)
	if !ok || holder == p.options.VM {
		return
	}
	p.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: reportsToWire(pool, reports)}})
}

// takeReport hands a report to this VM's holder part, if it holds the pool.
func (p *Balancer) takeReport(vm, pool string, reports []health.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.holding(pool)
	if h == nil {
		return
	}
	h.report(vm, reports, now)
	settings, _ := state.Get[state.Pool](p.options.State(), pool)
	for _, t := range p.eligible(pool) {
		cold := func(r health.Report) bool { return r.Cold && r.Target == t.Name }
		if slices.ContainsFunc(reports, cold) {
			h.turnCold(t, settings)
		}
	}
}

// holding returns the holder part of a pool, or nil if another VM holds it.
func (p *Balancer) holding(pool string) *holder {
	since, held := p.leases.Held(LeaseName(pool))
	if !held {
		delete(p.holders, pool)
		return nil
	}
	h, ok := p.holders[pool]
	if !ok || !h.since.Equal(since) {
		h = newHolder(since, p.options.RetryBudget...)
		p.holders[pool] = h
	}
	return h
}

// tickHolders judges every pool that this VM holds.
func (p *Balancer) tickHolders(now time.Time) {
	for _, settings := range p.options.Settings() {
		p.mu.Lock()
		h := p.holding(settings.Name)
		if h == nil {
			p.mu.Unlock()
			continue
		}
		next, verdict := h.decide(p.eligible(settings.Name), settings, now)
		changed := !next.equal(h.published)
		h.published = next
		p.mu.Unlock()
		p.record(settings.Name, verdict)
		if changed {
			p.publish(settings.Name, next)
		}
		p.tickDesk(settings.Name, now)
	}
}

// publish spreads a ruling.
func (p *Balancer) publish(pool string, r ruling) {
	m := &wire.Ejections{Targets: r.ejected, Cold: r.cold}
	for name, boot := range r.warmed {
		m.Warmed = append(m.Warmed, &wire.Warmed{Name: name, Boot: boot})
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return
	}
	key := fleet.Key{Kind: fleet.KindEjection, Name: pool}
	known, _ := p.fleet.Get(key)
	p.fleet.Put(fleet.Item{Key: key, Version: fleet.Version{Count: known.Version.Count + 1}, Body: body})
}

func (p *Balancer) record(pool string, v health.Decision) {
	for _, e := range v.Ejected {
		p.options.Line.Record(event.Ejected, e.Target, "pool "+pool+", "+string(e.Reason))
	}
	for _, name := range v.Readmitted {
		p.options.Line.Record(event.Readmitted, name, "pool "+pool)
	}
}

// Receive handles a message and reports whether it was meant for the pools.
func (p *Balancer) Receive(from string, e *wire.Envelope) bool {
	now := p.options.Clock.Now()
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Outcomes:
		p.takeReport(from, body.Outcomes.GetPool(), reportsOfWire(body.Outcomes), now)
	case *wire.Envelope_PermitAsk:
		p.receivePermitAsk(from, body.PermitAsk, now)
	case *wire.Envelope_PermitAnswer:
		p.receivePermitAnswer(body.PermitAnswer, now)
	case *wire.Envelope_SlotAsk:
		p.receiveSlotAsk(from, body.SlotAsk)
	case *wire.Envelope_SlotAnswer:
		p.receiveSlotAnswer(from, body.SlotAnswer)
	case *wire.Envelope_SlotDone:
		p.receiveSlotDone(from, body.SlotDone, now)
	default:
		return false
	}
	return true
}

// Status returns the ejected and the cold backend servers of a pool.
func (p *Balancer) Status(pool string) (ejected, cold []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.member(pool).ruling
	return r.ejected, r.cold
}
