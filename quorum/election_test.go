package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// After a power loss the replicas start some hundreds of milliseconds apart. The first
// ones ask for votes in vain; the group must have a leader soon after a majority is up.
func TestElectionsAreTriedOftenUntilALeaderIsKnown(t *testing.T) {
	is := is.New(t)
	group := NewGroup(Replica{ID: 1, VM: "a"}, Replica{ID: 2, VM: "b"}, Replica{ID: 3, VM: "c"})
	for id := range ID(3) {
		c, err := New(id+1, PersistedState{Snapshot: Snapshot{Group: group}})
		is.NoErr(err)
		silence := 0
		for range 1000 {
			c.Tick()
			silence++
			for _, m := range c.Effects().Send {
				if m.Kind == PreVote {
					silence = 0
				}
			}
			if silence >= defaultElectionTicks {
				t.Fatalf("replica %d asked for no vote for %d ticks", id+1, silence)
			}
		}
	}
}
