package quorum

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

var (
	scheduleCount = flag.Int("schedules", 3000, "number of random schedules")
	scheduleSeed  = flag.Uint64("seed", 1, "seed of the first schedule")
	scheduleSteps = flag.Int("steps", 600, "number of steps of each schedule")
)

// disk is what a replica has synced.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) save(e Effects) {
	if e.HardState != nil {
		d.hard = *e.HardState
	}
	if e.Install != nil {
		d.snapshot, d.entries = *e.Install, nil
	}
	for _, entry := range e.Append {
		keep := entry.Index - d.snapshot.Index - 1
		d.entries = append(d.entries[:keep:keep], entry)
	}
}

// host is one replica of a schedule.
type host struct {
	id      ID
	disk    disk
	core    *Node // nil while it is down
	applied uint64
	lost    bool // its disk is gone for good
	paused  bool
}

// world runs one random schedule and checks the promises after every step.
type world struct {
	random  *rand.Rand
	hosts   map[ID]*host
	network []Message
	cut     map[[2]ID]bool
	nextID  ID

	leaders   map[uint64]ID
	committed map[uint64]Entry
	highest   uint64
	proposals int
	token     uint64
	asked     map[uint64]uint64 // read token to the committed index when it was asked
	failure   string
	log       []string
	calm      bool // no more crashes
	restless  bool // the group changes often
	batch     int  // bytes of records in one message
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0)), hosts: make(map[ID]*host), cut: make(map[[2]ID]bool),
		leaders: make(map[uint64]ID), committed: make(map[uint64]Entry), asked: make(map[uint64]uint64),
	}
	size := []int{1, 3, 3, 4, 5}[w.random.IntN(5)]
	w.batch = []int{0, 1 << 20}[w.random.IntN(2)]
	w.restless = w.random.IntN(3) == 0
	var replicas []Replica
	for i := range size {
		replicas = append(replicas, Replica{ID: ID(i + 1), VM: fmt.Sprint("c", i+1)})
	}
	w.nextID = ID(size)
	for _, r := range replicas {
		w.hosts[r.ID] = &host{id: r.ID, disk: disk{snapshot: Snapshot{Group: NewGroup(replicas...)}}}
		w.start(w.hosts[r.ID])
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

func (w *world) start(h *host) {
	core, err := New(h.id, PersistedState{HardState: h.disk.hard, Snapshot: h.disk.snapshot, Entries: h.disk.entries},
		Random(w.random), ElectionTicks(4), BatchBytes(w.batch))
	if err != nil {
		w.fail("restart of %d: %s", h.id, err)
		return
	}
	h.core, h.paused = core, false
	h.applied = h.disk.snapshot.Index
}

// ids returns all replicas in order, so that a seed gives the same schedule.
func (w *world) ids() []ID {
	var list []ID
	for id := range w.hosts {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (w *world) pick() *host {
	ids := w.ids()
	return w.hosts[ids[w.random.IntN(len(ids))]]
}

// step does one random thing.
func (w *world) step() {
	switch n := w.random.IntN(100); {
	case n < 40:
		w.deliver()
	case n < 70:
		w.tick(w.pick())
	case n < 80:
		w.propose(w.pick())
	case n < 84:
		w.read(w.pick())
	case n < 87:
		w.crash(w.pick())
	case n < 92:
		w.restart(w.pick())
	case n < 94:
		w.toggleCut()
	case n < 95:
		w.compact(w.pick())
	case n < 96:
		h := w.pick()
		h.paused = !h.paused
	case n < 97:
		w.transfer(w.pick())
	default:
		w.changeGroup(w.pick())
	}
	if w.restless && w.random.IntN(4) == 0 {
		w.changeGroup(w.pick())
	}
}

func (w *world) up(h *host) bool { return h.core != nil && !h.paused }

// deliver takes a random message, so that messages are reordered, and
// sometimes loses or repeats it.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.random.IntN(len(w.network))
	m := w.network[i]
	if w.random.IntN(20) != 0 {
		w.network[i] = w.network[len(w.network)-1]
		w.network = w.network[:len(w.network)-1]
	}
	if w.random.IntN(20) == 0 || w.cut[[2]ID{m.From, m.To}] {
		return
	}
	h := w.hosts[m.To]
	if h == nil || !w.up(h) {
		return
	}
	h.core.Step(m)
	w.carryOut(h)
}

func (w *world) tick(h *host) {
	if w.up(h) {
		h.core.Tick()
		w.carryOut(h)
	}
}

func (w *world) propose(h *host) {
	if !w.up(h) {
		return
	}
	w.proposals++
	if _, _, err := h.core.Propose(fmt.Append(nil, w.proposals)); err == nil {
		w.carryOut(h)
	}
}

func (w *world) read(h *host) {
	if !w.up(h) {
		return
	}
	w.token++
	if h.core.ReadIndex(w.token) == nil {
		w.asked[w.token] = w.highest
		w.carryOut(h)
	}
}

func (w *world) crash(h *host) { h.core = nil }

func (w *world) restart(h *host) {
	if h.core == nil && !h.lost {
		w.start(h)
	}
}

func (w *world) toggleCut() {
	key := [2]ID{w.pick().id, w.pick().id}
	w.cut[key] = !w.cut[key]
	if w.random.IntN(3) == 0 {
		clear(w.cut)
	}
}

func (w *world) transfer(h *host) {
	if w.up(h) {
		h.core.TransferLeadership()
		w.carryOut(h)
	}
}

func (w *world) compact(h *host) {
	if !w.up(h) || h.applied == h.disk.snapshot.Index {
		return
	}
	s, err := h.core.Compact(fmt.Append(nil, h.applied), h.applied)
	if err != nil {
		w.fail("compact: %s", err)
		return
	}
	h.disk.entries = slices.Clone(h.disk.entries[s.Index-h.disk.snapshot.Index:])
	h.disk.snapshot = s
}

// changeGroup adds, promotes or removes one replica, and sometimes a disk is
// lost right after its replica has been removed from the group.
func (w *world) changeGroup(h *host) {
	if !w.up(h) || h.core.role != Leader {
		return
	}
	replicas := h.core.group.Replicas()
	target := replicas[w.random.IntN(len(replicas))]
	switch {
	case w.random.IntN(3) == 0 && len(replicas) < 6 && len(w.hosts) < 12:
		w.nextID++
		fresh := Replica{ID: w.nextID, VM: fmt.Sprint("c", w.nextID)}
		w.hosts[fresh.ID] = &host{id: fresh.ID}
		w.start(w.hosts[fresh.ID])
		h.core.AddLearner(fresh)
	case target.Learner:
		h.core.Promote(target.ID)
	case h.core.group.VoterCount() > 2:
		h.core.Remove(target.ID)
	}
	w.carryOut(h)
}

// carryOut does what a driver does, and sometimes crashes in between.
func (w *world) carryOut(h *host) {
	for {
		e := h.core.Effects()
		if e.Empty() {
			break
		}
		if !w.calm && w.random.IntN(300) == 0 {
			h.core = nil // before anything is synced
			return
		}
		h.disk.save(e)
		if !w.calm && w.random.IntN(300) == 0 {
			h.core = nil // after the sync, before anything is sent
			return
		}
		h.core.MarkPersisted(e)
		w.act(h, e)
	}
	w.checkLeader(h)
}

func (w *world) act(h *host, e Effects) {
	if e.Install != nil {
		h.applied = e.Install.Index
	}
	w.network = append(w.network, e.Send...)
	for _, entry := range e.Committed {
		w.apply(h, entry)
	}
	for _, r := range e.Reads {
		if r.Index < w.asked[r.Token] {
			w.fail("read %d at %d gave index %d, but %d was committed when it was asked", r.Token, h.id, r.Index, w.asked[r.Token])
		}
	}
}

// apply checks that all replicas apply the same entries in the same order.
func (w *world) apply(h *host, entry Entry) {
	if entry.Index != h.applied+1 {
		w.fail("replica %d applied %d after %d", h.id, entry.Index, h.applied)
	}
	h.applied = entry.Index
	first, known := w.committed[entry.Index]
	if !known {
		w.committed[entry.Index] = entry
		w.highest = max(w.highest, entry.Index)
		return
	}
	if first.Term != entry.Term || string(first.Data) != string(entry.Data) {
		w.fail("replica %d applied another entry %d: term %d, not %d", h.id, entry.Index, entry.Term, first.Term)
	}
}

// checkLeader checks election safety and leader completeness.
func (w *world) checkLeader(h *host) {
	if h.core == nil || h.core.role != Leader {
		return
	}
	if other, ok := w.leaders[h.core.term]; ok && other != h.id {
		w.fail("term %d has two leaders, %d and %d", h.core.term, other, h.id)
	}
	if _, ok := w.leaders[h.core.term]; ok {
		return
	}
	w.leaders[h.core.term] = h.id
	for index, entry := range w.committed {
		if entry.Term >= h.core.term {
			continue
		}
		term, ok := h.core.log.term(index)
		if index > h.core.log.last() || ok && term != entry.Term {
			w.fail("leader %d of term %d lacks committed entry %d of term %d", h.id, h.core.term, index, entry.Term)
		}
	}
}

// settle heals everything and expects the replicas to agree.
func (w *world) settle() {
	w.calm = true
	clear(w.cut)
	for _, id := range w.ids() {
		h := w.hosts[id]
		h.paused = false
		w.restart(h)
	}
	for range 400 {
		for _, id := range w.ids() {
			w.tick(w.hosts[id])
			w.restart(w.hosts[id])
		}
		pending := w.network
		w.network = nil
		for _, m := range pending {
			if h := w.hosts[m.To]; h != nil && w.up(h) {
				h.core.Step(m)
				w.carryOut(h)
			}
		}
	}
	w.expectProgress()
}

func (w *world) expectProgress() {
	for _, id := range w.ids() {
		h := w.hosts[id]
		if h.core == nil || h.core.role != Leader || !h.core.group.IsVoter(id) {
			continue
		}
		if h.core.commit >= w.highest {
			return
		}
	}
	for _, id := range w.ids() {
		h := w.hosts[id]
		if h.core != nil {
			w.log = append(w.log, fmt.Sprintf("%d: %s term %d leader %d last %d/%d commit %d base %d group %s",
				id, h.core.role, h.core.term, h.core.leader, h.core.log.last(), h.core.log.lastTerm(), h.core.commit, h.core.log.base, h.core.group))
		}
	}
	w.fail("no leader has everything (%d) committed after all faults healed:\n%s", w.highest, strings.Join(w.log, "\n"))
}

func TestSchedules(t *testing.T) {
	for seed := *scheduleSeed; seed < *scheduleSeed+uint64(*scheduleCount); seed++ {
		w := newWorld(seed)
		for range *scheduleSteps {
			w.step()
			if w.failure != "" {
				break
			}
		}
		if w.failure == "" {
			w.settle()
		}
		if w.failure != "" {
			t.Fatalf("seed %d: %s; replay with -run TestSchedules -schedules 1 -seed %d", seed, w.failure, seed)
		}
	}
}
