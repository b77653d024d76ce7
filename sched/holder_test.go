package sched

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

var startTime = time.Unix(5000, 0)

// period is the interval at which a holder is ticked.
const period = 100 * time.Millisecond

func TestRampLimitIsNeverExceeded(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		r := NewRamp(8, 2, 10*time.Second)
		now := startTime
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

func TestRampRisesOnSuccessAndResetsOnFailure(t *testing.T) {
	is := is.New(t)
	r := NewRamp(4, 1, 9*time.Second)
	is.True(r.Grant(startTime))
	is.True(!r.Grant(startTime.Add(time.Minute / 60))) // no successful answer yet
	r.Done(true, startTime)
	is.Equal(r.Limit(startTime), 1)
	is.Equal(r.Limit(startTime.Add(6*time.Second)), 3)
	is.True(r.Finished(startTime.Add(9 * time.Second)))
	r.Done(false, startTime.Add(6*time.Second))
	is.Equal(r.Limit(startTime.Add(9*time.Second)), 1)
	is.True(!r.Finished(startTime.Add(9 * time.Second)))
}

func TestLostPermitsExpire(t *testing.T) {
	is := is.New(t)
	r := NewRamp(4, 1, time.Minute)
	is.True(r.Grant(startTime))
	is.True(!r.Grant(startTime.Add(maxPermitUse - 1)))
	is.True(r.Grant(startTime.Add(maxPermitUse)))
}

func newTargets(n int) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{Name: fmt.Sprint("b", i), Pool: "p", Slots: 4, Phase: fleet.Warm, Boot: 1})
	}
	return list
}

// reportUnreachable makes the holder see that the named backend servers cannot be reached.
func reportUnreachable(h *Holder, targets []fleet.Target, now time.Time, names ...string) {
	for _, t := range targets {
		stats := health.Stats{OK: 5, LogSum: 50, LogSquares: 500}
		for _, name := range names {
			if t.Name == name {
				stats = health.Stats{Unreachable: 5}
			}
		}
		h.Report("e1", []health.Report{{Target: t.Name, Stats: stats}}, now)
	}
}

func TestFloorCountsReadmittedServersAsEjected(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	targets := newTargets(10)
	settings := state.Pool{Name: "p", Floor: 0.7, ColdSlots: 1, Ramp: state.Duration(time.Minute)}
	now := startTime.Add(time.Second)
	reportUnreachable(h, targets, now, "b1", "b2", "b3", "b4")
	status, decision := h.Evaluate(targets, settings, now)
	is.Equal(len(status.Ejected), 3)
	is.Equal(len(decision.Refused), 1)
	now = now.Add(5 * time.Second)
	status, _ = h.Evaluate(targets, settings, now)
	is.Equal(len(status.Ejected)+len(status.Cold), 3) // readmitted servers are still on probation
	reportUnreachable(h, targets, now, "b5", "b6", "b7")
	status, _ = h.Evaluate(targets, settings, now)
	is.True(len(status.Ejected)+len(status.Cold) <= 3)
}

func TestNewHolderWaitsUntilOldPermitsHaveExpired(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	targets := newTargets(2)
	targets[0].Phase = fleet.Cold
	settings := state.Pool{Name: "p", Floor: 0.5, ColdSlots: 1, Ramp: state.Duration(time.Minute)}
	status, _ := h.Evaluate(targets, settings, startTime)
	is.Equal(status.Cold, []string{"b0"})
	_, ok := h.Permit(startTime.Add(maxPermitUse - 1))
	is.True(!ok)
	name, ok := h.Permit(startTime.Add(maxPermitUse))
	is.True(ok)
	is.Equal(name, "b0")
}
