package quorum

import "slices"

// appendOwn appends an entry of this leader's term.
func (c *Node) appendOwn(e Entry) uint64 {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.put([]Entry{e})
	return e.Index
}

// put appends entries to the log and to the effects.
func (c *Node) put(entries []Entry) {
	first := entries[0].Index
	c.dropGroups(first)
	c.saved = min(c.saved, first-1)
	c.log.put(entries)
	for _, e := range entries {
		c.noteGroup(e)
	}
	pending := slices.IndexFunc(c.effects.Append, func(e Entry) bool { return e.Index >= first })
	if pending >= 0 {
		c.effects.Append = c.effects.Append[:pending]
	}
	c.effects.Append = append(c.effects.Append, entries...)
}

// broadcast sends every replica what it lacks, or a heartbeat.
func (c *Node) broadcast() {
	for _, r := range c.group.replicas {
		if p := c.progress[r.ID]; p != nil {
			p.inFlight = 0
			c.sendAppend(r.ID, p)
		}
	}
}

func (c *Node) sendAppend(to ID, p *progress) {
	if p.snapshot != 0 {
		c.sendHeartbeat(to, p.match)
		return
	}
	previous := p.next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(to, p)
		return
	}
	entries := slices.Clone(c.log.from(p.next, c.options.BatchBytes))
	c.send(Message{
		Kind: Append, To: to, Index: previous, LogTerm: term,
		Entries: entries, CommitIndex: c.commit, Round: c.round,
	})
	p.next += uint64(len(entries))
	p.inFlight++
}

// sendHeartbeat keeps a replica from campaigning while a snapshot is under way.
func (c *Node) sendHeartbeat(to ID, match uint64) {
	term, ok := c.log.term(match)
	if !ok {
		match, term = 0, 0
	}
	c.send(Message{Kind: Append, To: to, Index: match, LogTerm: term, CommitIndex: min(c.commit, match), Round: c.round})
}

func (c *Node) sendSnapshot(to ID, p *progress) {
	s := c.snapshot
	p.snapshot = s.Index
	c.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s, CommitIndex: c.commit, Round: c.round})
}

// handleAppend handles records or a heartbeat from the leader of this term.
func (c *Node) handleAppend(m Message) {
	c.follow(m.From)
	answer := Message{Kind: AppendAnswer, To: m.From, Round: m.Round}
	if m.Index < c.commit {
		answer.Index = c.commit
		c.send(answer)
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = min(c.log.last(), m.Index-1)
		c.send(answer)
		return
	}
	c.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.CommitIndex, last))
	answer.Index = last
	c.send(answer)
}

// follow accepts the sender as the leader of this term.
func (c *Node) follow(leader ID) {
	if c.role != Follower {
		c.becomeFollower(c.term, leader)
	}
	c.leader = leader
	c.elapsed = 0
	if !c.led {
		c.led = true
		c.resetTimeout()
	}
}

// merge appends the entries that the log does not hold yet.
func (c *Node) merge(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		c.put(entries[i:])
		return
	}
}

func (c *Node) commitTo(index uint64) {
	c.commit = max(c.commit, index)
}

// forgetGroups drops the groups that a snapshot at a committed index makes needless.
func (c *Node) forgetGroups(index uint64) {
	for len(c.older) > 1 && c.older[1].index <= index {
		c.older = c.older[1:]
	}
}

// handleSnapshot installs the leader's snapshot unless this log already has it.
func (c *Node) handleSnapshot(m Message) {
	c.follow(m.From)
	s := m.Snapshot
	answer := Message{Kind: AppendAnswer, To: m.From, Round: m.Round}
	if s == nil || s.Index <= c.commit {
		answer.Index = c.commit
		c.send(answer)
		return
	}
	c.log.reset(s.Index, s.Term)
	c.snapshot = *s
	c.commit, c.applied, c.saved = s.Index, s.Index, s.Index
	c.group, c.groupIndex, c.older = s.Group, s.Index, nil
	c.effects.Install = s
	c.effects.Append = nil
	answer.Index = s.Index
	c.send(answer)
}

// handleAppendAnswer learns how far a replica is.
func (c *Node) handleAppendAnswer(m Message) {
	p, ok := c.progress[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.active = true
	p.inFlight = max(0, p.inFlight-1)
	p.round = max(p.round, m.Round)
	c.confirmReads()
	if m.Reject {
		c.handleReject(m, p)
		return
	}
	if m.Index > c.log.last() {
		return
	}
	if p.snapshot != 0 && m.Index >= p.snapshot {
		p.snapshot = 0
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.last() && p.inFlight < maxInFlight {
		c.sendAppend(m.From, p)
	}
	if c.transfer == m.From && p.match == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: m.From})
	}
}

func (c *Node) handleReject(m Message, p *progress) {
	if m.Index <= p.match {
		return
	}
	p.next = max(p.match, min(m.Hint, m.Index-1)) + 1
	c.sendAppend(m.From, p)
}

// advanceCommit commits what a majority, and as many disks as the settings ask
// for, have synced, if it is of this term.
func (c *Node) advanceCommit() {
	var matches []uint64
	for _, r := range c.group.replicas {
		switch {
		case r.Learner:
		case r.ID == c.id:
			matches = append(matches, c.saved)
		default:
			matches = append(matches, c.progress[r.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	needed := max(c.group.QuorumSize(), min(c.options.MinSyncedVoters, len(matches)))
	index := matches[len(matches)-needed]
	term, ok := c.log.term(index)
	if index <= c.commit || !ok || term != c.term {
		return
	}
	c.commitTo(index)
	c.afterCommit()
}

// afterCommit spreads the new commit index and leaves if this replica was removed.
func (c *Node) afterCommit() {
	if _, member := c.group.Get(c.id); !member && c.groupIndex <= c.commit {
		c.broadcast()
		c.becomeFollower(c.term, 0)
		return
	}
	c.replicate()
}
