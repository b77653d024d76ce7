package quorum

import "slices"

// Propose appends data to the log and returns the index and term of its entry. The
// proposal is accepted once an entry with that index and term is committed.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = n.appendEntry(Entry{Kind: DataEntry, Data: data})
	n.replicate()
	return index, n.term, nil
}

// replicate sends new entries to all replicas whose in-flight window is not full.
func (n *Node) replicate() {
	for _, r := range n.group.replicas {
		p := n.progress[r.ID]
		if p != nil && !p.probing && p.inFlight < maxInFlightAppends {
			n.sendAppend(r.ID, p)
		}
	}
}

// ReadIndex requests a linearizable read. The result is returned in Effects.Reads
// under the same token, or never if the replica loses leadership first.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if term, ok := n.log.term(n.commitIndex); !ok || term != n.term {
		return ErrNotReady
	}
	n.round++
	n.pendingReads = append(n.pendingReads, pendingRead{token: token, index: n.commitIndex, round: n.round})
	n.confirmReads()
	if len(n.pendingReads) > 0 {
		n.broadcast()
	}
	return nil
}

// confirmReads completes the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	confirmed := n.confirmedRound()
	released := 0
	for _, r := range n.pendingReads {
		if r.round > confirmed {
			break
		}
		n.effects.Reads = append(n.effects.Reads, ConfirmedRead{Token: r.token, Index: r.index, Term: n.term})
		released++
	}
	n.pendingReads = n.pendingReads[released:]
}

// confirmedRound returns the highest round that a majority has answered.
func (n *Node) confirmedRound() uint64 {
	var rounds []uint64
	for _, r := range n.group.replicas {
		switch {
		case r.Learner:
		case r.ID == n.id:
			rounds = append(rounds, n.round)
		default:
			rounds = append(rounds, n.progress[r.ID].ackedRound)
		}
	}
	if len(rounds) == 0 {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-n.group.QuorumSize()]
}

// AddLearner adds a replica as a learner and returns the index of the change.
func (n *Node) AddLearner(r Replica) (uint64, error) {
	if _, known := n.group.Get(r.ID); known {
		return 0, ErrReplicaExists
	}
	r.Learner = true
	return n.changeGroup(n.group.With(r))
}

// Promote makes a caught-up learner a voter and returns the index of the change.
func (n *Node) Promote(id ID) (uint64, error) {
	r, known := n.group.Get(id)
	if !known {
		return 0, ErrUnknownReplica
	}
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if !r.Learner {
		return n.groupIndex, nil
	}
	if p := n.progress[id]; p == nil || p.matchIndex < n.agreedIndex || !p.recentlyActive {
		return 0, ErrNotCaughtUp
	}
	r.Learner = false
	return n.changeGroup(n.group.With(r))
}

// Remove removes a replica from the group and returns the index of the change.
func (n *Node) Remove(id ID) (uint64, error) {
	if _, known := n.group.Get(id); !known {
		return 0, ErrUnknownReplica
	}
	remaining := n.group.Without(id)
	if remaining.VoterCount() == 0 {
		return 0, ErrLastVoter
	}
	return n.changeGroup(remaining)
}

// changeGroup proposes a group that differs from the current one by one replica.
// Only one change may be pending, and none before a majority holds an entry of the leader's own
// term. Data that too few disks hold does not delay a change, which may bring the missing disk.
func (n *Node) changeGroup(g Group) (uint64, error) {
	if n.role != Leader {
		return 0, ErrNotLeader
	}
	if term, ok := n.log.term(n.agreedIndex); !ok || term != n.term {
		return 0, ErrNotReady
	}
	if n.groupIndex > n.agreedIndex {
		return 0, ErrChangePending
	}
	index := n.appendEntry(Entry{Kind: MembershipEntry, Group: g})
	n.syncProgress()
	n.replicate()
	return index, nil
}

// TransferLeadership transfers leadership to the active voter with the most
// complete log, before a planned shutdown. It reports whether there is such a voter.
func (n *Node) TransferLeadership() bool {
	if n.role != Leader {
		return false
	}
	target := ID(0)
	for _, r := range n.group.replicas {
		p := n.progress[r.ID]
		if r.Learner || p == nil || !p.recentlyActive {
			continue
		}
		if target == 0 || p.matchIndex > n.progress[target].matchIndex {
			target = r.ID
		}
	}
	if target == 0 {
		return false
	}
	n.transferTarget = target
	p := n.progress[target]
	if p.matchIndex == n.log.last() {
		n.send(Message{Kind: TimeoutNow, To: target})
		return true
	}
	n.sendAppend(target, p)
	return true
}
