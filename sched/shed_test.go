package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

// shedLoad is a load on servers that reject part of their requests at once.
type shedLoad struct {
	servers, shedding, silent int
	// share is the share of the requests that the shedding servers reject.
	share float64
}

// run returns the requests served, those refused after two attempts, and the attempts at
// silent servers.
func (l shedLoad) run(seed uint64) (served, refused, lost int) {
	const service = 300 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 17))
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for i := range l.servers {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 6, Boot: 1})
	}
	s := newScheduler(retry.Ratio(0.15), retry.Slack(60, func() int { return 1 }))
	var running []completion
	now := startTime
	var start func(p Placement)
	start = func(p Placement) {
		req := p.Request
		var server int
		fmt.Sscanf(p.Target, "s%d", &server)
		switch {
		case p.Queued:
		case p.Target == "":
			refused++
		case server >= l.servers-l.silent:
			lost++
			running = append(running, completion{at: now.Add(250 * time.Millisecond), key: req.key(), kind: health.Unreachable})
		case server < l.shedding && random.Float64() < l.share:
			s.done(req.key(), health.Result{Kind: health.Shed, Latency: 2 * time.Millisecond}, now)
			if req.Arrived {
				refused++
				return
			}
			req.ID, req.Avoid, req.Arrived = req.ID+1_000_000, append(req.Avoid, p.Target), true
			start(s.place(req, view, now))
		default:
			served++
			running = append(running, completion{at: now.Add(service), key: req.key(), kind: health.OK, latency: service})
		}
	}
	for id := uint64(0); now.Sub(startTime) < 8*time.Second; now = now.Add(time.Millisecond) {
		running = finishDue(s, running, now)
		for _, p := range s.placeQueued(view, now) {
			start(p)
		}
		if random.Float64() < 0.15 {
			id++
			start(s.place(Request{VM: fmt.Sprint("e", id%40), ID: id, Idempotent: random.IntN(4) == 0, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, view, now))
		}
	}
	return served, refused, lost
}

// All servers reject half of the requests for some seconds, and two are silent. A rejection
// says nothing about the requests that a server accepts: taken for failures, rejections made
// the silent servers look best, which cost up to 53 attempts a second of 250 ms each.
func TestServersThatRejectSomeRequestsStayInUse(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		served, refused, lost := shedLoad{servers: 25, shedding: 23, silent: 2, share: 0.5}.run(seed)
		t.Logf("seed %d: %d served, %d refused, %d sent to silent servers", seed, served, refused, lost)
		is.True(lost < 8*2*2) // two a second for each
		is.True(served > refused)
	}
}

// Three servers refuse all requests at once, so that they always have free slots. They must
// not draw the requests, nor use up the retry budget (incident inc-a16a: 356 of 356 refused
// attempts at three servers).
func TestServersThatRejectEverythingAreAvoided(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		served, refused, _ := shedLoad{servers: 12, shedding: 3, share: 1}.run(seed)
		t.Logf("seed %d: %d served, %d refused", seed, served, refused)
		is.True(refused < served/100)
	}
}
