package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// A third of the servers is gray at any time, for 2.7 s each, and a request runs for 300 ms.
// Each start of a gray failure at a server in use costs about one request that must run
// once. Choices by results alone are a service time behind and cost half as much again:
// 0.030 and 0.057 of these requests.
func TestRunningRequestsTellWhichServersWork(t *testing.T) {
	load := grayFailureLoad{
		servers: 58, slots: 6, perSecond: 330, idempotent: 0.28, service: 300 * time.Millisecond,
		grayShare: 0.3, grayDuration: 2700 * time.Millisecond, duration: 20 * time.Second, failureLatency: 7 * time.Millisecond,
	}
	sparse := load
	sparse.servers, sparse.slots, sparse.perSecond, sparse.idempotent = 77, 4, 220, 0.36
	// So few that the share of failures is close to what operators go by for the floor.
	rare := sparse
	rare.servers, rare.perSecond = 30, 43
	for name, c := range map[string]struct {
		load  grayFailureLoad
		limit float64
	}{"six requests a second and server": {load, 0.025}, "three": {sparse, 0.045}, "one and a half": {rare, 0.06}} {
		t.Run(name, func(t *testing.T) {
			failed, sent := 0, 0
			for seed := range uint64(2) {
				r := c.load.run(seed)
				failed += r.failed
				sent += r.nonIdempotent
			}
			t.Logf("%d of %d requests failed", failed, sent)
			if float64(failed) > c.limit*float64(sent) {
				t.Errorf("%d of %d requests failed", failed, sent)
			}
		})
	}
}

// A server that accepts requests and never answers must not be taken for a healthy one until
// their deadline.
func TestHangingServerIsNoticedByItsOverdueRequests(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for _, name := range []string{"a", "b"} {
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: 100, Boot: 1})
	}
	s := newScheduler()
	hung := 0
	now := startTime
	for id := range uint64(400) {
		now = now.Add(10 * time.Millisecond)
		req := Request{VM: fmt.Sprint("e", id%7), ID: id, Objective: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
		r := s.place(req, view, now)
		if r.Target == "a" {
			hung++
			continue
		}
		s.done(req.key(), health.Result{Kind: health.OK, Latency: initialServiceTime}, now)
	}
	is.True(hung < 100) // a quarter, before the first deadline
}
