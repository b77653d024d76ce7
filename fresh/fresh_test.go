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
	is.True(errors.Is(f.Serving(1, voters, start), fresh.ErrAlone))
	f.HeardLeader(2, 7, 1, start)
	is.NoErr(f.Serving(1, voters, at(fresh.Window)))
	is.True(errors.Is(f.Serving(1, voters, at(fresh.Window+1)), fresh.ErrAlone))
	f.HeardLeader(2, 7, 1, at(fresh.Window+1)) // a repeated sign is no new one
	f.HeardLeader(1, 99, 1, at(fresh.Window+1))
	is.True(errors.Is(f.Serving(1, voters, at(fresh.Window+1)), fresh.ErrAlone))
}

func TestServesWhileAMajorityOfVotersIsHeard(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.HeardVoter("e1", 1, 1, 5, start)
	f.HeardVoter("e9", 1, 1, 5, start) // not a voter
	is.True(errors.Is(f.Serving(5, voters, start), fresh.ErrAlone))
	f.HeardVoter("e2", 1, 1, 5, start)
	is.NoErr(f.Serving(5, voters, start))
}

func TestStopsWithoutAnAcceptedTicket(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.HeardLeader(1, 1, 8, start)
	f.HeardLeader(1, 2, 9, at(fresh.CatchUp))
	is.NoErr(f.Serving(7, voters, at(fresh.CatchUp)))
	is.True(errors.Is(f.Serving(7, voters, at(fresh.CatchUp+1)), fresh.ErrBehind))
	is.NoErr(f.Serving(8, voters, at(fresh.CatchUp+1)))
}

func TestRestartedVoterVouchesOnlyAfterCatchUp(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	f.HeardVoter("e1", 1, 1, 5, start) // its own sign of before
	f.HeardVoter("e2", 1, 1, 6, start)
	is.True(!f.MayVouch("e1", 9, voters, start))
	f.HeardVoter("e3", 1, 1, 4, start)
	is.True(!f.MayVouch("e1", 5, voters, start))
	is.True(f.MayVouch("e1", 6, voters, start))
}

// Signs of the voters are needed only without a leader, and early enough to reach
// every entry before the leader's last beacon stops to count.
func TestVotersGiveSignsOnlyWithoutALeader(t *testing.T) {
	is := is.New(t)
	f := fresh.New()
	is.True(f.SignDue(start))
	f.HeardLeader(1, 1, 5, start)
	is.True(!f.SignDue(start.Add(time.Second))) // a beacon comes every second
	is.True(f.SignDue(start.Add(2 * time.Second)))
	is.True(f.LeaderHeard(start.Add(2 * time.Second)))
}
