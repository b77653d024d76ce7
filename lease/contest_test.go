package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A holder renews its lease in time and serves nobody. Its grants run out once several entries have
// asked another one to take the lease over, and not before.
func TestHolderThatSeveralEntriesDoubtLosesItsLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	deaf, next := Owner{VM: "deaf"}, Owner{VM: "next"}
	names := []string{"w53"}
	voter, tracker := NewVoter(now), newFailureTracker()
	ask := func(o Owner) bool { return voter.Acquire(o, 1, names, now)[0].Granted }
	is.True(ask(deaf))

	for _, doubter := range []string{"e1", "e1", "e2"} {
		tracker.addTakeovers(doubter, names, now)
	}
	is.True(!tracker.contested("w53", now)) // two entries may have lost their paths
	tracker.addTakeovers("e3", names, now)
	is.True(tracker.contested("w53", now))
	is.True(!tracker.contested("w53", now.Add(takeoverTimeout)))

	voter.Contest(next, names, now)
	is.True(ask(deaf)) // it has just got the lease
	for held := now; now.Sub(held) < minTenure; now = now.Add(renewInterval) {
		is.True(ask(deaf))
	}
	voter.Contest(next, names, now)
	is.True(!ask(deaf))
	is.True(!ask(next)) // the last grant of the first owner still counts
	now = now.Add(Duration)
	voter.Contest(next, names, now)
	is.True(!ask(deaf))
	is.True(ask(next))
	voter.Contest(deaf, names, now)
	is.True(ask(next))
}

// A contest that nobody goes on with changes nothing.
func TestContestEndsWithItsContender(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	owner, names := Owner{VM: "e1"}, []string{"w53"}
	voter := NewVoter(now)
	voter.Acquire(owner, 1, names, now)
	now = now.Add(minTenure)
	voter.Contest(Owner{VM: "e2"}, names, now)
	is.True(!voter.Acquire(owner, 2, names, now)[0].Granted)
	now = now.Add(contestTimeout)
	is.True(voter.Acquire(owner, 3, names, now)[0].Granted)
}
