package quorum

import "slices"

// Propose appends data to the log and returns its index. It is accepted once
// an entry of that index and the current term is committed.
func (c *Node) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.appendOwn(Entry{Kind: DataEntry, Data: data})
	c.replicate()
	return index, c.term, nil
}

// replicate sends the newest records to the replicas that wait for them.
func (c *Node) replicate() {
	for _, r := range c.group.replicas {
		p := c.progress[r.ID]
		if p != nil && p.inFlight < maxInFlight {
			c.sendAppend(r.ID, p)
		}
	}
}

// ReadIndex asks for a confirmed read. Its result comes in Effects.Reads with the
// same token, or never if this replica is no longer the leader.
func (c *Node) ReadIndex(token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if term, ok := c.log.term(c.commit); !ok || term != c.term {
		return ErrNotReady
	}
	c.round++
	c.reads = append(c.reads, pendingRead{token: token, index: c.commit, round: c.round})
	c.confirmReads()
	if len(c.reads) > 0 {
		c.broadcast()
	}
	return nil
}

// confirmReads releases the reads whose round a majority has answered.
func (c *Node) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	confirmed := c.confirmedRound()
	done := 0
	for _, r := range c.reads {
		if r.round > confirmed {
			break
		}
		c.effects.Reads = append(c.effects.Reads, ConfirmedRead{Token: r.token, Index: r.index, Term: c.term})
		done++
	}
	c.reads = c.reads[done:]
}

// confirmedRound returns the highest round that a majority has answered.
func (c *Node) confirmedRound() uint64 {
	var rounds []uint64
	for _, r := range c.group.replicas {
		switch {
		case r.Learner:
		case r.ID == c.id:
			rounds = append(rounds, c.round)
		default:
			rounds = append(rounds, c.progress[r.ID].round)
		}
	}
	if len(rounds) == 0 {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-c.group.QuorumSize()]
}

// AddLearner adds a replica without a vote.
func (c *Node) AddLearner(r Replica) (uint64, error) {
	if _, known := c.group.Get(r.ID); known {
		return 0, ErrReplicaExists
	}
	r.Learner = true
	return c.changeGroup(c.group.With(r))
}

// Promote gives a learner its vote once it has caught up.
func (c *Node) Promote(id ID) (uint64, error) {
	r, known := c.group.Get(id)
	if !known {
		return 0, ErrUnknownReplica
	}
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if !r.Learner {
		return c.groupIndex, nil
	}
	if p := c.progress[id]; p == nil || p.match < c.commit || !p.active {
		return 0, ErrNotCaughtUp
	}
	r.Learner = false
	return c.changeGroup(c.group.With(r))
}

// Remove takes a replica out of the group.
func (c *Node) Remove(id ID) (uint64, error) {
	if _, known := c.group.Get(id); !known {
		return 0, ErrUnknownReplica
	}
	smaller := c.group.Without(id)
	if smaller.VoterCount() == 0 {
		return 0, ErrLastVoter
	}
	return c.changeGroup(smaller)
}

// changeGroup proposes a group that differs from the current one by one
// replica. Only one change may be under way, and none before the leader has
// committed a record of its own term.
func (c *Node) changeGroup(g Group) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if term, ok := c.log.term(c.commit); !ok || term != c.term {
		return 0, ErrNotReady
	}
	if c.groupIndex > c.commit {
		return 0, ErrChangePending
	}
	index := c.appendOwn(Entry{Kind: MembershipEntry, Group: g})
	c.syncProgress()
	c.replicate()
	return index, nil
}

// TransferLeadership hands leadership to the replica that is furthest, before a planned
// stop, and reports whether there is one.
func (c *Node) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	best := ID(0)
	for _, r := range c.group.replicas {
		p := c.progress[r.ID]
		if r.Learner || p == nil || !p.active {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = r.ID
		}
	}
	if best == 0 {
		return false
	}
	c.transfer = best
	p := c.progress[best]
	if p.match == c.log.last() {
		c.send(Message{Kind: TimeoutNow, To: best})
		return true
	}
	c.sendAppend(best, p)
	return true
}
