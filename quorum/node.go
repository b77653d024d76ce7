package quorum

import (
	"slices"

	"github.com/go-faster/errors"
)

// Node is one replica's part of the algorithm. Its methods must not be called
// concurrently.
type Node struct {
	id      ID
	options Options

	term   uint64
	vote   ID
	role   Role
	leader ID

	log      memoryLog
	snapshot Snapshot
	commit   uint64
	saved    uint64

	group      Group
	groupIndex uint64
	// older holds the groups before the current one that are not committed yet.
	older []groupAt

	elapsed int
	timeout int
	// led says that a leader has been known since the start.
	led      bool
	progress map[ID]*progress
	votes    map[ID]bool
	round    uint64
	reads    []pendingRead
	transfer ID

	effects  Effects
	lastHard HardState
	applied  uint64
}

// groupAt is a group and the index of the entry that made it.
type groupAt struct {
	index uint64
	group Group
}

// progress is what the leader knows of another replica.
type progress struct {
	match    uint64
	next     uint64
	active   bool
	inFlight int
	// snapshot is the index of a snapshot on its way, 0 if none.
	snapshot uint64
	round    uint64
}

// pendingRead waits until a round is confirmed by a quorum.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// New returns a replica with what it had on its disk.
func New(id ID, restored PersistedState, opts ...Option) (*Node, error) {
	c := &Node{
		id:       id,
		options:  newOptions(id, opts...),
		role:     Follower,
		term:     restored.HardState.Term,
		vote:     restored.HardState.Vote,
		lastHard: restored.HardState,
		snapshot: restored.Snapshot,
		commit:   restored.Snapshot.Index,
		applied:  restored.Snapshot.Index,
		group:    restored.Snapshot.Group,
	}
	c.groupIndex = restored.Snapshot.Index
	c.log.reset(restored.Snapshot.Index, restored.Snapshot.Term)
	for i, e := range restored.Entries {
		if e.Index != c.log.last()+1 {
			return nil, errors.Errorf("restored record %d has index %d, expected %d", i, e.Index, c.log.last()+1)
		}
		c.log.put([]Entry{e})
		c.noteGroup(e)
	}
	c.saved = c.log.last()
	c.resetTimeout()
	return c, nil
}

// Status describes the replica.
func (c *Node) Status() Status {
	s := Status{
		ID: c.id, Role: c.role, Term: c.term, Leader: c.leader,
		LastIndex: c.log.last(), CommitIndex: c.commit, Group: c.group,
	}
	if c.role == Leader {
		s.Match = map[ID]uint64{c.id: c.saved}
		for id, p := range c.progress {
			s.Match[id] = p.match
		}
	}
	return s
}

// Effects returns what is to be done since the last call.
func (c *Node) Effects() Effects {
	e := c.effects
	c.effects = Effects{}
	if hard := (HardState{c.term, c.vote}); hard != c.lastHard {
		e.HardState = &hard
		c.lastHard = hard
	}
	if c.commit > c.applied {
		first := max(c.applied, c.log.base) + 1
		e.Committed = slices.Clone(c.log.slice(first, c.commit))
		c.applied = c.commit
	}
	return e
}

// MarkPersisted tells the core that the writes of these effects are synced.
func (c *Node) MarkPersisted(e Effects) {
	if e.Install != nil {
		c.saved = max(c.saved, e.Install.Index)
	}
	if n := len(e.Append); n > 0 {
		last := e.Append[n-1]
		if term, ok := c.log.term(last.Index); ok && term == last.Term {
			c.saved = max(c.saved, last.Index)
		}
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact forgets the log up to a snapshot, save for some records that slow
// replicas may still need.
func (c *Node) Compact(data []byte, index uint64) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied {
		return Snapshot{}, errors.Errorf("cannot compact at record %d", index)
	}
	c.snapshot = Snapshot{Index: index, Term: term, Group: c.groupAtIndex(index), Data: data}
	c.forgetGroups(index)
	if index > keepBehindSnapshot {
		c.log.compact(max(c.log.base, index-keepBehindSnapshot))
	}
	return c.snapshot, nil
}

// EntriesAfter returns the records after an index, for a fresh log file.
func (c *Node) EntriesAfter(index uint64) []Entry {
	return slices.Clone(c.log.slice(max(index, c.log.base)+1, min(c.saved, c.log.last())))
}

// Tick advances the replica's time by one unit.
func (c *Node) Tick() {
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed < c.timeout || !c.group.IsVoter(c.id) {
		return
	}
	c.campaign(PreCandidate, false)
}

func (c *Node) tickLeader() {
	c.broadcast()
	if c.elapsed < c.options.ElectionTicks {
		return
	}
	c.elapsed = 0
	c.transfer = 0
	if !c.quorumActive() {
		c.becomeFollower(c.term, 0)
	}
}

// quorumActive reports whether a majority was heard since the last call.
func (c *Node) quorumActive() bool {
	heard := 0
	if c.group.IsVoter(c.id) {
		heard++
	}
	for id, p := range c.progress {
		if p.active && c.group.IsVoter(id) {
			heard++
		}
		p.active = false
		// A lost snapshot is sent again.
		p.snapshot = 0
	}
	return heard >= c.group.QuorumSize()
}

// Step handles a message.
func (c *Node) Step(m Message) {
	if m.To != c.id {
		return
	}
	if m.Term > c.term && !c.acceptsTerm(m) {
		return
	}
	if m.Term < c.term {
		c.answerOldTerm(m)
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		c.handleVote(m)
	case PreVoteAnswer, VoteAnswer:
		c.handleVoteAnswer(m)
	case Append:
		c.handleAppend(m)
	case InstallSnapshot:
		c.handleSnapshot(m)
	case AppendAnswer:
		c.handleAppendAnswer(m)
	case TimeoutNow:
		if c.group.IsVoter(c.id) {
			c.campaign(Candidate, true)
		}
	}
}

// acceptsTerm handles a message of a higher term and reports whether to go on.
func (c *Node) acceptsTerm(m Message) bool {
	asksVote := m.Kind == Vote || m.Kind == PreVote
	if asksVote && !m.Transfer && c.hearsLeader() {
		return false
	}
	if m.Kind == PreVote || m.Kind == PreVoteAnswer && !m.Reject {
		return true
	}
	leader := ID(0)
	if m.Kind == Append || m.Kind == InstallSnapshot {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader reports whether the replica has a leader and heard it recently.
func (c *Node) hearsLeader() bool {
	return c.leader != 0 && c.elapsed < c.options.ElectionTicks
}

// answerOldTerm tells the sender of an old term that there is a newer one.
func (c *Node) answerOldTerm(m Message) {
	switch m.Kind {
	case Append, InstallSnapshot:
		c.send(Message{Kind: AppendAnswer, To: m.From, Reject: true, Hint: c.log.last()})
	case PreVote:
		c.send(Message{Kind: PreVoteAnswer, To: m.From, Reject: true})
	}
}

func (c *Node) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.effects.Send = append(c.effects.Send, m)
}

func (c *Node) becomeFollower(term uint64, leader ID) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.led = c.led || leader != 0
	c.progress = nil
	c.votes = nil
	c.reads = nil
	c.transfer = 0
	c.resetTimeout()
}

// resetTimeout draws the time until the next election. After a start there may be no
// leader at all, and the others may start a little later: elections are tried often
// until one is known. Where there is one, the others hear it and grant no pre-vote.
func (c *Node) resetTimeout() {
	c.elapsed = 0
	if !c.led {
		c.timeout = firstTicks + c.options.Random.IntN(max(1, c.options.ElectionTicks/2))
		return
	}
	c.timeout = c.options.ElectionTicks + c.options.Random.IntN(c.options.ElectionTicks)
}

// noteGroup makes the group of a member entry the current one.
func (c *Node) noteGroup(e Entry) {
	if e.Kind != MembershipEntry {
		return
	}
	c.older = append(c.older, groupAt{c.groupIndex, c.group})
	c.group, c.groupIndex = e.Group, e.Index
}

// dropGroups undoes the groups of entries from an index on.
func (c *Node) dropGroups(index uint64) {
	for c.groupIndex >= index && len(c.older) > 0 {
		last := c.older[len(c.older)-1]
		c.older = c.older[:len(c.older)-1]
		c.group, c.groupIndex = last.group, last.index
	}
}

// groupAtIndex returns the group as of a committed index.
func (c *Node) groupAtIndex(index uint64) Group {
	if c.groupIndex <= index {
		return c.group
	}
	for _, at := range slices.Backward(c.older) {
		if at.index <= index {
			return at.group
		}
	}
	return c.snapshot.Group
}
