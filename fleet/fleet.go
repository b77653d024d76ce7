// Package fleet implements the gossip membership of the entries and replicates
// versioned items, such as announcements of backend servers, between them.
//
// Every entry keeps connections to a few neighbours. A new version of an item is
// passed on to all neighbours at once, so that it reaches every entry within a few
// hops, and each entry sends it at most once to each neighbour. Neighbours also
// compare checksums of their items periodically (anti-entropy), which repairs
// losses.
//
// Neighbours monitor each other by heartbeats. One whose heartbeats are overdue is
// suspected, and declared dead unless it refutes the suspicion. The protocol needs
// no central process and works while the control VMs are unavailable.
//
// # Usage
//
//	f := fleet.New(transport, fleet.Self(member), fleet.Seeds("e2", "e3"))
//	f.Watch(fleet.KindTarget, func(item fleet.Item) { ... })
//	f.Announce(target)
//	pool := f.Directory().Pool("loan-desk")
package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

// maxGossipItems is the maximum number of items in one message.
const maxGossipItems = 1000

// Fleet is the view that one entry has of the membership and the replicated items.
type Fleet struct {
	options   Options
	transport link.Transport

	mu       sync.Mutex
	core     *core
	expiry   *expiryTracker
	watchers map[Kind][]func(Item)
	// undelivered are the changed items that watchers have not been called for yet.
	undelivered []Item
	delivering  bool
	// flushScheduled is set while a call of flush is due.
	flushScheduled bool

	// registered are the backend servers registered with the control plane, by name.
	registered map[string]Target

	directory atomic.Pointer[Directory]
	members   atomic.Pointer[[]Member]
	stop      func()
}

// New joins the fleet and starts gossiping.
func New(transport link.Transport, opts ...Option) *Fleet {
	o := newOptions(opts...)
	now := o.Clock.Now()
	f := &Fleet{
		options:   o,
		transport: transport,
		core:      newCore(o.Self, o.Seeds, now),
		expiry:    newExpiryTracker(o.Self.VM),
		watchers:  make(map[Kind][]func(Item)),
	}
	f.directory.Store(&Directory{})
	f.members.Store(&[]Member{})
	f.stop = o.Clock.Every(tickInterval, f.tick)
	f.step(func(time.Time) {})
	return f
}

// Watch registers a function that is called for every new version of the items of a
// kind. Calls are made in order and one at a time; the function must not block.
func (f *Fleet) Watch(kind Kind, watch func(Item)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[kind] = append(f.watchers[kind], watch)
}

// Publish replicates an item to all entries.
func (f *Fleet) Publish(item Item) {
	f.step(func(now time.Time) { f.core.put(item, "", now) })
}

// Get returns the newest version of an item.
func (f *Fleet) Get(key Key) (Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.core.store.items[key]
	return item, ok
}

// SetStateIndex publishes the index of the configuration that this entry holds.
func (f *Fleet) SetStateIndex(index uint64) {
	f.step(func(time.Time) { f.core.setStateIndex(index) })
}

// NeighbourAhead returns a neighbour whose configuration is newer than index, if any.
func (f *Fleet) NeighbourAhead(index uint64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, n := range f.core.neighbours {
		if n.stateIndex > index {
			return vm, true
		}
	}
	return "", false
}

// Neighbours returns the sorted names of the neighbours in the gossip overlay.
func (f *Fleet) Neighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms := make([]string, 0, len(f.core.neighbours))
	for vm := range f.core.neighbours {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// AddSeed adds an entry to contact while there are no neighbours.
func (f *Fleet) AddSeed(vm string, addr netip.AddrPort) {
	if vm == f.options.Self.VM {
		return
	}
	f.transport.SetPeer(vm, addr)
	f.step(func(now time.Time) { f.core.addSeed(vm, now) })
}

// ItemTraffic counts the items of one kind that were sent to other entries.
type ItemTraffic struct {
	Items uint64 `json:"items"`
	// Bytes is the size of their names and bodies.
	Bytes uint64 `json:"bytes"`
}

// Traffic returns what was sent to other entries, by kind of item.
func (f *Fleet) Traffic() map[Kind]ItemTraffic {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.core.sent)
}

// Members returns the active members, sorted by name.
func (f *Fleet) Members() []Member { return *f.members.Load() }

// Directory returns a snapshot of the known backend servers.
func (f *Fleet) Directory() *Directory { return f.directory.Load() }

// Receive handles a message from another entry and reports whether it is one of this
// package's types.
func (f *Fleet) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Gossip:
		g := decodeGossip(body.Gossip)
		f.step(func(now time.Time) { f.core.receive(from, g, now) })
	case *wire.Envelope_Refresh:
		f.receiveRefresh(body.Refresh)
	default:
		return false
	}
	return true
}

// Drain announces that this entry is shutting down and must not be assigned new work.
func (f *Fleet) Drain() {
	f.step(func(now time.Time) {
		f.core.self = f.core.self.WithDraining()
		f.core.put(f.core.self.item(), "", now)
	})
}

// SetCutOff announces whether this entry reaches no backend servers by itself.
func (f *Fleet) SetCutOff(cutOff bool) {
	f.step(func(now time.Time) {
		f.core.self = f.core.self.WithCutOff(cutOff)
		f.core.put(f.core.self.item(), "", now)
	})
}

// Leave announces that this entry leaves the fleet, and stops.
func (f *Fleet) Leave() {
	f.stop()
	f.step(func(now time.Time) { f.core.leave(now) })
}

func (f *Fleet) tick(now time.Time) {
	f.step(func(time.Time) {
		f.core.tick(now)
		for _, item := range f.expiry.expired(now, f.core) {
			f.core.put(item, "", now)
		}
	})
}

// step runs a function that changes the core, and carries out the resulting effects.
func (f *Fleet) step(run func(now time.Time)) {
	f.mu.Lock()
	now := f.options.Clock.Now()
	run(now)
	out := f.core.effects(now)
	schedule := out.deferred && !f.flushScheduled
	f.flushScheduled = f.flushScheduled || out.deferred
	f.applyChanges(out.changed)
	f.undelivered = append(f.undelivered, out.changed...)
	deliver := !f.delivering && len(f.undelivered) > 0
	if deliver {
		f.delivering = true
	}
	f.mu.Unlock()
	if schedule {
		f.options.Clock.After(flushInterval, f.flush)
	}
	for _, o := range out.send {
		f.send(o)
	}
	if deliver {
		f.deliver()
	}
}

// flush sends what an earlier step has deferred.
func (f *Fleet) flush(time.Time) {
	f.step(func(time.Time) { f.flushScheduled = false })
}

// deliver calls the watchers of undelivered items. Only one goroutine runs it at a time.
func (f *Fleet) deliver() {
	for {
		f.mu.Lock()
		if len(f.undelivered) == 0 {
			f.delivering = false
			f.mu.Unlock()
			return
		}
		item := f.undelivered[0]
		f.undelivered = f.undelivered[1:]
		watchers := f.watchers[item.Key.Kind]
		f.mu.Unlock()
		for _, watch := range watchers {
			watch(item)
		}
	}
}

// applyChanges updates the directory, the members and the peers' addresses.
func (f *Fleet) applyChanges(items []Item) {
	isMember := func(i Item) bool { return i.Key.Kind == KindMember }
	var before []Member
	if slices.ContainsFunc(items, isMember) {
		before = f.publishMembers()
	}
	for _, item := range items {
		switch item.Key.Kind {
		case KindTarget:
			f.applyTarget(item)
		case KindMember:
			f.applyMember(item, before)
		}
	}
}

// publishMembers replaces the member list that Members returns, and returns the
// previous one.
func (f *Fleet) publishMembers() []Member {
	members := make([]Member, 0, len(f.core.members))
	for _, vm := range f.core.vms() {
		members = append(members, f.core.members[vm])
	}
	return *f.members.Swap(&members)
}

// applyMember updates a member's address and records joins and losses in the event log.
func (f *Fleet) applyMember(item Item, before []Member) {
	m, ok := decodeMember(item)
	if !ok {
		return
	}
	_, known := slices.BinarySearchFunc(before, m.VM, func(b Member, vm string) int { return strings.Compare(b.VM, vm) })
	if m.VM == f.options.Self.VM {
		return
	}
	if addr, err := netip.ParseAddrPort(m.Addr); err == nil && m.Active() {
		f.transport.SetPeer(m.VM, addr)
	}
	switch {
	case m.Active() && !known:
		f.options.EventLog.Record(event.MemberJoined, m.VM, "")
	case !m.Active() && known:
		f.options.EventLog.Record(event.MemberLost, m.VM, string(m.Condition))
	}
}

// send splits a message that has too many items, and sends it.
func (f *Fleet) send(o outgoing) {
	items := o.message.items
	for len(items) > maxGossipItems {
		part := gossip{items: items[:maxGossipItems], index: o.message.index}
		f.transport.Send(o.to, part.envelope())
		items = items[maxGossipItems:]
	}
	last := o.message
	last.items = items
	f.transport.Send(o.to, last.envelope())
}

func (g gossip) envelope() *wire.Envelope {
	m := &wire.Gossip{Index: g.index, Sums: g.checksums, Want: g.want}
	for _, item := range g.items {
		m.Items = append(m.Items, item.wire())
	}
	return &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: m}}
}

func decodeGossip(m *wire.Gossip) gossip {
	g := gossip{index: m.GetIndex(), checksums: m.GetSums(), want: m.GetWant()}
	for _, i := range m.GetItems() {
		if item, ok := decodeItem(i); ok {
			g.items = append(g.items, item)
		}
	}
	return g
}
