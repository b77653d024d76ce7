// Package fleet is the membership of the entries and what they tell each other.
//
// Every entry keeps a connection to a few neighbours. A fact, such as an
// announcement of a backend server, is an item with a version: it is passed on
// to all neighbours as soon as it is new, so that it reaches every entry within
// a few steps and each entry sends it at most once to each neighbour. Neighbours
// also compare sums of their items from time to time, which repairs losses.
//
// Neighbours watch each other. A silent one is suspected, can object, and is
// otherwise taken for dead. No central process takes part, so that all of this
// goes on while the control VMs are away.
//
// # Usage
//
//	f := fleet.New(links, fleet.Self(member), fleet.Seeds("e2", "e3"))
//	f.Watch(fleet.KindTarget, func(item fleet.Item) { ... })
//	f.Announce(target)
//	pool := f.Directory().Pool("loan-desk")
package fleet

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

// maxGossipItems is the number of items in one message.
const maxGossipItems = 1000

// Fleet is the membership as one entry sees it.
type Fleet struct {
	options Options
	link    link.Transport

	mu       sync.Mutex
	core     *core
	homes    *homes
	watchers map[Kind][]func(Item)
	queue    []Item
	draining bool

	// registered are the backend servers that control knows.
	registered []Target

	directory atomic.Pointer[Directory]
	members   atomic.Pointer[[]Member]
	stop      func()
}

// New starts the membership of one entry.
func New(l link.Transport, opts ...Option) *Fleet {
	o := newOptions(opts...)
	now := o.Clock.Now()
	f := &Fleet{
		options:  o,
		link:     l,
		core:     newCore(o.Self, o.Seeds, now),
		homes:    newHomes(o.Self.VM),
		watchers: make(map[Kind][]func(Item)),
	}
	f.directory.Store(&Directory{})
	f.members.Store(&[]Member{})
	f.stop = o.Clock.Every(tickPeriod, f.tick)
	f.step(func(time.Time) {})
	return f
}

// Watch calls f for every item of a kind that is new. Calls are made one at a
// time in order; f must not block.
func (f *Fleet) Watch(kind Kind, watch func(Item)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers[kind] = append(f.watchers[kind], watch)
}

// Publish spreads an item.
func (f *Fleet) Publish(item Item) {
	f.step(func(now time.Time) { f.core.put(item, "", now) })
}

// Get returns the newest item of a key.
func (f *Fleet) Get(key Key) (Item, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	item, ok := f.core.board.items[key]
	return item, ok
}

// SetStateIndex tells the neighbours how new this entry's configuration is.
func (f *Fleet) SetStateIndex(index uint64) {
	f.step(func(time.Time) { f.core.setIndex(index) })
}

// NeighbourAhead returns a neighbour with a newer configuration than index, if any.
func (f *Fleet) NeighbourAhead(index uint64) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for vm, n := range f.core.neighbours {
		if n.index > index {
			return vm, true
		}
	}
	return "", false
}

// Neighbours returns the entries beside this one.
func (f *Fleet) Neighbours() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]string, 0, len(f.core.neighbours))
	for vm := range f.core.neighbours {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

// AddSeed names an entry to ask while there are no neighbours.
func (f *Fleet) AddSeed(vm string, addr netip.AddrPort) {
	if vm == f.options.Self.VM {
		return
	}
	f.link.SetPeer(vm, addr)
	f.step(func(time.Time) { f.core.addSeed(vm) })
}

// Members returns the entries that take part, in order of name.
func (f *Fleet) Members() []Member { return *f.members.Load() }

// Directory returns the backend servers that have announced themselves.
func (f *Fleet) Directory() *Directory { return f.directory.Load() }

// Receive handles a message of another entry and reports whether it was meant
// for the fleet.
func (f *Fleet) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Gossip:
		g := gossipOf(body.Gossip)
		f.step(func(now time.Time) { f.core.receive(from, g, now) })
	case *wire.Envelope_Refresh:
		f.receiveRefresh(body.Refresh)
	default:
		return false
	}
	return true
}

// Drain tells the others that this entry is about to stop and takes no new duties.
func (f *Fleet) Drain() {
	f.step(func(now time.Time) {
		f.core.self = f.core.self.WithDraining()
		f.core.put(f.core.self.item(), "", now)
	})
}

// Leave tells the neighbours that this entry goes on purpose, and stops.
func (f *Fleet) Leave() {
	f.stop()
	f.step(func(now time.Time) { f.core.leave(now) })
}

func (f *Fleet) tick(now time.Time) {
	f.step(func(time.Time) {
		f.core.tick(now)
		for _, item := range f.homes.expired(now, f.core) {
			f.core.put(item, "", now)
		}
	})
}

// step runs one step of the core and carries out its effects.
func (f *Fleet) step(run func(now time.Time)) {
	f.mu.Lock()
	run(f.options.Clock.Now())
	out := f.core.effects()
	f.noteChanges(out.changed)
	f.queue = append(f.queue, out.changed...)
	drain := !f.draining && len(f.queue) > 0
	if drain {
		f.draining = true
	}
	f.mu.Unlock()
	for _, o := range out.send {
		f.send(o)
	}
	if drain {
		f.drain()
	}
}

// drain calls the watchers of queued items, one goroutine at a time.
func (f *Fleet) drain() {
	for {
		f.mu.Lock()
		if len(f.queue) == 0 {
			f.draining = false
			f.mu.Unlock()
			return
		}
		item := f.queue[0]
		f.queue = f.queue[1:]
		watchers := f.watchers[item.Key.Kind]
		f.mu.Unlock()
		for _, watch := range watchers {
			watch(item)
		}
	}
}

// noteChanges brings the directory, the members and the peers' addresses up to date.
func (f *Fleet) noteChanges(items []Item) {
	isMember := func(i Item) bool { return i.Key.Kind == KindMember }
	var before []Member
	if slices.ContainsFunc(items, isMember) {
		before = f.publishMembers()
	}
	for _, item := range items {
		switch item.Key.Kind {
		case KindTarget:
			f.noteTarget(item)
		case KindMember:
			f.noteMember(item, before)
		}
	}
}

// publishMembers makes the members visible to other goroutines and returns
// those that were visible before.
func (f *Fleet) publishMembers() []Member {
	list := make([]Member, 0, len(f.core.members))
	for _, vm := range f.core.vms() {
		list = append(list, f.core.members[vm])
	}
	return *f.members.Swap(&list)
}

func (f *Fleet) noteMember(item Item, before []Member) {
	m, ok := memberOf(item)
	if !ok {
		return
	}
	known := slices.ContainsFunc(before, func(b Member) bool { return b.VM == m.VM })
	if m.VM == f.options.Self.VM {
		return
	}
	if addr, err := netip.ParseAddrPort(m.Addr); err == nil && m.Active() {
		f.link.SetPeer(m.VM, addr)
	}
	switch {
	case m.Active() && !known:
		f.options.EventLog.Record(event.MemberJoined, m.VM, "")
	case !m.Active() && known:
		f.options.EventLog.Record(event.MemberLost, m.VM, string(m.Condition))
	}
}

func (f *Fleet) send(o outgoing) {
	items := o.message.items
	for len(items) > maxGossipItems {
		part := gossip{items: items[:maxGossipItems], index: o.message.index}
		f.link.Send(o.to, part.envelope())
		items = items[maxGossipItems:]
	}
	last := o.message
	last.items = items
	f.link.Send(o.to, last.envelope())
}

func (g gossip) envelope() *wire.Envelope {
	m := &wire.Gossip{Index: g.index, Sums: g.sums, Want: g.want}
	for _, item := range g.items {
		m.Items = append(m.Items, item.wire())
	}
	return &wire.Envelope{Body: &wire.Envelope_Gossip{Gossip: m}}
}

func gossipOf(m *wire.Gossip) gossip {
	g := gossip{index: m.GetIndex(), sums: m.GetSums(), want: m.GetWant()}
	for _, i := range m.GetItems() {
		if item, ok := itemOf(i); ok {
			g.items = append(g.items, item)
		}
	}
	return g
}
