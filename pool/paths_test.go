package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// Six of 44 entries lose the way to 11 of 30 servers for 8 s. After two seconds they lose
// less than a tenth of what a blind choice would, and no server is taken for gray by it.
func TestEntriesAreKeptFromServersThatTheyDoNotReach(t *testing.T) {
	const (
		step    = time.Millisecond
		cutFrom = 3 * time.Second
		cutFor  = 8 * time.Second
		learn   = 2 * time.Second
	)
	sent, lost := 0, 0
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 13))
		plan := deskView{keep: 4 * time.Second, floor: 0.7, ramp: func(string) *Ramp { return nil }}
		for i := range 30 {
			plan.targets = append(plan.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 3, Boot: 1, DataCentre: fmt.Sprint(i % 3)})
		}
		cut := func(vm, server string, now time.Time) bool {
			var v, s int
			fmt.Sscanf(vm, "e%d", &v)
			fmt.Sscanf(server, "s%d", &s)
			at := now.Sub(begin)
			return at >= cutFrom && at < cutFrom+cutFor && v < 6 && s < 11
		}
		d := newDesk()
		var running []ending
		for id, now := uint64(0), begin; now.Sub(begin) < cutFrom+cutFor; now = now.Add(step) {
			var left []ending
			for _, e := range running {
				if e.at.After(now) {
					left = append(left, e)
					continue
				}
				d.done(e.key, health.Result{Kind: e.kind, Latency: e.took}, plan, now)
			}
			running = left
			if random.Float64() >= 160*step.Seconds() {
				continue
			}
			id++
			vm := fmt.Sprint("e", random.IntN(44))
			a := ask{
				vm: vm, centre: fmt.Sprint(random.IntN(3)), id: id, bytes: 4000, idempotent: random.Float64() < 0.24,
				objective: now.Add(600 * time.Millisecond), deadline: now.Add(1500 * time.Millisecond),
			}
			r := d.place(a, plan, now)
			if r.target == "" {
				continue
			}
			e := ending{key: a.key(), target: r.target, kind: health.OK, took: 150 * time.Millisecond}
			if cut(vm, r.target, now) {
				e.kind, e.took = health.TimedOut, 1500*time.Millisecond
				if a.idempotent {
					e.kind, e.took = health.Late, 500*time.Millisecond
				}
			}
			if at := now.Sub(begin); at >= cutFrom+learn && cut(vm, "s0", now) {
				sent++
				if e.kind != health.OK {
					lost++
				}
			}
			e.at = now.Add(e.took)
			running = append(running, e)
		}
		for _, target := range plan.targets {
			if b := d.belief(target, begin.Add(cutFrom+cutFor)); b.Probability(d.climate, begin.Add(cutFrom+cutFor)) > trustGray {
				t.Errorf("seed %d: %s is taken for gray", seed, target.Name)
			}
		}
	}
	if blind := 11.0 / 30; float64(lost) > blind/10*float64(sent) {
		t.Errorf("%d of %d requests were lost on the way", lost, sent)
	}
}
