package entry

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// controlSilence is the silence after which another control VM is asked.
const controlSilence = 1500 * time.Millisecond

// sourceSilence is the silence after which a large delta is asked for elsewhere.
const sourceSilence = time.Second

// follower keeps the configuration up to date, from the control VMs or from
// any neighbour that is ahead.
type follower struct {
	entry *Entry

	mu sync.Mutex
	// controls names the control VMs, and current is the one in use.
	controls []string
	seeds    []netip.AddrPort
	current  int
	other    int
	// first counts the asks for a first configuration.
	first      uint64
	heard      time.Time
	assemblers map[string]*state.Assembler
	// source is the VM that sends a large delta, and when its last part came.
	source   string
	sourceAt time.Time
	feed     state.Feed
}

func newFollower(e *Entry) *follower {
	return &follower{
		entry: e, controls: e.options.Control.Names(), heard: e.options.Clock.Now(),
		seeds: e.options.Seeds, assemblers: make(map[string]*state.Assembler),
		first: xxhash.Sum64String(e.options.VM),
	}
}

// setSeeds replaces the addresses that are asked while no control VM is known.
func (f *follower) setSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// sources returns whom to ask: the control VM in use, and another one that need not
// push what is new. The other one finds out what a control VM that is cut off from
// its group, and does not know yet, cannot say. Without an answer, all are asked.
func (f *follower) sources(now time.Time) (used []string, other string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := now.Sub(f.heard) > controlSilence
	if silent && len(f.controls) > 0 {
		f.current = (f.current + 1) % len(f.controls)
	}
	if silent || len(f.controls) == 0 {
		return f.known(), ""
	}
	f.other = (f.other + 1) % len(f.controls)
	if f.other == f.current {
		f.other = (f.other + 1) % len(f.controls)
	}
	if f.other != f.current {
		other = f.controls[f.other]
	}
	return []string{f.controls[f.current]}, other
}

// known returns the names of the control VMs, and the addresses of the settings.
func (f *follower) known() []string {
	list := slices.Clone(f.controls)
	for _, seed := range f.seeds {
		list = append(list, seed.String())
	}
	return list
}

// tick asks a control VM, and a neighbour that is ahead, for what is new.
func (f *follower) tick(now time.Time) {
	index := f.entry.State().Index()
	used, other := f.sources(now)
	for _, vm := range used {
		f.ask(vm, index, false)
	}
	if other != "" {
		f.ask(other, index, true)
	}
	if vm, ok := f.entry.fleet.Ahead(index); ok && !f.receiving(now) {
		f.ask(vm, index, false)
	}
}

// tickFirst asks one control VM after the other while there is no configuration yet,
// and a neighbour that has one: each that is asked sends all of it. Entries start with
// different control VMs. After that it asks for a first sign of the leader, without
// which this VM takes no part in leases.
func (f *follower) tickFirst(now time.Time) {
	index := f.entry.State().Index()
	if index > 0 && !f.entry.vouch.unled() || f.receiving(now) {
		return
	}
	f.mu.Lock()
	known := f.known()
	if index > 0 && len(f.controls) > 0 {
		known = f.controls[f.current : f.current+1]
	}
	f.first++
	at := f.first
	f.mu.Unlock()
	if vm, ok := f.entry.fleet.Ahead(index); ok {
		f.ask(vm, index, false)
	}
	if len(known) > 0 {
		f.ask(known[at%uint64(len(known))], index, false)
	}
}

// receiving reports whether parts of a large delta are coming in.
func (f *follower) receiving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.sourceAt) < sourceSilence
}

// ask requests everything after an index, and acknowledges everything up to it. A
// brief one wants neither a large delta nor pushes.
func (f *follower) ask(vm string, index uint64, brief bool) {
	e := f.entry
	to, part, elsewhere := f.progress(vm)
	brief = brief || elsewhere
	watch := &wire.Watch{
		To: to, Part: part, Brief: brief,
		Index: index, Addr: e.options.LinkAddr(e.listeners), DataCentre: e.options.DataCentre,
		Serving: !e.stopping.Load() && e.fresh() == nil, Leaving: e.stopping.Load(), Members: uint32(len(e.fleet.Members())),
	}
	e.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_Watch{Watch: watch}})
}

// progress returns what a VM should send next, or that it should send no large
// delta because another VM does.
func (f *follower) progress(vm string) (to uint64, part uint32, brief bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != vm && f.entry.options.Clock.Now().Sub(f.sourceAt) < sourceSilence {
		return 0, 0, true
	}
	if a, ok := f.assemblers[vm]; ok {
		to, part, _ = a.Wants()
	}
	return to, part, false
}

// receive takes a part of a delta.
func (f *follower) receive(from string, d *wire.Delta) {
	f.noteControl(from, d)
	f.entry.vouch.heardControl(d.GetBeacon())
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.assemblers[from]
	if !ok {
		a = &state.Assembler{}
		f.assemblers[from] = a
	}
	before := f.entry.State()
	_, wanted, _ := a.Wants()
	next, changed, err := a.Add(before, d)
	if err == nil && d.GetMore() {
		f.source, f.sourceAt = from, f.entry.options.Clock.Now()
	}
	if _, after, _ := a.Wants(); after != wanted && a.Pauses(d) {
		go f.ask(from, before.Index(), false)
	}
	if err != nil || !changed {
		return
	}
	f.sourceAt = time.Time{}
	f.adopt(before, next)
	if at := slices.Index(f.controls, from); at >= 0 {
		go f.ask(from, next.Index(), at != f.current)
	}
}

// noteControl remembers that a control VM answered and which one leads.
func (f *follower) noteControl(from string, d *wire.Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteControls(d.GetControls())
	at := slices.Index(f.controls, from)
	if at < 0 || d.GetLeader() == "" {
		// A control VM without a leader does not know what is new.
		return
	}
	now := f.entry.options.Clock.Now()
	if now.Sub(f.heard) > controlSilence {
		f.current = at
	}
	if at == f.current {
		f.heard = now
	}
	if leader := slices.Index(f.controls, d.GetLeader()); leader >= 0 && leader != f.current {
		f.current = leader
		f.heard = f.entry.options.Clock.Now()
		go f.ask(d.GetLeader(), f.entry.State().Index(), false)
	}
	for _, p := range d.GetPeers() {
		if addr, err := netip.ParseAddrPort(p.GetAddr()); err == nil {
			f.entry.fleet.AddSeed(p.GetVm(), addr)
		}
	}
}

// noteControls learns the group of control VMs, which may have replaced those of
// the settings.
func (f *follower) noteControls(controls []*wire.Peer) {
	var names []string
	for _, p := range controls {
		addr, err := netip.ParseAddrPort(p.GetAddr())
		if err != nil {
			continue
		}
		f.entry.link.SetPeer(p.GetVm(), addr)
		names = append(names, p.GetVm())
	}
	if len(names) == 0 || slices.Equal(names, f.controls) {
		return
	}
	used := ""
	if len(f.controls) > 0 {
		used = f.controls[f.current]
	}
	f.controls, f.current = names, max(0, slices.Index(names, used))
}

// adopt puts a new configuration in force on this VM, in place of the one before.
func (f *follower) adopt(before, next state.State) {
	view := proxy.NewConfig(next)
	f.entry.fleet.SetRegistered(registered(next))
	f.entry.view.Store(view)
	if before.Index() == 0 && next.Index() > 0 {
		close(f.entry.first)
	}
	f.entry.proxy.ApplyConfig(view)
	f.entry.fleet.SetIndex(next.Index())
	f.entry.options.Line.Record(event.StateApplied, next.String(), "")
}

// serve answers another entry that asks for what is new.
func (f *follower) serve(from string, w *wire.Watch) {
	current := f.entry.State()
	if current.Index() <= w.GetIndex() {
		return
	}
	parts, large, err := f.feed.Next(current, w.GetIndex(), w.GetTo(), w.GetPart())
	if err != nil || large && w.GetBrief() {
		return
	}
	for _, part := range parts {
		f.entry.link.Send(from, &wire.Envelope{Body: &wire.Envelope_Delta{Delta: part}})
	}
}

// registered returns the backend servers that have registered with control.
func registered(s state.State) []fleet.Target {
	var list []fleet.Target
	for _, t := range state.List[state.Target](s) {
		if t.Phase == state.TargetGone {
			continue
		}
		connections := t.Connections
		if settings, ok := state.Get[state.Pool](s, t.Pool); ok && connections == 0 {
			connections = settings.Connections
		}
		list = append(list, fleet.Target{
			Name: t.Name, Pool: t.Pool, DataCentre: t.DataCentre, Addr: t.Addr, Slots: t.Slots,
			Connections: connections, Phase: fleet.Phase(t.Phase), Boot: t.Boot, Count: t.Count,
		})
	}
	return list
}
