package quorum

// campaign starts a pre-vote or an election, depending on role.
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = 0
	n.votes = map[ID]bool{n.id: true}
	n.resetTimeout()
	kind, term := PreVote, n.term+1
	if role == Candidate {
		n.term++
		n.vote = n.id
		kind, term = Vote, n.term
	}
	if n.tallyVotes() {
		return
	}
	for _, r := range n.group.replicas {
		if r.ID == n.id || r.Learner {
			continue
		}
		n.send(Message{
			Kind: kind, To: r.ID, Term: term, Transfer: transfer,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// handleVote answers a vote or pre-vote request.
func (n *Node) handleVote(m Message) {
	answer := Message{Kind: VoteAnswer, To: m.From, Term: m.Term}
	canGrant := n.vote == 0 || n.vote == m.From
	if m.Kind == PreVote {
		answer.Kind = PreVoteAnswer
		canGrant = m.Term > n.term
	}
	if !canGrant || !n.isUpToDate(m) || n.hasActiveLeader() && !m.Transfer {
		answer.Term = n.term
		answer.Reject = true
		n.send(answer)
		return
	}
	if m.Kind == Vote {
		n.vote = m.From
		n.resetTimeout()
	}
	n.send(answer)
}

// isUpToDate reports whether the candidate's log is at least as up-to-date as the
// local one.
func (n *Node) isUpToDate(m Message) bool {
	lastTerm := n.log.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= n.log.last()
}

func (n *Node) handleVoteAnswer(m Message) {
	expected := VoteAnswer
	if n.role == PreCandidate {
		expected = PreVoteAnswer
	}
	campaigning := n.role == PreCandidate || n.role == Candidate
	if !campaigning || m.Kind != expected {
		return
	}
	if n.role == PreCandidate && !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.tallyVotes()
}

// tallyVotes starts the election or becomes leader if a majority granted its vote,
// and reports whether it did.
func (n *Node) tallyVotes() bool {
	grants := 0
	for id, granted := range n.votes {
		if granted && n.group.IsVoter(id) {
			grants++
		}
	}
	if grants < n.group.QuorumSize() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return true
	}
	n.becomeLeader()
	return true
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.leaderSeen = true
	n.elapsedTicks = 0
	n.votes = nil
	n.pendingReads = nil
	n.agreedIndex = max(n.agreedIndex, n.commitIndex)
	n.progress = make(map[ID]*progress)
	n.syncProgress()
	n.appendEntry(Entry{Kind: NoopEntry})
	n.broadcast()
}

// syncProgress adds and removes progress entries to match the current group.
func (n *Node) syncProgress() {
	for _, r := range n.group.replicas {
		if r.ID == n.id || n.progress[r.ID] != nil {
			continue
		}
		next := n.log.last() + 1
		n.progress[r.ID] = &progress{nextIndex: next, firstSent: next, recentlyActive: true}
	}
	for id := range n.progress {
		if _, ok := n.group.Get(id); !ok {
			delete(n.progress, id)
		}
	}
}
