package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An owner whose VM turns slow reads each majority after its lease has run out. It gives the lease
// up, so that the voters can grant it to another entry while the slow one is still alive.
func TestOwnerThatReadsItsMajoritiesTooLateGivesTheLeaseUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	voters := []string{"v0", "v1", "v2"}
	names := []string{"w53"}
	votes := []*Voter{NewVoter(now), NewVoter(now), NewVoter(now)}
	slow, quick := NewHolder(), NewHolder()
	ask := func(h *Holder, vm string, readAfter time.Duration) (won, unusable []string) {
		seq := h.StartRound(names, voters, now)
		for i, v := range votes {
			w, u := h.HandleAnswer(voters[i], seq, v.Acquire(Owner{VM: vm}, seq, names, now), now.Add(readAfter))
			won, unusable = append(won, w...), append(unusable, u...)
		}
		if len(unusable) > 0 {
			released := h.Release(unusable)
			for _, v := range votes {
				v.Release(Owner{VM: vm}, released, unusable, now)
			}
		}
		return won, unusable
	}
	won, _ := ask(slow, "slow", time.Millisecond)
	is.Equal(won, names)
	now = now.Add(HoldDuration)
	is.Equal(slow.TakeExpired(now), names)

	// A single late majority is that of a process that stood still for a moment.
	_, unusable := ask(slow, "slow", HoldDuration)
	is.Equal(len(unusable), 0)
	_, unusable = ask(slow, "slow", HoldDuration)
	is.Equal(unusable, names)
	is.True(slow.BackingOff("w53", now))
	won, _ = ask(quick, "quick", time.Millisecond)
	is.Equal(won, names)
}

// After a start of the whole fleet the first majorities may come late. No other owner is served
// better, so the lease is requested again at once.
func TestOwnerThatNeverHeldTheLeaseKeepsRequestingIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	h, voter := NewHolder(), NewVoter(now)
	for range 2 * maxLateRounds {
		seq := h.StartRound([]string{"w53"}, []string{"v0"}, now)
		_, unusable := h.HandleAnswer("v0", seq, voter.Acquire(Owner{VM: "e1"}, seq, []string{"w53"}, now), now.Add(HoldDuration))
		is.Equal(len(unusable), 0)
	}
}
