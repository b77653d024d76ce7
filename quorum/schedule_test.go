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
	scheduleSeed  = flag.Uint64("seed", 1, "random seed of the first schedule")
	scheduleSteps = flag.Int("steps", 600, "number of steps of each schedule")
)

// simDisk holds the synced state of a replica.
type simDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *simDisk) save(e Effects) {
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

// simReplica is a simulated replica.
type simReplica struct {
	id      ID
	disk    simDisk
	node    *Node // nil while the replica is down
	applied uint64
	lost    bool // its disk is lost permanently
	paused  bool
}

// simulation runs one random schedule of operations and faults on a group, and checks
// Raft's safety properties after every step.
type simulation struct {
	rng         *rand.Rand
	replicas    map[ID]*simReplica
	network     []Message
	partitioned map[[2]ID]bool
	nextID      ID

	leaders              map[uint64]ID
	committed            map[uint64]Entry
	highestCommitted     uint64
	proposals            int
	token                uint64
	minReadIndex         map[uint64]uint64 // read token to the highest committed index when it was requested
	failure              string
	finalStates          []string
	noCrashes            bool // no crashes while effects are processed
	frequentGroupChanges bool // attempt a membership change after a quarter of the steps
	batchBytes           int  // the BatchBytes option of all replicas
	minSynced            int  // the MinSyncedVoters option of all replicas
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), replicas: make(map[ID]*simReplica), partitioned: make(map[[2]ID]bool),
		leaders: make(map[uint64]ID), committed: make(map[uint64]Entry), minReadIndex: make(map[uint64]uint64),
	}
	size := []int{1, 3, 3, 4, 5}[s.rng.IntN(5)]
	s.batchBytes = []int{0, 1 << 20}[s.rng.IntN(2)]
	s.frequentGroupChanges = s.rng.IntN(3) == 0
	s.minSynced = []int{0, 2, 3}[rand.New(rand.NewPCG(seed, 1)).IntN(3)]
	var replicas []Replica
	for i := range size {
		replicas = append(replicas, Replica{ID: ID(i + 1), VM: fmt.Sprint("c", i+1)})
	}
	s.nextID = ID(size)
	for _, r := range replicas {
		s.replicas[r.ID] = &simReplica{id: r.ID, disk: simDisk{snapshot: Snapshot{Group: NewGroup(replicas...)}}}
		s.start(s.replicas[r.ID])
	}
	return s
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) start(r *simReplica) {
	node, err := New(r.id, PersistedState{HardState: r.disk.hard, Snapshot: r.disk.snapshot, Entries: r.disk.entries},
		Random(s.rng), ElectionTicks(4), BatchBytes(s.batchBytes), MinSyncedVoters(s.minSynced))
	if err != nil {
		s.fail("restart replica %d: %s", r.id, err)
		return
	}
	r.node, r.paused = node, false
	r.applied = r.disk.snapshot.Index
}

// ids returns the IDs of all replicas in order, so that a seed is reproducible.
func (s *simulation) ids() []ID {
	var list []ID
	for id := range s.replicas {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func (s *simulation) randomReplica() *simReplica {
	ids := s.ids()
	return s.replicas[ids[s.rng.IntN(len(ids))]]
}

// step performs one random operation or fault.
func (s *simulation) step() {
	switch n := s.rng.IntN(100); {
	case n < 40:
		s.deliver()
	case n < 70:
		s.tick(s.randomReplica())
	case n < 80:
		s.propose(s.randomReplica())
	case n < 84:
		s.read(s.randomReplica())
	case n < 87:
		s.crash(s.randomReplica())
	case n < 92:
		s.restart(s.randomReplica())
	case n < 94:
		s.togglePartition()
	case n < 95:
		s.compact(s.randomReplica())
	case n < 96:
		r := s.randomReplica()
		r.paused = !r.paused
	case n < 97:
		s.transfer(s.randomReplica())
	default:
		s.changeGroup(s.randomReplica())
	}
	if s.frequentGroupChanges && s.rng.IntN(4) == 0 {
		s.changeGroup(s.randomReplica())
	}
}

func (s *simulation) running(r *simReplica) bool { return r.node != nil && !r.paused }

// deliver delivers a random message, so that messages are reordered. Some are lost
// or delivered again later.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.rng.IntN(len(s.network))
	m := s.network[i]
	if s.rng.IntN(20) != 0 {
		s.network[i] = s.network[len(s.network)-1]
		s.network = s.network[:len(s.network)-1]
	}
	if s.rng.IntN(20) == 0 || s.partitioned[[2]ID{m.From, m.To}] {
		return
	}
	r := s.replicas[m.To]
	if r == nil || !s.running(r) {
		return
	}
	r.node.Step(m)
	s.processEffects(r)
}

func (s *simulation) tick(r *simReplica) {
	if s.running(r) {
		r.node.Tick()
		s.processEffects(r)
	}
}

func (s *simulation) propose(r *simReplica) {
	if !s.running(r) {
		return
	}
	s.proposals++
	if _, _, err := r.node.Propose(fmt.Append(nil, s.proposals)); err == nil {
		s.processEffects(r)
	}
}

func (s *simulation) read(r *simReplica) {
	if !s.running(r) {
		return
	}
	s.token++
	if r.node.ReadIndex(s.token) == nil {
		s.minReadIndex[s.token] = s.highestCommitted
		s.processEffects(r)
	}
}

func (s *simulation) crash(r *simReplica) { r.node = nil }

func (s *simulation) restart(r *simReplica) {
	if r.node == nil && !r.lost {
		s.start(r)
	}
}

func (s *simulation) togglePartition() {
	key := [2]ID{s.randomReplica().id, s.randomReplica().id}
	s.partitioned[key] = !s.partitioned[key]
	if s.rng.IntN(3) == 0 {
		clear(s.partitioned)
	}
}

func (s *simulation) transfer(r *simReplica) {
	if s.running(r) {
		r.node.TransferLeadership()
		s.processEffects(r)
	}
}

func (s *simulation) compact(r *simReplica) {
	if !s.running(r) || r.applied == r.disk.snapshot.Index {
		return
	}
	snapshot, err := r.node.Compact(fmt.Append(nil, r.applied), r.applied)
	if err != nil {
		s.fail("compact: %s", err)
		return
	}
	r.disk.entries = slices.Clone(r.disk.entries[snapshot.Index-r.disk.snapshot.Index:])
	r.disk.snapshot = snapshot
}

// changeGroup adds, promotes or removes one replica.
func (s *simulation) changeGroup(r *simReplica) {
	if !s.running(r) || r.node.role != Leader {
		return
	}
	replicas := r.node.group.Replicas()
	target := replicas[s.rng.IntN(len(replicas))]
	switch {
	case s.rng.IntN(3) == 0 && len(replicas) < 6 && len(s.replicas) < 12:
		s.nextID++
		fresh := Replica{ID: s.nextID, VM: fmt.Sprint("c", s.nextID)}
		s.replicas[fresh.ID] = &simReplica{id: fresh.ID}
		s.start(s.replicas[fresh.ID])
		r.node.AddLearner(fresh)
	case target.Learner:
		r.node.Promote(target.ID)
	case r.node.group.VoterCount() > 2:
		r.node.Remove(target.ID)
	}
	s.processEffects(r)
}

// processEffects carries out the effects as a caller of Node does, and sometimes
// crashes before or after the sync.
func (s *simulation) processEffects(r *simReplica) {
	for {
		e := r.node.Effects()
		if e.Empty() {
			break
		}
		if !s.noCrashes && s.rng.IntN(300) == 0 {
			r.node = nil // before anything is synced
			return
		}
		r.disk.save(e)
		if !s.noCrashes && s.rng.IntN(300) == 0 {
			r.node = nil // after the sync, before anything is sent
			return
		}
		r.node.MarkPersisted(e)
		s.finishEffects(r, e)
	}
	s.checkLeader(r)
}

func (s *simulation) finishEffects(r *simReplica, e Effects) {
	if e.Install != nil {
		r.applied = e.Install.Index
	}
	s.network = append(s.network, e.Send...)
	for _, entry := range e.Committed {
		s.apply(r, entry)
	}
	for _, read := range e.Reads {
		if read.Index < s.minReadIndex[read.Token] {
			s.fail("read %d on replica %d returned index %d, but %d was committed when it was requested", read.Token, r.id, read.Index, s.minReadIndex[read.Token])
		}
	}
}

// apply checks that all replicas apply the same entries in the same order.
func (s *simulation) apply(r *simReplica, entry Entry) {
	if entry.Index != r.applied+1 {
		s.fail("replica %d applied entry %d after entry %d", r.id, entry.Index, r.applied)
	}
	r.applied = entry.Index
	first, known := s.committed[entry.Index]
	if !known {
		s.committed[entry.Index] = entry
		s.highestCommitted = max(s.highestCommitted, entry.Index)
		return
	}
	if first.Term != entry.Term || string(first.Data) != string(entry.Data) {
		s.fail("replica %d applied a different entry %d: term %d, expected %d", r.id, entry.Index, entry.Term, first.Term)
	}
}

// checkLeader checks Raft's election safety and leader completeness.
func (s *simulation) checkLeader(r *simReplica) {
	if r.node == nil || r.node.role != Leader {
		return
	}
	if other, ok := s.leaders[r.node.term]; ok && other != r.id {
		s.fail("term %d has two leaders, %d and %d", r.node.term, other, r.id)
	}
	if _, ok := s.leaders[r.node.term]; ok {
		return
	}
	s.leaders[r.node.term] = r.id
	for index, entry := range s.committed {
		if entry.Term >= r.node.term {
			continue
		}
		term, ok := r.node.log.term(index)
		if index > r.node.log.last() || ok && term != entry.Term {
			s.fail("leader %d of term %d lacks committed entry %d of term %d", r.id, r.node.term, index, entry.Term)
		}
	}
}

// healAndSettle ends all faults and expects the group to make progress.
func (s *simulation) healAndSettle() {
	s.noCrashes = true
	clear(s.partitioned)
	for _, id := range s.ids() {
		r := s.replicas[id]
		r.paused = false
		s.restart(r)
	}
	s.settle(400)
	s.checkProgress()
}

// settle lets time pass without faults.
func (s *simulation) settle(ticks int) {
	for range ticks {
		for _, id := range s.ids() {
			s.tick(s.replicas[id])
			s.restart(s.replicas[id])
		}
		pending := s.network
		s.network = nil
		for _, m := range pending {
			if r := s.replicas[m.To]; r != nil && s.running(r) {
				r.node.Step(m)
				s.processEffects(r)
			}
		}
	}
}

func (s *simulation) checkProgress() {
	for _, id := range s.ids() {
		r := s.replicas[id]
		if r.node == nil || r.node.role != Leader || !r.node.group.IsVoter(id) {
			continue
		}
		if r.node.commitIndex >= s.highestCommitted {
			return
		}
	}
	for _, id := range s.ids() {
		r := s.replicas[id]
		if r.node != nil {
			s.finalStates = append(s.finalStates, fmt.Sprintf("%d: %s term %d leader %d last %d/%d commit %d base %d group %s",
				id, r.node.role, r.node.term, r.node.leader, r.node.log.last(), r.node.log.lastTerm(), r.node.commitIndex, r.node.log.baseIndex, r.node.group))
		}
	}
	s.fail("no leader has committed up to index %d after all faults ended:\n%s", s.highestCommitted, strings.Join(s.finalStates, "\n"))
}

func TestRandomFaultSchedules(t *testing.T) {
	for seed := *scheduleSeed; seed < *scheduleSeed+uint64(*scheduleCount); seed++ {
		s := newSimulation(seed)
		for range *scheduleSteps {
			s.step()
			if s.failure != "" {
				break
			}
		}
		if s.failure == "" {
			s.healAndSettle()
		}
		if s.failure != "" {
			t.Fatalf("seed %d: %s; replay with -run TestRandomFaultSchedules -schedules 1 -seed %d", seed, s.failure, seed)
		}
	}
}
