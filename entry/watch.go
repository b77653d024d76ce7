package entry

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// controlTimeout is the time without a response after which another control VM is used.
const controlTimeout = 1500 * time.Millisecond

// sourceTimeout is the time without a part of a large delta after which the delta is
// requested from another VM.
const sourceTimeout = time.Second

// configWatcher keeps the configuration up to date. It requests deltas from the control
// VMs and from neighbours with a newer configuration.
type configWatcher struct {
	entry *Entry

	mu sync.Mutex
	// controls names the control VMs. current is the index of the one in use, and
	// secondary that of the last one that received a brief request.
	controls  []string
	seeds     []netip.AddrPort
	current   int
	secondary int
	// initialRequests selects the control VM for the next initial request. It starts at a
	// hash of the VM's name, so that entries start with different control VMs.
	initialRequests uint64
	// initialSource was asked for the first state at initialAskedAt, and was last heard at
	// initialHeardAt. A seed is not known by its name yet.
	initialSource  string
	initialAskedAt time.Time
	initialHeardAt time.Time
	lastResponse   time.Time
	assemblers     map[string]*state.Assembler
	// deltaSource is the VM that sends a large delta, whose last part arrived at
	// lastPartAt.
	deltaSource string
	lastPartAt  time.Time
	// diverged is set while this VM's state is known to differ from that of a control VM at
	// the same index, and unverified while it may, because an entry of a version without digests
	// sent it. Only a full state repairs that.
	diverged    bool
	unverified  bool
	refused     *prometheus.CounterVec
	divergences prometheus.Counter
	feed        state.DeltaCache
}

// Reasons to refuse a delta.
const (
	refusedDigest     = "digest"
	refusedUnverified = "unverified"
	refusedInvalid    = "invalid"
)

func newConfigWatcher(e *Entry) *configWatcher {
	return &configWatcher{
		entry: e, controls: e.options.Control.Names(), lastResponse: e.options.Clock.Now(),
		seeds: e.options.Seeds, assemblers: make(map[string]*state.Assembler),
		initialRequests: xxhash.Sum64String(e.options.VM),
		refused:         e.options.Meter.CounterVec("deltas_refused_total", "Updates of the configuration refused, by reason.", "reason"),
		divergences:     e.options.Meter.Counter("state_diverged_total", "Times that the configuration differed from the control leader's."),
	}
}

// setSeeds replaces the addresses that are used while no control VM is known.
func (w *configWatcher) setSeeds(seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = seeds
}

// requestTargets returns the VMs to send requests to: the control VM in use, and a
// secondary one for a brief request. The secondary one reveals updates that the control
// VM in use misses if it is partitioned from its group without having noticed. If the
// control VM in use does not respond, all control VMs and seeds are returned.
func (w *configWatcher) requestTargets(now time.Time) (primary []string, secondary string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.controlRespondsLocked(now) {
		if len(w.controls) > 0 {
			w.current = (w.current + 1) % len(w.controls)
		}
		return w.knownControls(), ""
	}
	w.secondary = (w.secondary + 1) % len(w.controls)
	if w.secondary == w.current {
		w.secondary = (w.secondary + 1) % len(w.controls)
	}
	if w.secondary != w.current {
		secondary = w.controls[w.secondary]
	}
	return []string{w.controls[w.current]}, secondary
}

// controlRespondsLocked reports whether a control VM is known and the one in use responds.
func (w *configWatcher) controlRespondsLocked(now time.Time) bool {
	return len(w.controls) > 0 && now.Sub(w.lastResponse) <= controlTimeout
}

// knownControls returns the names of the control VMs and the addresses of the seeds.
func (w *configWatcher) knownControls() []string {
	list := slices.Clone(w.controls)
	for _, seed := range w.seeds {
		list = append(list, seed.String())
	}
	return list
}

// tick requests updates from the control VMs and from a neighbour with a newer
// configuration, once there is a first one.
func (w *configWatcher) tick(now time.Time) {
	index := w.entry.State().Index()
	if index == 0 {
		return
	}
	primary, secondary := w.requestTargets(now)
	base := w.base()
	for _, vm := range primary {
		w.request(vm, base, false)
	}
	if base != index {
		w.requestRepair(now)
	}
	if w.isDiverged() {
		return
	}
	if secondary != "" {
		w.request(secondary, index, true)
	}
	if vm, ok := w.entry.fleet.NeighbourAhead(index); ok && !w.receivingDelta(now) {
		w.request(vm, index, false)
	}
}

// base returns the index that the next delta of a control VM must be based on.
func (w *configWatcher) base() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.baseLocked()
}

// baseLocked must be called with the lock.
func (w *configWatcher) baseLocked() uint64 {
	if w.diverged || w.unverified {
		return 0
	}
	return w.entry.State().Index()
}

// request requests all changes after an index and acknowledges those up to it. The
// response to a brief request contains no large delta, and later changes are not pushed.
func (w *configWatcher) request(vm string, index uint64, brief bool) {
	e := w.entry
	to, part, elsewhere := w.nextPart(vm)
	brief = brief || elsewhere
	watch := &wire.Watch{
		To: to, Part: part, Brief: brief,
		Unpacks: true,
		Index:   index, Boot: e.boot, Addr: e.options.LinkAddr(e.listeners), DataCentre: e.options.DataCentre,
		Serving: !e.stopping.Load() && e.checkFresh() == nil, Leaving: e.stopping.Load(), Members: uint32(len(e.fleet.Members())),
	}
	e.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_Watch{Watch: watch}})
}

// nextPart returns the part of a large delta that a VM should send next. brief is set if
// another VM is already sending a large delta.
func (w *configWatcher) nextPart(vm string) (to uint64, part uint32, brief bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deltaSource != vm && w.entry.options.Clock.Now().Sub(w.lastPartAt) < sourceTimeout {
		return 0, 0, true
	}
	if assembler, ok := w.assemblers[vm]; ok {
		to, part, _ = assembler.NextPart()
	}
	return to, part, false
}

// receive processes a delta or a part of a large one.
func (w *configWatcher) receive(from string, d *wire.Delta) {
	w.recordControl(from, d)
	w.noteInitialAnswer(from)
	w.entry.freshness.relayLeaderBeacon(d.GetBeacon())
	w.mu.Lock()
	defer w.mu.Unlock()
	assembler, ok := w.assemblers[from]
	if !ok {
		assembler = &state.Assembler{}
		w.assemblers[from] = assembler
	}
	previous := w.entry.State()
	if d.GetTo() > previous.Index() && !w.verifiable(from, d) {
		w.refuse(from, d, refusedUnverified, "delta of another entry without a digest")
		return
	}
	if w.diverged && d.GetFrom() > 0 {
		return
	}
	base := previous
	if w.baseLocked() == 0 && d.GetFrom() == 0 {
		base = state.State{}
	}
	_, wantedBefore, _ := assembler.NextPart()
	next, changed, err := assembler.Add(base, d)
	if err == nil && d.GetMore() {
		w.deltaSource, w.lastPartAt = from, w.entry.options.Clock.Now()
	}
	if _, wantedAfter, _ := assembler.NextPart(); wantedAfter != wantedBefore && assembler.RequestDue(d) {
		go w.request(from, w.baseLocked(), false)
	}
	if errors.Is(err, state.ErrDigestMismatch) {
		w.refuse(from, d, refusedDigest, err.Error())
		if w.isControl(from) && d.GetFrom() > 0 {
			w.replaceState(from, err)
		}
		return
	}
	if err != nil {
		w.refuse(from, d, refusedInvalid, err.Error())
		return
	}
	if !changed || !w.replaces(previous, next, from) {
		return
	}
	w.lastPartAt, w.diverged = time.Time{}, false
	w.unverified = !w.isVerified(from, d)
	w.apply(next)
	w.entry.options.EventLog.Record(event.StateApplied, next.String(), describeDelta(from, d))
	if control := slices.Index(w.controls, from); control >= 0 {
		go w.request(from, next.Index(), control != w.current)
	}
}

func (w *configWatcher) isControl(vm string) bool { return slices.Contains(w.controls, vm) }

// refuse records that a delta was not applied.
func (w *configWatcher) refuse(from string, d *wire.Delta, reason, detail string) {
	w.refused.WithLabelValues(reason).Inc()
	w.entry.options.EventLog.Record(event.DeltaFailed, from, detail+": "+describeDelta(from, d))
}

// recordControl records the response of a control VM and switches to the leader.
func (w *configWatcher) recordControl(from string, d *wire.Delta) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateControls(d.GetControls())
	index := slices.Index(w.controls, from)
	if index < 0 || d.GetLeader() == "" {
		// A control VM without a leader may lag behind its group.
		return
	}
	now := w.entry.options.Clock.Now()
	if now.Sub(w.lastResponse) > controlTimeout {
		w.current = index
	}
	if index == w.current {
		w.lastResponse = now
	}
	if leader := slices.Index(w.controls, d.GetLeader()); leader >= 0 && leader != w.current {
		w.current = leader
		w.lastResponse = w.entry.options.Clock.Now()
		go w.request(d.GetLeader(), w.baseLocked(), false)
	}
	for _, p := range d.GetPeers() {
		if addr, err := netip.ParseAddrPort(p.GetAddr()); err == nil {
			w.entry.fleet.AddSeed(p.GetVm(), addr)
		}
	}
}

// updateControls adopts the current group of control VMs, which may differ from the
// configured one.
func (w *configWatcher) updateControls(controls []*wire.Peer) {
	var names []string
	for _, p := range controls {
		addr, err := netip.ParseAddrPort(p.GetAddr())
		if err != nil {
			continue
		}
		w.entry.link.SetPeer(p.GetVm(), addr)
		names = append(names, p.GetVm())
	}
	if len(names) == 0 || slices.Equal(names, w.controls) {
		return
	}
	current := ""
	if len(w.controls) > 0 {
		current = w.controls[w.current]
	}
	w.controls, w.current = names, max(0, slices.Index(names, current))
}

// apply replaces the configuration of this VM.
func (w *configWatcher) apply(next state.State) {
	previous := w.entry.config.Load()
	config := previous.WithState(next)
	updateRegistered(w.entry.fleet, previous.State, next)
	w.entry.config.Store(config)
	w.entry.freshness.confirmState(next, w.entry.options.Clock.Now())
	w.entry.proxy.ApplyConfig(config)
	w.entry.fleet.SetStateIndex(next.Index())
	go w.compareWithLeader()
}

// describeDelta describes the delta whose last part is d.
func describeDelta(from string, d *wire.Delta) string {
	return fmt.Sprintf("delta of %s from index %d to %d, with removals since %d", from, d.GetFrom(), d.GetTo(), d.GetRemovalsSince())
}

// serve responds to an entry that requests updates.
func (w *configWatcher) serve(from string, request *wire.Watch) {
	current := w.entry.State()
	if current.Index() <= request.GetIndex() || w.base() != current.Index() {
		return
	}
	parts, large, err := w.feed.Parts(current, request.GetIndex(), request.GetTo(), request.GetPart(), request.GetUnpacks(), w.entry.options.Clock.Now())
	if err != nil || large && request.GetBrief() {
		return
	}
	for _, part := range parts {
		w.entry.link.Send(from, &wire.Envelope{Body: &wire.Envelope_Delta{Delta: part}})
	}
}

// updateRegistered passes the changes of the registered backend servers to the fleet.
func updateRegistered(f *fleet.Fleet, previous, next state.State) {
	refs, known := next.ChangedSince(previous.Index())
	if !known || slices.ContainsFunc(refs, func(r state.Ref) bool { return r.Kind == state.KindPool }) {
		f.SetRegistered(registeredTargets(next))
		return
	}
	var changed []fleet.Target
	var removed []string
	for _, ref := range refs {
		if ref.Kind != state.KindTarget {
			continue
		}
		t, _ := state.Get[state.Target](next, ref.Name)
		if registered, ok := registeredTarget(next, t); ok {
			changed = append(changed, registered)
		} else {
			removed = append(removed, ref.Name)
		}
	}
	f.UpdateRegistered(changed, removed)
}

// registeredTargets returns the backend servers that are registered with the control VMs for pools
// that are configured. Anybody can announce a server for another pool, with any address.
func registeredTargets(s state.State) []fleet.Target {
	var list []fleet.Target
	for _, t := range state.List[state.Target](s) {
		if registered, ok := registeredTarget(s, t); ok {
			list = append(list, registered)
		}
	}
	return list
}

// registeredTarget returns a backend server as requests are sent to it. It reports false for one that
// is gone or whose pool is not configured.
func registeredTarget(s state.State, t state.Target) (fleet.Target, bool) {
	settings, configured := state.Get[state.Pool](s, t.Pool)
	if t.Phase == state.TargetGone || !configured {
		return fleet.Target{}, false
	}
	connections := t.Connections
	if connections == 0 {
		connections = settings.Connections
	}
	return fleet.Target{
		Name: t.Name, Pool: t.Pool, DataCentre: t.DataCentre, Addr: t.Addr, Slots: t.Slots,
		Connections: connections, Phase: fleet.Phase(t.Phase), Boot: t.Boot, Count: t.Count, Version: t.Version,
	}, true
}
