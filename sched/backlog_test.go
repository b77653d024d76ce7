package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// overload is a load of several times what a pool can serve, for a time.
type overload struct {
	factor   float64 // of the rate that the pool can serve
	burst    time.Duration
	deadline time.Duration
	// idle is the factor before and after the burst.
	idle float64
}

// overloadResult counts the results. A request is held if it was rejected only after its
// objective had passed.
type overloadResult struct {
	sent, inTime, late, rejected, held int
}

func (l overload) run(seed uint64) overloadResult {
	const (
		servers, slots = 20, 4
		service        = 250 * time.Millisecond
		objective      = 800 * time.Millisecond
		capacity       = servers * slots / 0.25 // requests per second
	)
	random := rand.New(rand.NewPCG(seed, 19))
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for i := range servers {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: slots, Boot: 1})
	}
	s := newScheduler()
	var result overloadResult
	var running []completion
	now := startTime
	start := func(placements ...Placement) {
		for _, p := range placements {
			switch {
			case p.Target != "":
				end := now.Add(service)
				running = append(running, completion{at: end, key: p.Request.key(), kind: health.OK, latency: service})
				if end.After(p.Request.Objective) {
					result.late++
				} else {
					result.inTime++
				}
			case !p.Queued:
				result.rejected++
				if now.After(p.Request.Objective) {
					result.held++
				}
			}
		}
	}
	total := 2*time.Second + l.burst + 4*time.Second
	for id := uint64(0); now.Sub(startTime) < total; now = now.Add(time.Millisecond) {
		running = finishDue(s, running, now)
		start(s.placeQueued(view, now)...)
		elapsed := now.Sub(startTime)
		if elapsed%period == 0 {
			start(s.tick(view, now)...)
		}
		factor := l.idle
		if elapsed >= 2*time.Second && elapsed < 2*time.Second+l.burst {
			factor = l.factor
		}
		if random.Float64() >= factor*capacity/1000 {
			continue
		}
		id++
		result.sent++
		start(s.place(Request{VM: "e", ID: id, Workspace: fmt.Sprint("w", id%5), Objective: now.Add(objective), Deadline: now.Add(l.deadline)}, view, now))
	}
	return result
}

// Half as many requests again as the pool can serve arrive for 8 s. The slots bound what can
// be answered in time; the others must hear so while they can still go elsewhere.
func TestOverloadIsRejectedWhenItIsKnown(t *testing.T) {
	load := overload{factor: 1.5, burst: 8 * time.Second, deadline: 2500 * time.Millisecond, idle: 0.5}
	for seed := range uint64(3) {
		is := is.New(t)
		r := load.run(seed)
		t.Logf("seed %d: %+v", seed, r)
		possible := float64(r.sent) - 0.5*320*8
		is.True(float64(r.inTime) > 0.95*possible)
		is.True(float64(r.held) < 0.02*float64(r.sent))
	}
}

// A burst that is over before the deadlines of its requests is worked off: nobody needs to
// be rejected.
func TestShortBurstIsWorkedOff(t *testing.T) {
	load := overload{factor: 1.7, burst: 1500 * time.Millisecond, deadline: 4 * time.Second, idle: 0.5}
	for seed := range uint64(3) {
		is := is.New(t)
		r := load.run(seed)
		t.Logf("seed %d: %+v", seed, r)
		is.True(float64(r.rejected) < 0.03*float64(r.sent))
	}
}
