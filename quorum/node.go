package quorum

import (
	"slices"

	"github.com/go-faster/errors"
)

// Node is the Raft state machine of one replica. It is not safe for concurrent use.
type Node struct {
	id      ID
	options Options

	term   uint64
	vote   ID
	role   Role
	leader ID

	log         memoryLog
	snapshot    Snapshot
	commitIndex uint64
	// agreedIndex is the highest index that a majority was known to hold for good while this
	// replica led. Entries of data up to it may still wait for MinSyncedVoters.
	agreedIndex uint64
	// persisted is the index of the last entry synced to the local disk.
	persisted uint64

	// group is the newest group in the log, committed or not, and groupIndex the
	// index of its entry.
	group      Group
	groupIndex uint64
	// previousGroups holds the groups before the current one, oldest first. They are
	// restored when membership entries are overwritten, and kept in snapshots.
	previousGroups []groupVersion

	// elapsedTicks counts the ticks since the last heartbeat, vote or quorum check.
	elapsedTicks int
	timeoutTicks int
	// leaderSeen reports whether any leader has been known since the start.
	leaderSeen bool
	// progress is set on the leader only.
	progress map[ID]*progress
	votes    map[ID]bool
	// round numbers the messages that confirm reads, or begin to match a replica's log.
	round          uint64
	pendingReads   []pendingRead
	transferTarget ID

	effects       Effects
	prevHardState HardState
	lastApplied   uint64
}

// groupVersion is a group and the index of the entry that introduced it.
type groupVersion struct {
	index uint64
	group Group
}

// progress is the leader's view of another replica's log.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	// firstSent is the first entry that was sent since the log was matched last.
	firstSent      uint64
	recentlyActive bool
	// inFlight is the number of unanswered Append messages.
	inFlight int
	// probing is set while it is not known where the replica's log matches.
	probing bool
	// sinceRound is the round in which the last probe or snapshot was sent.
	sinceRound uint64
	// pendingSnapshot is the index of the snapshot being sent, 0 if none, and snapshotTicks the
	// number of ticks since it was sent.
	pendingSnapshot uint64
	snapshotTicks   int
	// ackedRound is the highest round that the replica has answered.
	ackedRound uint64
}

// pendingRead is a read that waits for a quorum to answer its round.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// New returns a follower that continues from the given persisted state.
func New(id ID, restored PersistedState, opts ...Option) (*Node, error) {
	n := &Node{
		id:            id,
		options:       newOptions(id, opts...),
		role:          Follower,
		term:          restored.HardState.Term,
		vote:          restored.HardState.Vote,
		prevHardState: restored.HardState,
		snapshot:      restored.Snapshot,
		commitIndex:   restored.Snapshot.Index,
		lastApplied:   restored.Snapshot.Index,
		group:         restored.Snapshot.Group,
	}
	n.groupIndex = restored.Snapshot.Index
	n.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	for i, e := range restored.Entries {
		if e.Index != n.log.last()+1 {
			return nil, errors.Errorf("restored entry %d has index %d, expected %d", i, e.Index, n.log.last()+1)
		}
		n.log.truncateAndAppend([]Entry{e})
		n.adoptGroup(e)
	}
	n.persisted = n.log.last()
	n.resetTimeout()
	return n, nil
}

// Status returns a snapshot of the replica's state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader,
		LastIndex: n.log.last(), CommitIndex: n.commitIndex, AgreedIndex: max(n.agreedIndex, n.commitIndex), Group: n.group,
	}
	if n.role == Leader {
		s.Match = map[ID]uint64{n.id: n.persisted}
		for id, p := range n.progress {
			s.Match[id] = p.matchIndex
		}
	}
	return s
}

// Effects returns the work accumulated since the last call and clears it.
func (n *Node) Effects() Effects {
	e := n.effects
	n.effects = Effects{}
	if hard := (HardState{n.term, n.vote}); hard != n.prevHardState {
		e.HardState = &hard
		n.prevHardState = hard
	}
	if n.commitIndex > n.lastApplied {
		first := max(n.lastApplied, n.log.baseIndex) + 1
		e.Committed = slices.Clone(n.log.slice(first, n.commitIndex))
		n.lastApplied = n.commitIndex
	}
	return e
}

// MarkPersisted reports that the writes requested by e are synced to disk.
func (n *Node) MarkPersisted(e Effects) {
	if e.Install != nil {
		n.persisted = max(n.persisted, e.Install.Index)
	}
	if count := len(e.Append); count > 0 {
		last := e.Append[count-1]
		if term, ok := n.log.term(last.Index); ok && term == last.Term {
			n.persisted = max(n.persisted, last.Index)
		}
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact makes data, the applied state at index, the current snapshot and drops
// the log before it. The last trailingEntries are kept, so that slow replicas can
// catch up without a snapshot.
func (n *Node) Compact(data []byte, index uint64) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.lastApplied {
		return Snapshot{}, errors.Errorf("cannot compact log at index %d: entry already compacted or not yet applied", index)
	}
	n.snapshot = Snapshot{Index: index, Term: term, Group: n.groupAtIndex(index), Data: data}
	n.pruneGroups(index)
	if index > trailingEntries {
		n.log.compact(max(n.log.baseIndex, index-trailingEntries))
	}
	return n.snapshot, nil
}

// EntriesAfter returns the persisted entries after an index, to be copied to a new
// log file.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return slices.Clone(n.log.slice(max(index, n.log.baseIndex)+1, min(n.persisted, n.log.last())))
}

// ProposedAfter returns all entries after an index, also those that are not persisted yet.
func (n *Node) ProposedAfter(index uint64) []Entry {
	return slices.Clone(n.log.slice(max(index, n.log.baseIndex)+1, n.log.last()))
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.elapsedTicks++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks < n.timeoutTicks || !n.group.IsVoter(n.id) {
		return
	}
	n.campaign(PreCandidate, false)
}

func (n *Node) tickLeader() {
	for _, p := range n.progress {
		p.snapshotTicks++
	}
	n.broadcast()
	if n.elapsedTicks < n.options.ElectionTicks {
		return
	}
	n.elapsedTicks = 0
	n.transferTarget = 0
	if !n.quorumActive() {
		n.becomeFollower(n.term, 0)
	}
}

// quorumActive reports whether a majority of the voters answered since the last
// call, and resets the activity of all replicas.
func (n *Node) quorumActive() bool {
	activeVoters := 0
	if n.group.IsVoter(n.id) {
		activeVoters++
	}
	for id, p := range n.progress {
		if p.recentlyActive && n.group.IsVoter(id) {
			activeVoters++
		}
		p.recentlyActive = false
	}
	return activeVoters >= n.group.QuorumSize()
}

// Step processes a message from another replica.
func (n *Node) Step(m Message) {
	if m.To != n.id {
		return
	}
	if m.Term > n.term && !n.handleHigherTerm(m) {
		return
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVote(m)
	case PreVoteAnswer, VoteAnswer:
		n.handleVoteAnswer(m)
	case Append:
		n.handleAppend(m)
	case InstallSnapshot:
		n.handleSnapshot(m)
	case AppendAnswer:
		n.handleAppendAnswer(m)
	case TimeoutNow:
		if n.group.IsVoter(n.id) {
			n.campaign(Candidate, true)
		}
	}
}

// handleHigherTerm adopts the term of a message from a higher term where required,
// and reports whether the message is to be processed further. Vote requests are
// ignored while there is an active leader, except in a leadership transfer, so that
// a replica that lost contact cannot disrupt it.
func (n *Node) handleHigherTerm(m Message) bool {
	isVoteRequest := m.Kind == Vote || m.Kind == PreVote
	if isVoteRequest && !m.Transfer && n.hasActiveLeader() {
		return false
	}
	if m.Kind == PreVote || m.Kind == PreVoteAnswer && !m.Reject {
		return true
	}
	leader := ID(0)
	if m.Kind == Append || m.Kind == InstallSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hasActiveLeader reports whether the leader was heard from within the minimum
// election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.leader != 0 && n.elapsedTicks < n.options.ElectionTicks
}

// rejectStaleTerm informs the sender of a message from an old term about the
// current one.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case Append, InstallSnapshot:
		n.send(Message{Kind: AppendAnswer, To: m.From, Reject: true, Hint: n.log.last()})
	case PreVote:
		n.send(Message{Kind: PreVoteAnswer, To: m.From, Reject: true})
	}
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	n.effects.Send = append(n.effects.Send, m)
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	n.role = Follower
	n.leader = leader
	n.leaderSeen = n.leaderSeen || leader != 0
	n.progress = nil
	n.votes = nil
	n.pendingReads = nil
	n.transferTarget = 0
	n.resetTimeout()
}

// resetTimeout picks a random election timeout. It is shorter until a first leader is
// known: after a start of the whole group there is none, and the other replicas may
// start a little later. An existing leader is not disturbed, because the replicas that
// hear it grant no pre-vote.
func (n *Node) resetTimeout() {
	n.elapsedTicks = 0
	if !n.leaderSeen {
		n.timeoutTicks = initialElectionTicks + n.options.Random.IntN(max(1, n.options.ElectionTicks/2))
		return
	}
	n.timeoutTicks = n.options.ElectionTicks + n.options.Random.IntN(n.options.ElectionTicks)
}

// adoptGroup makes the group of a membership entry the current one. As in Raft, it
// is in force once appended, before it is committed.
func (n *Node) adoptGroup(e Entry) {
	if e.Kind != MembershipEntry {
		return
	}
	n.previousGroups = append(n.previousGroups, groupVersion{n.groupIndex, n.group})
	n.group, n.groupIndex = e.Group, e.Index
}

// revertGroups restores the group that was in force before the entry at index.
func (n *Node) revertGroups(index uint64) {
	for n.groupIndex >= index && len(n.previousGroups) > 0 {
		last := n.previousGroups[len(n.previousGroups)-1]
		n.previousGroups = n.previousGroups[:len(n.previousGroups)-1]
		n.group, n.groupIndex = last.group, last.index
	}
}

// groupAtIndex returns the group in force at a committed index.
func (n *Node) groupAtIndex(index uint64) Group {
	if n.groupIndex <= index {
		return n.group
	}
	for _, version := range slices.Backward(n.previousGroups) {
		if version.index <= index {
			return version.group
		}
	}
	return n.snapshot.Group
}
