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
	// Period is the time between two looks at the leases.
	Period = 100 * time.Millisecond
	// renewEvery is the time between two renewals of a lease.
	renewEvery = 200 * time.Millisecond
	// renewAt is the time left of a lease at which it is renewed. Two renewals may
	// be lost before it ends.
	renewAt = HoldDuration - renewEvery + Period/2
	// askBatch is the number of names in one request.
	askBatch = 256
)

// Manager is one entry's part in all leases: as a voter, as a holder, and as one
// who looks for the holder.
type Manager struct {
	options Options
	link    link.Link
	fleet   *fleet.Fleet

	mu       sync.Mutex
	voter    *Voter
	holder   *Holder
	wanted   []string
	stopping bool
	// clean says that this VM has run, up to date, while it was no voter.
	clean   bool
	holders map[string]Owner
	doubts  *doubts
}

// New returns an entry's part in the leases. Tick must be called every Period.
func New(l link.Link, f *fleet.Fleet, opts ...Option) *Manager {
	o := newOptions(opts...)
	s := &Manager{
		options: o, link: l, fleet: f,
		voter:   NewVoter(o.Clock.Now().Add(Duration + Duration/marginPart)),
		holder:  NewHolder(),
		holders: make(map[string]Owner),
		doubts:  newDoubts(),
	}
	f.Watch(fleet.KindLease, s.noteHolder)
	return s
}

// SetNames sets the names of all leases that somebody should hold.
func (l *Manager) SetNames(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = names
}

// Held reports whether this VM holds a lease, and since when.
func (l *Manager) Held(name string) (since time.Time, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Held(name, l.options.Clock.Now())
}

// Holder returns the VM that was last heard to hold a lease.
func (l *Manager) Holder(name string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.holders[name]
	return o.VM, ok
}

// HeldNames returns the leases that this VM holds.
func (l *Manager) HeldNames() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.HeldNames(l.options.Clock.Now())
}

// Tick renews leases and takes those that nobody holds.
func (l *Manager) Tick(now time.Time) {
	l.noteClean()
	voters, fresh := l.options.Voters(), l.options.CheckFresh()
	l.noteLost(fresh, now)
	if len(voters) == 0 || fresh != nil {
		return
	}
	members, boots := l.liveMembers()
	l.mu.Lock()
	var names []string
	if !l.stopping {
		names = l.due(now, members, boots)
	}
	l.mu.Unlock()
	for batch := range slices.Chunk(names, askBatch) {
		l.ask(batch, voters, now)
	}
}

// noteLost logs the leases that have ended without being renewed, and what speaks
// against renewing them, if anything does.
func (l *Manager) noteLost(fresh error, now time.Time) {
	l.mu.Lock()
	lost := l.holder.TakeExpired(now)
	l.mu.Unlock()
	detail := "not renewed in time"
	if fresh != nil {
		detail = "not renewed: " + fresh.Error()
	}
	for _, name := range lost {
		l.options.Line.Record(event.LeaseLost, name, detail)
	}
}

// noteClean lets the voter grant at once if it cannot have voted before.
func (l *Manager) noteClean() {
	if l.options.CheckFresh() != nil {
		return
	}
	elected := slices.Contains(l.options.Voters(), l.options.VM)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !elected {
		l.clean = true
	}
	if elected && l.clean {
		l.clean = false
		l.voter.EndStartupWait()
	}
}

// liveMembers returns the entries that are not suspected, in order, and their boots.
func (l *Manager) liveMembers() ([]string, map[string]uint64) {
	var vms []string
	boots := make(map[string]uint64)
	for _, m := range l.fleet.Members() {
		if m.Fit() {
			vms = append(vms, m.VM)
			boots[m.VM] = m.Boot
		}
	}
	return vms, boots
}

// due returns the leases to ask for: those held that end soon, and those of
// which this VM is the best owner and whose holder is gone.
func (l *Manager) due(now time.Time, members []string, boots map[string]uint64) []string {
	var names []string
	for _, name := range l.wanted {
		if _, held := l.holder.Held(name, now); held {
			if l.holder.Remaining(name, now) < renewAt {
				names = append(names, name)
			}
			continue
		}
		if l.holder.BackingOff(name, now) {
			continue
		}
		if l.doubts.needed(name, now) {
			names = append(names, name)
			continue
		}
		holder, known := l.holders[name]
		mine := known && holder.VM == l.options.VM
		present := known && !mine && boots[holder.VM] == holder.Boot
		if mine || !present && fleet.Choose(name, members) == l.options.VM {
			names = append(names, name)
		}
	}
	return names
}

func (l *Manager) ask(names, voters []string, now time.Time) {
	l.mu.Lock()
	seq := l.holder.StartRound(names, voters, l.options.Clock.Now())
	l.mu.Unlock()
	ask := &wire.LeaseAsk{Names: names, Boot: l.options.Boot, Seq: seq}
	for _, vm := range voters {
		if vm == l.options.VM {
			l.takeAnswer(vm, l.vote(vm, ask))
			continue
		}
		l.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_LeaseAsk{LeaseAsk: ask}})
	}
}

// Receive handles a message and reports whether it was meant for the leases.
func (l *Manager) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_LeaseAsk:
		if answer := l.vote(from, body.LeaseAsk); answer != nil {
			l.link.Send(from, &wire.Envelope{Body: &wire.Envelope_LeaseAnswer{LeaseAnswer: answer}})
		}
	case *wire.Envelope_LeaseAnswer:
		l.takeAnswer(from, body.LeaseAnswer)
	case *wire.Envelope_LeaseNeed:
		l.mu.Lock()
		l.doubts.need(body.LeaseNeed.GetNames(), l.options.Clock.Now())
		l.mu.Unlock()
	default:
		return false
	}
	return true
}

// vote answers a request, or returns nil if there is nothing to say.
func (l *Manager) vote(from string, m *wire.LeaseAsk) *wire.LeaseAnswer {
	if len(m.GetNames()) > askBatch || !slices.Contains(l.options.Voters(), l.options.VM) {
		return nil
	}
	owner := Owner{VM: from, Boot: m.GetBoot()}
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.GetRelease() {
		l.voter.Release(owner, m.GetSeq(), m.GetNames(), now)
		return nil
	}
	answer := &wire.LeaseAnswer{Seq: m.GetSeq(), Boot: m.GetBoot()}
	for _, g := range l.voter.Acquire(owner, m.GetSeq(), m.GetNames(), now) {
		answer.Grants = append(answer.Grants, &wire.LeaseGrant{Name: g.Name, Granted: g.Granted, Epoch: g.Epoch})
	}
	return answer
}

func (l *Manager) takeAnswer(from string, m *wire.LeaseAnswer) {
	if m == nil || m.GetBoot() != l.options.Boot {
		return
	}
	grants := make([]Grant, 0, len(m.GetGrants()))
	for _, g := range m.GetGrants() {
		grants = append(grants, Grant{Name: g.GetName(), Granted: g.GetGranted(), Epoch: g.GetEpoch()})
	}
	l.mu.Lock()
	won, split := l.holder.HandleAnswer(from, m.GetSeq(), grants, l.options.Clock.Now())
	l.mu.Unlock()
	for _, name := range won {
		l.announce(name)
	}
	l.giveBack(split)
}

// giveBack gives up names, and the votes for them.
func (l *Manager) giveBack(names []string) {
	if len(names) == 0 {
		return
	}
	l.mu.Lock()
	seq := l.holder.Release(names)
	l.mu.Unlock()
	release := &wire.LeaseAsk{Names: names, Boot: l.options.Boot, Seq: seq, Release: true}
	for _, vm := range l.options.Voters() {
		if vm == l.options.VM {
			l.vote(vm, release)
			continue
		}
		l.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_LeaseAsk{LeaseAsk: release}})
	}
}

// announce tells the fleet that this VM holds a lease.
func (l *Manager) announce(name string) {
	body, err := proto.Marshal(&wire.LeaseHolder{Vm: l.options.VM, Boot: l.options.Boot})
	if err != nil {
		return
	}
	key := fleet.Key{Kind: fleet.KindLease, Name: name}
	version := fleet.Version{Count: l.epoch(name)}
	if known, ok := l.fleet.Get(key); ok && !version.Newer(known.Version) {
		version.Count = known.Version.Count + 1
	}
	l.fleet.Put(fleet.Item{Key: key, Version: version, Body: body})
	l.options.Line.Record(event.LeaseWon, name, "")
}

func (l *Manager) epoch(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Epoch(name)
}

func (l *Manager) noteHolder(item fleet.Item) {
	var body wire.LeaseHolder
	if proto.Unmarshal(item.Body, &body) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders[item.Key.Name] = Owner{VM: body.GetVm(), Boot: body.GetBoot()}
	l.doubts.clear(item.Key.Name)
}

// ReportSuccess notes that the holder of a lease serves.
func (l *Manager) ReportSuccess(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubts.clear(name)
}

// RecentlyFailed reports whether the holder of a lease has failed to serve just now.
func (l *Manager) RecentlyFailed(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubts.fresh(name, l.options.Clock.Now())
}

// ReportFailure notes that the holder of a lease says nothing, or that it does not hold it.
// When that goes on, the next in line is asked to take the lease: voters give it to
// no one as long as the holder renews it.
func (l *Manager) ReportFailure(name string) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	holder := l.holders[name]
	due := l.doubts.add(name, now)
	l.mu.Unlock()
	if !due {
		return
	}
	members, _ := l.liveMembers()
	others := slices.DeleteFunc(members, func(vm string) bool { return vm == holder.VM })
	next := fleet.Choose(name, others)
	l.options.Line.Record(event.LeaseDoubted, name, "held by "+holder.VM+", next is "+next)
	if next == l.options.VM {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.doubts.need([]string{name}, now)
		return
	}
	l.link.Send(next, &wire.Envelope{Body: &wire.Envelope_LeaseNeed{LeaseNeed: &wire.LeaseNeed{Names: []string{name}}}})
}

// Stop gives all leases back, before a planned stop.
func (l *Manager) Stop() {
	l.mu.Lock()
	l.stopping = true
	names := l.holder.HeldNames(l.options.Clock.Now())
	l.mu.Unlock()
	l.giveBack(names)
	for _, name := range names {
		l.options.Line.Record(event.LeaseLost, name, "given back")
	}
}
