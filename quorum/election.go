package quorum

// campaign starts a pre-vote or a vote.
func (c *Node) campaign(role Role, transfer bool) {
	c.role = role
	c.leader = 0
	c.votes = map[ID]bool{c.id: true}
	c.resetTimeout()
	kind, term := PreVote, c.term+1
	if role == Candidate {
		c.term++
		c.vote = c.id
		kind, term = Vote, c.term
	}
	if c.wonVote() {
		return
	}
	for _, r := range c.group.replicas {
		if r.ID == c.id || r.Learner {
			continue
		}
		c.send(Message{
			Kind: kind, To: r.ID, Term: term, Transfer: transfer,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// handleVote answers a request for a vote or a pre-vote.
func (c *Node) handleVote(m Message) {
	answer := Message{Kind: VoteAnswer, To: m.From, Term: m.Term}
	free := c.vote == 0 || c.vote == m.From
	if m.Kind == PreVote {
		answer.Kind = PreVoteAnswer
		free = m.Term > c.term
	}
	if !free || !c.upToDate(m) || c.hearsLeader() && !m.Transfer {
		answer.Term = c.term
		answer.Reject = true
		c.send(answer)
		return
	}
	if m.Kind == Vote {
		c.vote = m.From
		c.resetTimeout()
	}
	c.send(answer)
}

// upToDate reports whether a candidate's log is at least as new as this one.
func (c *Node) upToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.last()
}

func (c *Node) handleVoteAnswer(m Message) {
	expected := VoteAnswer
	if c.role == PreCandidate {
		expected = PreVoteAnswer
	}
	campaigning := c.role == PreCandidate || c.role == Candidate
	if !campaigning || m.Kind != expected {
		return
	}
	if c.role == PreCandidate && !m.Reject && m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	c.wonVote()
}

// wonVote moves on if a majority agrees, and reports whether it did.
func (c *Node) wonVote() bool {
	granted := 0
	for id, yes := range c.votes {
		if yes && c.group.IsVoter(id) {
			granted++
		}
	}
	if granted < c.group.QuorumSize() {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
		return true
	}
	c.becomeLeader()
	return true
}

func (c *Node) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.led = true
	c.elapsed = 0
	c.votes = nil
	c.reads = nil
	c.progress = make(map[ID]*progress)
	c.syncProgress()
	c.appendOwn(Entry{Kind: NoopEntry})
	c.broadcast()
}

// syncProgress makes the progress match the group.
func (c *Node) syncProgress() {
	for _, r := range c.group.replicas {
		if r.ID == c.id || c.progress[r.ID] != nil {
			continue
		}
		c.progress[r.ID] = &progress{next: c.log.last() + 1, active: true}
	}
	for id := range c.progress {
		if _, ok := c.group.Get(id); !ok {
			delete(c.progress, id)
		}
	}
}
