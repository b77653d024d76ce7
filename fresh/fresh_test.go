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
	f := fresh.New()
	is.True(errors.Is(f.CheckServing(1, voters, start), fresh.ErrIsolated))
	f.ObserveLeader(2, 7, 1, start)
	is.NoErr(f.CheckServing(1, voters, at(fresh.HeartbeatTimeout)))
	is.True(errors.Is(f.CheckServing(1, voters, at(fresh.HeartbeatTimeout+1)), fresh.ErrIsolated))
	f.ObserveLeader(2, 7, 1, at(fresh.HeartbeatTimeout+1)) // a repeated sign is no new one
	f.ObserveLeader(1, 99, 1, at(fresh.HeartbeatTimeout+1))
	is.True(errors.Is(f.CheckServing(1, voters, at(fresh.HeartbeatTimeout+1)), fresh.ErrIsolated))
}

func TestServesWhileAMajorityOfVotersIsHeard(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.ObserveVoter("e1", 1, 1, 5, start)
	f.ObserveVoter("e9", 1, 1, 5, start) // not a voter
	is.True(errors.Is(f.CheckServing(5, voters, start), fresh.ErrIsolated))
	f.ObserveVoter("e2", 1, 1, 5, start)
	is.NoErr(f.CheckServing(5, voters, start))
}

func TestStopsWithoutAnAcceptedTicket(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.ObserveLeader(1, 1, 8, start)
	f.ObserveLeader(1, 2, 9, at(fresh.CatchUpTimeout))
	is.NoErr(f.CheckServing(7, voters, at(fresh.CatchUpTimeout)))
	is.True(errors.Is(f.CheckServing(7, voters, at(fresh.CatchUpTimeout+1)), fresh.ErrBehind))
	is.NoErr(f.CheckServing(8, voters, at(fresh.CatchUpTimeout+1)))
}

func TestRestartedVoterVouchesOnlyAfterCatchUp(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.ObserveVoter("e1", 1, 1, 5, start) // its own sign of before
	f.ObserveVoter("e2", 1, 1, 6, start)
	is.True(!f.MaySendHeartbeats("e1", 9, voters, start))
	f.ObserveVoter("e3", 1, 1, 4, start)
	is.True(!f.MaySendHeartbeats("e1", 5, voters, start))
	is.True(f.MaySendHeartbeats("e1", 6, voters, start))
}

// Signs of the voters are needed only without a leader, and early enough to reach
// every entry before the leader's last beacon stops to count.
func TestVotersGiveSignsOnlyWithoutALeader(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	is.True(f.HeartbeatDue(start))
	f.ObserveLeader(1, 1, 5, start)
	is.True(!f.HeartbeatDue(start.Add(time.Second))) // a beacon comes every second
	is.True(f.HeartbeatDue(start.Add(2 * time.Second)))
	is.True(f.LeaderSeenRecently(start.Add(2 * time.Second)))
}
