package fresh_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fresh"
)

var (
	start  = time.Unix(1000, 0)
	voters = []string{"e1", "e2", "e3"}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestServesWhileALeaderIsHeard(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	is.True(errors.Is(tracker.CheckServing(1, voters, start), fresh.ErrIsolated))
	tracker.ObserveLeader(2, 7, 1, start)
	is.NoErr(tracker.CheckServing(1, voters, at(fresh.HeartbeatTimeout)))
	is.True(errors.Is(tracker.CheckServing(1, voters, at(fresh.HeartbeatTimeout+1)), fresh.ErrIsolated))
	tracker.ObserveLeader(2, 7, 1, at(fresh.HeartbeatTimeout+1)) // a duplicate heartbeat does not count
	tracker.ObserveLeader(1, 99, 1, at(fresh.HeartbeatTimeout+1))
	is.True(errors.Is(tracker.CheckServing(1, voters, at(fresh.HeartbeatTimeout+1)), fresh.ErrIsolated))
}

func TestServesWhileAMajorityOfVotersIsHeard(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	tracker.ObserveVoter("e1", 1, 1, 5, start)
	tracker.ObserveVoter("e9", 1, 1, 5, start) // not a voter
	is.True(errors.Is(tracker.CheckServing(5, voters, start), fresh.ErrIsolated))
	tracker.ObserveVoter("e2", 1, 1, 5, start)
	is.NoErr(tracker.CheckServing(5, voters, start))
}

func TestStopsServingWithoutAnAcceptedTicket(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	tracker.ObserveLeader(1, 1, 8, start)
	tracker.ObserveLeader(1, 2, 9, at(fresh.CatchUpTimeout))
	is.NoErr(tracker.CheckServing(7, voters, at(fresh.CatchUpTimeout)))
	is.True(errors.Is(tracker.CheckServing(7, voters, at(fresh.CatchUpTimeout+1)), fresh.ErrBehind))
	is.NoErr(tracker.CheckServing(8, voters, at(fresh.CatchUpTimeout+1)))
}

func TestRestartedVoterSendsHeartbeatsOnlyAfterCatchUp(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	tracker.ObserveVoter("e1", 1, 1, 5, start) // its own heartbeat from before the restart
	tracker.ObserveVoter("e2", 1, 1, 6, start)
	is.True(!tracker.MaySendHeartbeats("e1", 9, voters, start))
	tracker.ObserveVoter("e3", 1, 1, 4, start)
	is.True(!tracker.MaySendHeartbeats("e1", 5, voters, start))
	is.True(tracker.MaySendHeartbeats("e1", 6, voters, start))
}

// Voters send heartbeats only without a leader, and early enough for them to reach every
// entry before the leader's last beacon times out.
func TestVotersSendHeartbeatsOnlyWithoutALeader(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	is.True(tracker.HeartbeatDue(start))
	tracker.ObserveLeader(1, 1, 5, start)
	is.True(!tracker.HeartbeatDue(start.Add(time.Second))) // a beacon is sent every second
	is.True(tracker.HeartbeatDue(start.Add(2 * time.Second)))
	is.True(tracker.LeaderSeenRecently(start.Add(2 * time.Second)))
}

// An entry that lacks an accepted ticket must not call a key unknown, although it may go on
// serving for CatchUpTimeout.
func TestStateIsNotCurrentWithoutAnAcceptedTicket(t *testing.T) {
	is := is.New(t)
	tracker := fresh.New()
	is.True(tracker.CheckCurrent(3, voters, at(0)) != nil) // nothing was heard
	tracker.ObserveLeader(1, 1, 3, at(0))
	is.NoErr(tracker.CheckCurrent(3, voters, at(0)))
	tracker.ObserveLeader(1, 2, 5, at(time.Second))
	is.NoErr(tracker.CheckServing(4, voters, at(time.Second)))
	is.True(errors.Is(tracker.CheckCurrent(4, voters, at(time.Second)), fresh.ErrBehind))
	is.NoErr(tracker.CheckCurrent(5, voters, at(time.Second)))
}
