package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Replica is a member of a Raft group.
type Replica struct {
	ID ID
	VM string
	// Addr is the address that other replicas connect to.
	Addr string
	// Learner marks a replica that receives the log but has no vote.
	Learner bool
}

// Group is an immutable list of replicas, ordered by ID.
type Group struct {
	replicas []Replica
}

// NewGroup returns a group of the given replicas.
func NewGroup(replicas ...Replica) Group {
	list := slices.Clone(replicas)
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return Group{replicas: list}
}

// Replicas returns all replicas.
func (g Group) Replicas() []Replica { return slices.Clone(g.replicas) }

// Len returns the number of replicas.
func (g Group) Len() int { return len(g.replicas) }

// Get returns the replica with the given ID.
func (g Group) Get(id ID) (Replica, bool) {
	for _, r := range g.replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// ByVM returns the replica that runs on a VM.
func (g Group) ByVM(vm string) (Replica, bool) {
	for _, r := range g.replicas {
		if r.VM == vm {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether the replica is a member with a vote.
func (g Group) IsVoter(id ID) bool {
	r, ok := g.Get(id)
	return ok && !r.Learner
}

// VoterCount returns the number of replicas with a vote.
func (g Group) VoterCount() int {
	n := 0
	for _, r := range g.replicas {
		if !r.Learner {
			n++
		}
	}
	return n
}

// QuorumSize returns the number of voters in a majority.
func (g Group) QuorumSize() int { return g.VoterCount()/2 + 1 }

// With returns a copy of the group with a replica added or replaced.
func (g Group) With(r Replica) Group {
	return NewGroup(append(g.Without(r.ID).replicas, r)...)
}

// Without returns a copy of the group without a replica.
func (g Group) Without(id ID) Group {
	var list []Replica
	for _, r := range g.replicas {
		if r.ID != id {
			list = append(list, r)
		}
	}
	return Group{replicas: list}
}

// String lists the replicas as VM/ID, learners in parentheses.
func (g Group) String() string {
	names := make([]string, len(g.replicas))
	for i, r := range g.replicas {
		names[i] = fmt.Sprintf("%s/%x", r.VM, uint64(r.ID))
		if r.Learner {
			names[i] = "(" + names[i] + ")"
		}
	}
	return strings.Join(names, ", ")
}
