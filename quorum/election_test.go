package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// After a power loss the replicas start some hundreds of milliseconds apart. The first
// ones campaign without success, and must campaign again soon so that the group elects
// a leader shortly after a majority is up.
func TestFrequentElectionsUntilFirstLeader(t *testing.T) {
	is := is.New(t)
	group := NewGroup(Replica{ID: 1, VM: "a"}, Replica{ID: 2, VM: "b"}, Replica{ID: 3, VM: "c"})
	for id := range ID(3) {
		node, err := New(id+1, PersistedState{Snapshot: Snapshot{Group: group}})
		is.NoErr(err)
		ticksSinceRequest := 0
		for range 1000 {
			node.Tick()
			ticksSinceRequest++
			for _, m := range node.Effects().Send {
				if m.Kind == PreVote {
					ticksSinceRequest = 0
				}
			}
			if ticksSinceRequest >= defaultElectionTicks {
				t.Fatalf("replica %d sent no pre-vote request for %d ticks", id+1, ticksSinceRequest)
			}
		}
	}
}
