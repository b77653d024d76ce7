package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fresh"
	"github.com/dottereldeal/dottereldeal/state"
)

func newTestTracker(policy PartitionPolicy) (*freshnessTracker, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1000, 0))
	e := &Entry{options: newOptions(Clock(manual), OnPartition(policy))}
	return &freshnessTracker{entry: e, fresh: fresh.New(), confirmed: make(chan struct{})}, manual
}

func stateAt(index uint64) state.State { return state.Load(index, 0, nil) }

// A VM that has missed changes, such as a control VM that is cut off from its group, may send
// the first state. It must not be served before the rest has arrived.
func TestFirstStateIsNotServedWhileSomethingNewerIsAccepted(t *testing.T) {
	for _, policy := range []PartitionPolicy{PartitionStop, PartitionServe} {
		is := is.New(t)
		tracker, manual := newTestTracker(policy)
		tracker.confirmState(stateAt(2), manual.Now())
		is.True(!tracker.isConfirmed()) // nothing is known about what is accepted
		tracker.fresh.ObserveLeader(1, 1, 4, manual.Now())
		tracker.confirmState(stateAt(2), manual.Now())
		is.True(!tracker.isConfirmed())
		tracker.confirmState(stateAt(4), manual.Now())
		is.True(tracker.isConfirmed())
	}
}

// Without any sign of the control VMs and the lease voters, operators choose whether to serve.
func TestFirstStateOfACutOffEntryIsServedOnlyIfCutOffEntriesServe(t *testing.T) {
	is := is.New(t)
	for policy, serves := range map[PartitionPolicy]bool{PartitionStop: false, PartitionServe: true} {
		tracker, manual := newTestTracker(policy)
		tracker.confirmState(stateAt(2), manual.Now())
		manual.Advance(unconfirmedTimeout)
		tracker.confirmState(stateAt(2), manual.Now())
		is.Equal(tracker.isConfirmed(), serves)
		is.True(tracker.checkCurrent(stateAt(2), manual.Now()) != nil)
	}
}

// Guards against a first state that is known to differ from the leader's and is served all the same
// once the entry has waited, since nobody sends another one.
func TestDivergedFirstStateIsNotServedByACutOffEntry(t *testing.T) {
	is := is.New(t)
	tracker, manual := newTestTracker(PartitionServe)
	tracker.leaderIndex, tracker.leaderDigest = 2, stateAt(2).Digest()+1
	tracker.confirmState(stateAt(2), manual.Now())
	manual.Advance(2 * unconfirmedTimeout)
	tracker.confirmState(stateAt(2), manual.Now())
	is.True(!tracker.isConfirmed())
	tracker.leaderDigest = stateAt(2).Digest() // as the state that replaces it
	tracker.confirmState(stateAt(2), manual.Now())
	is.True(tracker.isConfirmed())
}
