package quorum

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Replica is one member of a group.
type Replica struct {
	ID ID
	VM string
	// Addr is the address of the replica's links.
	Addr string
	// Learner replicas receive the log but have no vote.
	Learner bool
}

// Group is the immutable list of replicas, ordered by identity.
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

// Get returns the replica of that identity.
func (g Group) Get(id ID) (Replica, bool) {
	for _, r := range g.replicas {
		if r.ID == id {
			return r, true
		}
	}
	return Replica{}, false
}

// ByVM returns the replica on a VM.
func (g Group) ByVM(vm string) (Replica, bool) {
	for _, r := range g.replicas {
		if r.VM == vm {
			return r, true
		}
	}
	return Replica{}, false
}

// IsVoter reports whether the replica has a vote.
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

// QuorumSize returns the number of voters that make a majority.
func (g Group) QuorumSize() int { return g.VoterCount()/2 + 1 }

// With returns the group with a replica added or replaced.
func (g Group) With(r Replica) Group {
	return NewGroup(append(g.Without(r.ID).replicas, r)...)
}

// Without returns the group without a replica.
func (g Group) Without(id ID) Group {
	var list []Replica
	for _, r := range g.replicas {
		if r.ID != id {
			list = append(list, r)
		}
	}
	return Group{replicas: list}
}

// String lists the VMs, learners in parentheses.
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
