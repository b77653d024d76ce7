package quorum

import "slices"

// appendEntry appends an entry in the leader's current term and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.appendEntries([]Entry{e})
	return e.Index
}

// appendEntries appends entries to the log and to the effects, replacing existing
// entries from the first index on.
func (n *Node) appendEntries(entries []Entry) {
	first := entries[0].Index
	n.revertGroups(first)
	n.persisted = min(n.persisted, first-1)
	n.log.truncateAndAppend(entries)
	for _, e := range entries {
		n.adoptGroup(e)
	}
	overwritten := slices.IndexFunc(n.effects.Append, func(e Entry) bool { return e.Index >= first })
	if overwritten >= 0 {
		n.effects.Append = n.effects.Append[:overwritten]
	}
	n.effects.Append = append(n.effects.Append, entries...)
}

// broadcast sends all other replicas their missing entries, or a heartbeat.
func (n *Node) broadcast() {
	for _, r := range n.group.replicas {
		if p := n.progress[r.ID]; p != nil {
			p.inFlight = 0
			n.sendAppend(r.ID, p)
		}
	}
}

// sendAppend sends a replica the entries that it is not known to have been sent, or none while its
// log is being matched or its window is full.
func (n *Node) sendAppend(to ID, p *progress) {
	if p.pendingSnapshot != 0 {
		n.sendHeartbeat(to, p.matchIndex)
		return
	}
	previous := p.nextIndex - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.sendSnapshot(to, p)
		return
	}
	var entries []Entry
	if n.hasRoom(p) {
		entries = slices.Clone(n.log.entriesFrom(p.nextIndex, n.options.BatchBytes))
	}
	n.send(Message{
		Kind: Append, To: to, Index: previous, LogTerm: term,
		Entries: entries, CommitIndex: n.commitIndex, Round: n.round,
	})
	p.nextIndex += uint64(len(entries))
	p.inFlight++
}

// hasRoom reports whether entries may be sent to a replica: its log matches, as far as is known, up
// to nextIndex, and the data of the unanswered entries leaves room in the window.
func (n *Node) hasRoom(p *progress) bool {
	if p.probing {
		return false
	}
	first := max(p.matchIndex+1, p.firstSent, n.log.baseIndex+1)
	if first >= p.nextIndex {
		return true
	}
	size := 0
	for _, e := range n.log.slice(first, p.nextIndex-1) {
		size += len(e.Data)
		if size >= maxInFlightBatches*n.options.BatchBytes {
			return false
		}
	}
	return true
}

// startRound begins a new round of answers: a reject of an earlier one tells nothing new, since its
// message was sent before the leader changed what it sends.
func (n *Node) startRound(p *progress) {
	n.round++
	p.sinceRound = n.round
}

// sendHeartbeat keeps a replica from campaigning while a snapshot is being sent.
func (n *Node) sendHeartbeat(to ID, match uint64) {
	term, ok := n.log.term(match)
	if !ok {
		match, term = 0, 0
	}
	n.send(Message{Kind: Append, To: to, Index: match, LogTerm: term, CommitIndex: min(n.commitIndex, match), Round: n.round})
}

func (n *Node) sendSnapshot(to ID, p *progress) {
	s := n.snapshot
	p.pendingSnapshot, p.snapshotTicks = s.Index, 0
	n.startRound(p)
	n.send(Message{Kind: InstallSnapshot, To: to, Snapshot: &s, CommitIndex: n.commitIndex, Round: n.round})
}

// handleAppend processes entries or a heartbeat from the leader of the current term.
func (n *Node) handleAppend(m Message) {
	n.followLeader(m.From)
	answer := Message{Kind: AppendAnswer, To: m.From, Round: m.Round}
	if m.Index < n.commitIndex {
		answer.Index = n.commitIndex
		n.send(answer)
		return
	}
	term, ok := n.log.term(m.Index)
	if !ok || term != m.LogTerm {
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint = min(n.log.last(), m.Index-1)
		n.send(answer)
		return
	}
	n.appendMissing(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.CommitIndex, last))
	answer.Index = last
	n.send(answer)
}

// followLeader accepts leader as the leader of the current term and restarts the
// election timeout.
func (n *Node) followLeader(leader ID) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.elapsedTicks = 0
	if !n.leaderSeen {
		n.leaderSeen = true
		n.resetTimeout()
	}
}

// appendMissing appends entries from the first one on that the log lacks or holds
// with another term.
func (n *Node) appendMissing(entries []Entry) {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		n.appendEntries(entries[i:])
		return
	}
}

func (n *Node) commitTo(index uint64) {
	n.commitIndex = max(n.commitIndex, index)
}

// pruneGroups drops the groups that were superseded before a committed index.
func (n *Node) pruneGroups(index uint64) {
	for len(n.previousGroups) > 1 && n.previousGroups[1].index <= index {
		n.previousGroups = n.previousGroups[1:]
	}
}

// handleSnapshot installs the leader's snapshot unless its entries are in the log here. The
// entries after them may have been acknowledged.
func (n *Node) handleSnapshot(m Message) {
	n.followLeader(m.From)
	s := m.Snapshot
	answer := Message{Kind: AppendAnswer, To: m.From, Round: m.Round}
	if s == nil || s.Index <= n.commitIndex {
		answer.Index = n.commitIndex
		n.send(answer)
		return
	}
	if term, ok := n.log.term(s.Index); ok && term == s.Term {
		n.commitTo(s.Index)
		answer.Index = s.Index
		n.send(answer)
		return
	}
	n.log.reset(s.Index, s.Term)
	n.snapshot = *s
	n.commitIndex, n.lastApplied, n.persisted = s.Index, s.Index, s.Index
	n.group, n.groupIndex, n.previousGroups = s.Group, s.Index, nil
	n.effects.Install = s
	n.effects.Append = nil
	answer.Index = s.Index
	n.send(answer)
}

// handleAppendAnswer updates a replica's progress.
func (n *Node) handleAppendAnswer(m Message) {
	p, ok := n.progress[m.From]
	if n.role != Leader || !ok {
		return
	}
	p.recentlyActive = true
	p.inFlight = max(0, p.inFlight-1)
	p.ackedRound = max(p.ackedRound, m.Round)
	n.confirmReads()
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	n.updateSnapshot(m, p)
	if m.Round >= p.sinceRound {
		p.probing = false
	}
	p.matchIndex = max(p.matchIndex, m.Index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	n.advanceCommit()
	if p.pendingSnapshot == 0 && p.nextIndex <= n.log.last() && p.inFlight < maxInFlightAppends && n.hasRoom(p) {
		n.sendAppend(m.From, p)
	}
	if n.transferTarget == m.From && p.matchIndex == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: m.From})
	}
}

// updateSnapshot ends the wait for a snapshot that was installed, or that was lost: the replica has
// answered a later message without it.
func (n *Node) updateSnapshot(m Message, p *progress) {
	lost := m.Round >= p.sinceRound && p.snapshotTicks >= n.options.ElectionTicks
	if m.Index >= p.pendingSnapshot || lost {
		p.pendingSnapshot = 0
	}
}

// handleReject looks for the last entry that the replica's log has in common, without sending it
// any. Messages that were sent meanwhile are rejected as well, and must not each cause a resend.
func (n *Node) handleReject(m Message, p *progress) {
	if m.Index <= p.matchIndex || m.Round < p.sinceRound {
		return
	}
	p.nextIndex = max(p.matchIndex, min(m.Hint, m.Index-1)) + 1
	p.firstSent = p.nextIndex
	p.probing = true
	n.startRound(p)
	n.sendAppend(m.From, p)
}

// advanceCommit commits the entries that a majority of the voters, and with data at least
// MinSyncedVoters of them, have synced. Entries of earlier terms are committed only
// together with one of the current term (Raft, section 5.4.2).
func (n *Node) advanceCommit() {
	var voters, members []uint64
	for _, r := range n.group.replicas {
		match := n.persisted
		if r.ID != n.id {
			match = n.progress[r.ID].matchIndex
		}
		members = append(members, match)
		if !r.Learner {
			voters = append(voters, match)
		}
	}
	if len(voters) == 0 {
		return
	}
	majority := heldBy(n.group.QuorumSize(), voters)
	if term, ok := n.log.term(majority); ok && term == n.term {
		n.agreedIndex = max(n.agreedIndex, majority)
	}
	// While a voter is replaced, the learner's disk makes up for the one that is missing.
	synced := min(majority, heldBy(n.options.MinSyncedVoters, voters), heldBy(n.options.MinSyncedVoters, members))
	index := n.extendWithoutData(synced, majority)
	term, ok := n.log.term(index)
	if index <= n.commitIndex || !ok || term != n.term {
		return
	}
	n.commitTo(index)
	n.commitAdvanced()
}

// heldBy returns the highest index that count replicas hold, or all if there are fewer.
func heldBy(count int, matches []uint64) uint64 {
	slices.Sort(matches)
	return matches[len(matches)-max(1, min(count, len(matches)))]
}

// extendWithoutData returns the highest index up to last that follows index without an entry of
// data between. MinSyncedVoters protects what was acknowledged; changes of the group need a
// majority only, so that a lost replica can be replaced.
func (n *Node) extendWithoutData(index, last uint64) uint64 {
	index = max(index, n.commitIndex)
	for _, entry := range n.log.slice(index+1, last) {
		if entry.Kind == DataEntry {
			break
		}
		index = entry.Index
	}
	return index
}

// commitAdvanced sends the new commit index to the other replicas. A leader whose
// own removal is committed steps down.
func (n *Node) commitAdvanced() {
	if _, member := n.group.Get(n.id); !member && n.groupIndex <= n.commitIndex {
		n.broadcast()
		n.becomeFollower(n.term, 0)
		return
	}
	n.replicate()
}
