package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// Six of 44 entries lose connectivity to 11 of 30 servers for 8 s. After two seconds they
// must lose less than a tenth of the requests that random selection would lose, and the
// failure must not raise the failure estimate of any server.
func TestEntriesAvoidUnreachableServers(t *testing.T) {
	const (
		step        = time.Millisecond
		cutStart    = 3 * time.Second
		cutDuration = 8 * time.Second
		settleTime  = 2 * time.Second
	)
	sent, lost := 0, 0
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 13))
		view := poolView{idleTimeout: 4 * time.Second, floor: 0.7, ramp: func(string) *Ramp { return nil }}
		for i := range 30 {
			view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 3, Boot: 1, DataCentre: fmt.Sprint(i % 3)})
		}
		unreachable := func(vm, server string, now time.Time) bool {
			var entryIndex, serverIndex int
			fmt.Sscanf(vm, "e%d", &entryIndex)
			fmt.Sscanf(server, "s%d", &serverIndex)
			at := now.Sub(startTime)
			return at >= cutStart && at < cutStart+cutDuration && entryIndex < 6 && serverIndex < 11
		}
		s := newScheduler()
		var running []completion
		for id, now := uint64(0), startTime; now.Sub(startTime) < cutStart+cutDuration; now = now.Add(step) {
			running = finishDue(s, running, now)
			if random.Float64() >= 160*step.Seconds() {
				continue
			}
			id++
			vm := fmt.Sprint("e", random.IntN(44))
			req := Request{
				VM: vm, DataCentre: fmt.Sprint(random.IntN(3)), ID: id, Bytes: 4000, Idempotent: random.Float64() < 0.24,
				Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}
			r := s.place(req, view, now)
			if r.Target == "" {
				continue
			}
			e := completion{key: req.key(), target: r.Target, kind: health.OK, latency: 150 * time.Millisecond}
			if unreachable(vm, r.Target, now) {
				e.kind, e.latency = health.TimedOut, 1500*time.Millisecond
				if req.Idempotent {
					e.kind, e.latency = health.Late, 500*time.Millisecond
				}
			}
			if at := now.Sub(startTime); at >= cutStart+settleTime && unreachable(vm, "s0", now) {
				sent++
				if e.kind != health.OK {
					lost++
				}
			}
			e.at = now.Add(e.latency)
			running = append(running, e)
		}
		for _, srv := range s.servers {
			if srv.estimate.Probability(s.model, startTime.Add(cutStart+cutDuration)) > maxGrayNonIdempotent {
				t.Errorf("seed %d: %s has a high failure estimate", seed, srv.name)
			}
		}
	}
	if lossShare := 11.0 / 30; float64(lost) > lossShare/10*float64(sent) {
		t.Errorf("%d of %d requests on the unreachable paths were lost", lost, sent)
	}
}
