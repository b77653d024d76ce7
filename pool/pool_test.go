package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/state"
)

var begin = time.Unix(5000, 0)

func TestRampIsNeverExceeded(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := NewRamp(8, 2, 10*time.Second)
		now := begin
		inUse := 0
		for range 500 {
			now = now.Add(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
			if random.IntN(2) == 0 && r.Grant(now) {
				inUse++
			}
			if limit := r.Limit(now); inUse > limit && inUse > r.InUse(now) {
				t.Fatalf("seed %d: %d in use, limit %d", seed, inUse, limit)
			}
			if inUse > 0 && random.IntN(2) == 0 {
				inUse--
				r.Done(random.IntN(30) != 0, now)
			}
		}
	}
}

func TestRampRisesWithGoodAnswersAndFallsWithABadOne(t *testing.T) {
	is := is.New(t)
	r := NewRamp(4, 1, 9*time.Second)
	is.True(r.Grant(begin))
	is.True(!r.Grant(begin.Add(time.Minute / 60))) // no good answer yet
	r.Done(true, begin)
	is.Equal(r.Limit(begin), 1)
	is.Equal(r.Limit(begin.Add(6*time.Second)), 3)
	is.True(r.Finished(begin.Add(9 * time.Second)))
	r.Done(false, begin.Add(6*time.Second))
	is.Equal(r.Limit(begin.Add(9*time.Second)), 1)
	is.True(!r.Finished(begin.Add(9 * time.Second)))
}

func TestLostPermitsComeBackAfterTheHold(t *testing.T) {
	is := is.New(t)
	r := NewRamp(4, 1, time.Minute)
	is.True(r.Grant(begin))
	is.True(!r.Grant(begin.Add(permitHold - 1)))
	is.True(r.Grant(begin.Add(permitHold)))
}

func someTargets(n int) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{Name: fmt.Sprint("b", i), Pool: "p", Slots: 4, Phase: fleet.Warm, Boot: 1})
	}
	return list
}

// sick makes the holder see that a backend server cannot be reached.
func sick(h *holder, targets []fleet.Target, now time.Time, names ...string) {
	for _, t := range targets {
		tally := health.Stats{OK: 5, LogSum: 50, LogSquares: 500}
		for _, name := range names {
			if t.Name == name {
				tally = health.Stats{Unreachable: 5}
			}
		}
		h.report("e1", []health.Report{{Target: t.Name, Stats: tally}}, now)
	}
}

func TestFloorCountsReadmittedServersAsEjected(t *testing.T) {
	is := is.New(t)
	h := newHolder(begin)
	targets := someTargets(10)
	settings := state.Pool{Name: "p", Floor: 0.7, ColdSlots: 1, Ramp: state.Duration(time.Minute)}
	now := begin.Add(time.Second)
	sick(h, targets, now, "b1", "b2", "b3", "b4")
	r, verdict := h.decide(targets, settings, now)
	is.Equal(len(r.ejected), 3)
	is.Equal(len(verdict.Refused), 1)
	now = now.Add(5 * time.Second)
	r, _ = h.decide(targets, settings, now)
	is.Equal(len(r.ejected)+len(r.cold), 3) // on probation, not back yet
	sick(h, targets, now, "b5", "b6", "b7")
	r, _ = h.decide(targets, settings, now)
	is.True(len(r.ejected)+len(r.cold) <= 3)
}

func TestNewHolderGivesNoPermitsWhileOldOnesMayBeInUse(t *testing.T) {
	is := is.New(t)
	h := newHolder(begin)
	targets := someTargets(2)
	targets[0].Phase = fleet.Cold
	settings := state.Pool{Name: "p", Floor: 0.5, ColdSlots: 1, Ramp: state.Duration(time.Minute)}
	r, _ := h.decide(targets, settings, begin)
	is.Equal(r.cold, []string{"b0"})
	_, ok := h.permit(begin.Add(permitHold - 1))
	is.True(!ok)
	name, ok := h.permit(begin.Add(permitHold))
	is.True(ok)
	is.Equal(name, "b0")
}

func TestAnEntryKeepsTheFloorByItself(t *testing.T) {
	is := is.New(t)
	m := &member{targets: make(map[string]*seen)}
	m.ruling.ejected = []string{"b0", "b1", "b2"}
	left := m.withoutEjected(someTargets(4), 4, 0.5) // servers have left since the ruling
	is.Equal(len(left), 2)
	for i := range 4 {
		s := m.seen(fmt.Sprint("b", i))
		s.note(health.Result{Kind: health.Unreachable}, begin)
		s.note(health.Result{Kind: health.Unreachable}, begin)
	}
	is.Equal(len(m.withoutAvoided(someTargets(4), 0.5, begin)), 4) // all fail: avoid none
}
