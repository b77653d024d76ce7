package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// newQuietGroup returns a simulation without faults of a group whose data needs all of three disks.
func newQuietGroup(seed uint64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), replicas: make(map[ID]*simReplica), partitioned: make(map[[2]ID]bool),
		leaders: make(map[uint64]ID), committed: make(map[uint64]Entry), noCrashes: true, batchBytes: 1 << 20, minSynced: 3, nextID: 3,
	}
	group := NewGroup(Replica{ID: 1, VM: "c1"}, Replica{ID: 2, VM: "c2"}, Replica{ID: 3, VM: "c3"})
	for _, r := range group.Replicas() {
		s.replicas[r.ID] = &simReplica{id: r.ID, disk: simDisk{snapshot: Snapshot{Group: group}}}
		s.start(s.replicas[r.ID])
	}
	s.settle(50)
	return s
}

func (s *simulation) leader(t *testing.T) *simReplica {
	t.Helper()
	for _, id := range s.ids() {
		if r := s.replicas[id]; r.node != nil && r.node.role == Leader {
			return r
		}
	}
	t.Fatal("no leader")
	return nil
}

// Guards against a group of founders that stands still for good once one disk is lost, because its
// log holds data that may not be applied again with two disks (RECOVER).
func TestLostVoterIsReplacedThoughDataWaitsForItsDisk(t *testing.T) {
	for seed := range uint64(20) {
		for _, isCommitted := range []bool{true, false} {
			t.Run(fmt.Sprint("seed ", seed, " committed ", isCommitted), func(t *testing.T) {
				is := is.New(t)
				s := newQuietGroup(seed)
				lost := s.replicas[1+ID(seed%3)]
				if isCommitted {
					s.propose(s.leader(t))
					s.settle(10)
				}
				lost.node, lost.lost = nil, true
				s.settle(50)
				if !isCommitted {
					s.propose(s.leader(t))
					s.settle(10)
				}
				last := s.leader(t).node.Status().LastIndex
				for _, id := range s.ids() { // the others lose power
					s.crash(s.replicas[id])
					s.restart(s.replicas[id])
				}
				s.settle(50)
				is.Equal(s.leader(t).node.Status().CommitIndex >= last, false) // two disks

				change := func(what func(*Node) (uint64, error)) {
					t.Helper()
					leader := s.leader(t)
					_, err := what(leader.node)
					is.NoErr(err)
					s.processEffects(leader)
					s.settle(10)
				}
				fresh := Replica{ID: 4, VM: lost.id.vm()}
				s.replicas[fresh.ID] = &simReplica{id: fresh.ID}
				s.start(s.replicas[fresh.ID])
				change(func(n *Node) (uint64, error) { return n.AddLearner(fresh) })
				change(func(n *Node) (uint64, error) { return n.Remove(lost.id) })
				change(func(n *Node) (uint64, error) { return n.Promote(fresh.ID) })
				is.True(s.leader(t).node.Status().CommitIndex > last)
				is.Equal(s.replicas[fresh.ID].applied, s.leader(t).applied)
				is.Equal(s.failure, "")
			})
		}
	}
}

// Guards against data that is acknowledged with two disks while one of three voters is replaced
// (LOST).
func TestDataNeedsTheDiskOfALearnerWhileVotersAreFew(t *testing.T) {
	is := is.New(t)
	s := newQuietGroup(1)
	leader := s.leader(t)
	fresh := Replica{ID: 4, VM: "c4"}
	s.replicas[fresh.ID] = &simReplica{id: fresh.ID}
	s.start(s.replicas[fresh.ID])
	_, err := leader.node.AddLearner(fresh)
	is.NoErr(err)
	s.processEffects(leader)
	s.settle(10)
	lost := s.replicas[1+ID(uint64(leader.id)%3)]
	lost.node, lost.lost = nil, true
	_, err = leader.node.Remove(lost.id)
	is.NoErr(err)
	s.processEffects(leader)
	s.settle(10)
	s.replicas[fresh.ID].paused = true
	s.propose(leader)
	s.settle(3)
	last := leader.node.Status().LastIndex
	is.True(leader.node.Status().CommitIndex < last) // two disks
	s.replicas[fresh.ID].paused = false
	s.settle(10)
	is.Equal(leader.node.Status().CommitIndex, last)
}

func (id ID) vm() string { return fmt.Sprint("c", uint64(id)) }
