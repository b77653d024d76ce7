package lease

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// Period is the time between two calls of Manager.Tick.
	Period = 100 * time.Millisecond
	// renewInterval is the time between two renewals of a lease.
	renewInterval = 200 * time.Millisecond
	// renewBefore is the remaining time at which a lease is renewed. Two renewals may be
	// lost before it expires.
	renewBefore = HoldDuration - renewInterval + Period/2
	// maxBatch is the largest number of names in one request.
	maxBatch = 256
)

// Manager is one entry's part in the leases: it votes, acquires and renews leases, and
// knows the holders of all others.
type Manager struct {
	options Options
	link    link.Transport
	fleet   *fleet.Fleet

	mu       sync.Mutex
	voter    *Voter
	holder   *Holder
	names    []string
	stopping bool
	// ranAsNonVoter is set once this VM has run with an up-to-date configuration without
	// being a voter.
	ranAsNonVoter bool
	holders       map[string]Owner
	failures      *failureTracker
	live          fleet.Derived[liveMembers]
}

// New returns a manager. Tick must be called every Period.
func New(l link.Transport, f *fleet.Fleet, opts ...Option) *Manager {
	o := newOptions(opts...)
	m := &Manager{
		options: o, link: l, fleet: f,
		voter:    NewVoter(o.Clock.Now().Add(Duration + Duration/marginDivisor)),
		holder:   NewHolder(),
		holders:  make(map[string]Owner),
		failures: newFailureTracker(),
		live:     fleet.NewDerived(func(members []fleet.Member) liveMembers { return liveAmong(members, "") }),
	}
	f.Watch(fleet.KindLease, m.recordHolder)
	return m
}

// SetNames sets the names of all leases that some entry must hold.
func (m *Manager) SetNames(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = names
}

// Held reports whether this VM holds a lease, and since when without a gap.
func (m *Manager) Held(name string) (since time.Time, held bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Held(name, m.options.Clock.Now())
}

// Holder returns the VM that announced last that it holds a lease.
func (m *Manager) Holder(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.holders[name]
	return o.VM, ok
}

// HeldNames returns the names of the leases that this VM holds.
func (m *Manager) HeldNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.HeldNames(m.options.Clock.Now())
}

// Tick renews the leases of this VM and requests those that have no holder.
func (m *Manager) Tick(now time.Time) {
	m.endStartupWait()
	voters, outdated := m.options.Voters(), m.options.CheckFresh()
	m.recordExpired(outdated, now)
	if len(voters) == 0 || outdated != nil {
		return
	}
	m.mu.Lock()
	members := m.live.Of(m.fleet.Members())
	var names []string
	if !m.stopping {
		names = m.namesToRequest(now, members)
	}
	undecided, names := m.holder.TakeUndecided(names, now)
	contested, uncontested := m.splitContested(names, now)
	m.mu.Unlock()
	m.release(undecided)
	m.request(uncontested, voters, false)
	m.request(contested, voters, true)
}

// splitContested separates the leases whose holders do not serve several entries.
func (m *Manager) splitContested(names []string, now time.Time) (contested, uncontested []string) {
	for _, name := range names {
		if _, held := m.holder.Held(name, now); !held && m.failures.contested(name, now) {
			contested = append(contested, name)
		} else {
			uncontested = append(uncontested, name)
		}
	}
	return contested, uncontested
}

// recordExpired records the leases that expired on the timeline, with the reason why
// they were not renewed if the configuration may be out of date.
func (m *Manager) recordExpired(outdated error, now time.Time) {
	m.mu.Lock()
	expired := m.holder.TakeExpired(now)
	m.mu.Unlock()
	detail := "not renewed in time"
	if outdated != nil {
		detail = "not renewed: " + outdated.Error()
	}
	for _, name := range expired {
		m.options.EventLog.Record(event.LeaseLost, name, detail)
	}
}

// endStartupWait ends the voter's startup wait if this VM becomes a voter while it runs
// with an up-to-date configuration. It then has no grants from before its start.
func (m *Manager) endStartupWait() {
	if m.options.CheckFresh() != nil {
		return
	}
	isVoter := slices.Contains(m.options.Voters(), m.options.VM)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isVoter {
		m.ranAsNonVoter = true
	}
	if isVoter && m.ranAsNonVoter {
		m.ranAsNonVoter = false
		m.voter.EndStartupWait()
	}
}

// liveMembers are the entries that are alive and not draining.
type liveMembers struct {
	vms   []string // sorted
	boots map[string]uint64
	// byDataCentre holds the same entries by their data centre.
	byDataCentre map[string][]string
}

// liveAmong returns the live entries among members except one, which may be empty.
func liveAmong(members []fleet.Member, except string) liveMembers {
	live := liveMembers{boots: make(map[string]uint64), byDataCentre: make(map[string][]string)}
	for _, member := range members {
		if member.Eligible() && member.VM != except {
			live.vms = append(live.vms, member.VM)
			live.boots[member.VM] = member.Boot
			live.byDataCentre[member.DataCentre] = append(live.byDataCentre[member.DataCentre], member.VM)
		}
	}
	return live
}

// namesToRequest returns the leases to request: those that are held and due for renewal,
// those that this VM is asked to take over, and those without a live holder that are
// assigned to this VM.
func (m *Manager) namesToRequest(now time.Time, members liveMembers) []string {
	var names []string
	for _, name := range m.names {
		if _, held := m.holder.Held(name, now); held {
			if m.holder.Remaining(name, now) < renewBefore {
				names = append(names, name)
			}
			continue
		}
		if m.holder.BackingOff(name, now) {
			continue
		}
		if m.failures.takeoverRequested(name, now) {
			names = append(names, name)
			continue
		}
		holder, known := m.holders[name]
		heldBefore := known && holder.VM == m.options.VM
		live := known && !heldBefore && members.boots[holder.VM] == holder.Boot
		if heldBefore || !live && m.assigned(name, members) == m.options.VM {
			names = append(names, name)
		}
	}
	return names
}

// assigned returns the entry that should hold a lease if none does.
func (m *Manager) assigned(name string, members liveMembers) string {
	candidates := members.vms
	if near := members.byDataCentre[m.options.DataCentre(name)]; len(near) > 0 {
		candidates = near
	}
	return fleet.Rendezvous(m.options.Group(name), candidates)
}

// request requests leases from all voters.
func (m *Manager) request(names, voters []string, contested bool) {
	for batch := range slices.Chunk(names, maxBatch) {
		m.requestBatch(batch, voters, contested)
	}
}

func (m *Manager) requestBatch(names, voters []string, contested bool) {
	m.mu.Lock()
	seq := m.holder.StartRound(names, voters, m.options.Clock.Now())
	m.mu.Unlock()
	request := &wire.LeaseAsk{Names: names, Boot: m.options.Boot, Seq: seq, Contested: contested}
	for _, vm := range voters {
		if vm == m.options.VM {
			m.handleAnswer(vm, m.vote(vm, request))
			continue
		}
		m.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_LeaseAsk{LeaseAsk: request}})
	}
}

// Receive handles a message and reports whether it was for the leases.
func (m *Manager) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_LeaseAsk:
		if answer := m.vote(from, body.LeaseAsk); answer != nil {
			m.link.Send(from, &wire.Envelope{Body: &wire.Envelope_LeaseAnswer{LeaseAnswer: answer}})
		}
	case *wire.Envelope_LeaseAnswer:
		m.handleAnswer(from, body.LeaseAnswer)
	case *wire.Envelope_LeaseNeed:
		m.mu.Lock()
		m.failures.addTakeovers(from, body.LeaseNeed.GetNames(), m.options.Clock.Now())
		m.mu.Unlock()
	default:
		return false
	}
	return true
}

// vote answers a request. It returns nil for a release, and if this VM is no voter or
// the request is too large.
func (m *Manager) vote(from string, request *wire.LeaseAsk) *wire.LeaseAnswer {
	if len(request.GetNames()) > maxBatch || !slices.Contains(m.options.Voters(), m.options.VM) {
		return nil
	}
	owner := Owner{VM: from, Boot: request.GetBoot()}
	now := m.options.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.GetRelease() {
		m.voter.Release(owner, request.GetSeq(), request.GetNames(), now)
		return nil
	}
	if request.GetContested() {
		m.voter.Contest(owner, request.GetNames(), now)
	}
	answer := &wire.LeaseAnswer{Seq: request.GetSeq(), Boot: request.GetBoot()}
	for _, g := range m.voter.Acquire(owner, request.GetSeq(), request.GetNames(), now) {
		answer.Grants = append(answer.Grants, &wire.LeaseGrant{Name: g.Name, Granted: g.Granted, Epoch: g.Epoch})
	}
	return answer
}

// handleAnswer counts a voter's answer, announces the leases that it won and releases
// the grants that it cannot use.
func (m *Manager) handleAnswer(from string, answer *wire.LeaseAnswer) {
	if answer == nil || answer.GetBoot() != m.options.Boot {
		return
	}
	grants := make([]Grant, 0, len(answer.GetGrants()))
	for _, g := range answer.GetGrants() {
		grants = append(grants, Grant{Name: g.GetName(), Granted: g.GetGranted(), Epoch: g.GetEpoch()})
	}
	m.mu.Lock()
	won, unusable := m.holder.HandleAnswer(from, answer.GetSeq(), grants, m.options.Clock.Now())
	m.mu.Unlock()
	for _, name := range won {
		m.announce(name)
	}
	m.release(unusable)
}

// release ends leases of this VM and their grants at the voters.
func (m *Manager) release(names []string) {
	if len(names) == 0 {
		return
	}
	m.mu.Lock()
	seq := m.holder.Release(names)
	m.mu.Unlock()
	request := &wire.LeaseAsk{Names: names, Boot: m.options.Boot, Seq: seq, Release: true}
	for _, vm := range m.options.Voters() {
		if vm == m.options.VM {
			m.vote(vm, request)
			continue
		}
		m.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_LeaseAsk{LeaseAsk: request}})
	}
}

// announce tells the fleet that this VM holds a lease.
func (m *Manager) announce(name string) {
	body, err := proto.Marshal(&wire.LeaseHolder{Vm: m.options.VM, Boot: m.options.Boot})
	if err != nil {
		return
	}
	key := fleet.Key{Kind: fleet.KindLease, Name: name}
	version := fleet.Version{Count: m.epoch(name)}
	if known, ok := m.fleet.Get(key); ok && !version.Newer(known.Version) {
		version.Count = known.Version.Count + 1
	}
	m.fleet.Publish(fleet.Item{Key: key, Version: version, Body: body})
	m.options.EventLog.Record(event.LeaseWon, name, "")
}

func (m *Manager) epoch(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.Epoch(name)
}

// recordHolder records a holder that was announced to the fleet.
func (m *Manager) recordHolder(item fleet.Item) {
	var body wire.LeaseHolder
	if proto.Unmarshal(item.Body, &body) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holders[item.Key.Name] = Owner{VM: body.GetVm(), Boot: body.GetBoot()}
	m.failures.clear(item.Key.Name)
}

// ReportSuccess notes that the holder of a lease answered.
func (m *Manager) ReportSuccess(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures.clear(name)
}

// RecentlyFailed reports whether the holder of a lease failed within recentFailurePeriod.
func (m *Manager) RecentlyFailed(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures.recentlyFailed(name, m.options.Clock.Now())
}

// ReportFailure notes that the holder of a lease did not answer, or that it does not
// hold it. If failures continue, the next entry in the order of assignment is asked to
// take the lease over. Voters let a holder that renews its lease keep it, unless several entries
// report it.
func (m *Manager) ReportFailure(name string) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	holder := m.holders[name]
	takeover := m.failures.recordFailure(name, now)
	m.mu.Unlock()
	if !takeover {
		return
	}
	next := m.assigned(name, liveAmong(m.fleet.Members(), holder.VM))
	m.options.EventLog.Record(event.LeaseDoubted, name, "held by "+holder.VM+", takeover requested from "+next)
	if next == m.options.VM {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.failures.addTakeovers(m.options.VM, []string{name}, now)
		return
	}
	m.link.Send(next, &wire.Envelope{Body: &wire.Envelope_LeaseNeed{LeaseNeed: &wire.LeaseNeed{Names: []string{name}}}})
}

// Stop releases all leases before a planned stop.
func (m *Manager) Stop() {
	m.mu.Lock()
	m.stopping = true
	names := m.holder.HeldNames(m.options.Clock.Now())
	m.mu.Unlock()
	m.release(names)
	for _, name := range names {
		m.options.EventLog.Record(event.LeaseLost, name, "released before a planned stop")
	}
}
