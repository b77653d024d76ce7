package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

// largeView returns a pool of n servers in three data centres, some of them cold.
func largeView(n, slots int, cold float64, random *rand.Rand) poolView {
	ramps := make(map[string]*Ramp)
	view := poolView{floor: 0.7, idleTimeout: 4 * time.Second, ramp: func(name string) *Ramp { return ramps[name] }}
	for i := range n {
		name := fmt.Sprint("s", i)
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: slots, Boot: 1, DataCentre: fmt.Sprint("d", i%3)})
		if random.Float64() < cold {
			ramps[name] = NewRamp(slots, slots, 3*time.Second).WithRate(4)
		}
	}
	return view
}

// The scheduler that walks the state of its servers must make the choices of the earlier one
// that looked everything up by name.
func TestSameChoicesAsTheEarlierScheduler(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 5))
		servers := 10 + random.IntN(60)
		loadSeed := random.Uint64()
		view := largeView(servers, 3, 0.1, rand.New(rand.NewPCG(loadSeed, 1)))
		oldView := largeView(servers, 3, 0.1, rand.New(rand.NewPCG(loadSeed, 1)))
		s := newScheduler(retry.Ratio(0.15), retry.Slack(60, func() int { return 1 }))
		old := newOldScheduler(retry.Ratio(0.15), retry.Slack(60, func() int { return 1 }))
		s.sync(view, startTime)
		for _, t := range oldView.targets {
			old.estimate(t, startTime) // it knew a server from its first consideration on
		}
		var running []completion
		now := startTime
		check := func(got, want []placement) {
			is.Equal(len(got), len(want))
			for i := range got {
				is.Equal(got[i], want[i])
				if got[i].target == "" {
					continue
				}
				kinds := []health.Kind{health.OK, health.OK, health.OK, health.Failed, health.TimedOut, health.Cancelled}
				latency := time.Duration(random.IntN(300)) * time.Millisecond
				running = append(running, completion{key: got[i].request.key(), kind: kinds[random.IntN(len(kinds))], latency: latency, at: now.Add(latency)})
			}
		}
		perStep := 0.5 + 2*random.Float64()*float64(servers)/70
		for id := uint64(0); now.Sub(startTime) < 4*time.Second; now = now.Add(time.Millisecond) {
			running = slices.DeleteFunc(running, func(c completion) bool {
				due := !c.at.After(now)
				if due {
					r := health.Result{Kind: c.kind, Latency: c.latency}
					s.done(c.key, r, now)
					old.done(c.key, r, oldView, now)
				}
				return due
			})
			check(s.placeQueued(view, now), old.placeQueued(oldView, now))
			if random.Float64() >= perStep {
				continue
			}
			id++
			req := request{
				vm: fmt.Sprint("e", random.IntN(9)), id: id, dataCentre: fmt.Sprint("d", random.IntN(3)), rank: random.IntN(2),
				idempotent: random.IntN(3) == 0, workspace: fmt.Sprint("w", random.IntN(5)), bytes: int64(random.IntN(50_000)),
				objective: now.Add(300 * time.Millisecond), deadline: now.Add(800 * time.Millisecond),
			}
			if random.IntN(8) == 0 {
				req.avoid, req.arrived = []string{fmt.Sprint("s", random.IntN(servers))}, true
			}
			got, want := s.place(req, view, now), old.place(req, oldView, now)
			check([]placement{got}, []placement{want})
		}
		is.True(len(s.assignments) > 0)
	}
}

// BenchmarkPlacement measures a placement and its completion with half of the slots in use.
func BenchmarkPlacement(b *testing.B) {
	for _, servers := range []int{28, 100, 215, 387, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			view := largeView(servers, 4, 0, rand.New(rand.NewPCG(1, 1)))
			s := newScheduler()
			now := startTime
			place := func(id uint64) requestKey {
				now = now.Add(time.Millisecond)
				req := request{vm: fmt.Sprint("e", id%40), id: id, dataCentre: "d1", idempotent: id%3 == 0, objective: now.Add(time.Minute), deadline: now.Add(time.Minute)}
				s.place(req, view, now)
				return req.key()
			}
			var keys []requestKey
			for id := range uint64(2 * servers) {
				keys = append(keys, place(id))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				at := i % len(keys)
				s.done(keys[at], health.Result{Kind: health.OK, Latency: 200 * time.Millisecond}, now)
				keys[at] = place(uint64(2*servers + i))
			}
		})
	}
}
