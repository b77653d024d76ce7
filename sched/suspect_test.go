package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
)

// deadlyLoad is a load in which one request, repeated by its caller, crashes every server that
// runs it. The server refuses connections until it is back.
type deadlyLoad struct {
	servers, slots    int
	perSecond         float64
	deadlyPerSecond   float64
	service, survival time.Duration
	downtime          time.Duration
	duration          time.Duration
	// popular is the share of the other requests that are copies of one request.
	popular float64
}

type deadlyResult struct {
	crashes, requests, failed int
}

func (l deadlyLoad) run(seed uint64) deadlyResult {
	random := rand.New(rand.NewPCG(seed, 31))
	view := poolView{ramp: func(string) *Ramp { return nil }}
	back := make(map[string]time.Time)
	for i := range l.servers {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: l.slots, Boot: 1})
	}
	s := newScheduler()
	var result deadlyResult
	deadly := guard.PrintOf("w", "GET", "/deadly", 0, nil)
	popular := guard.PrintOf("w", "GET", "/popular", 0, nil)
	type run struct {
		completion
		request Request
	}
	var running []run
	now := startTime
	start := func(p Placement) {
		if p.Target == "" {
			if !p.Queued && p.Request.Print != deadly {
				result.failed++
			}
			return
		}
		c := completion{key: p.Request.key(), target: p.Target, kind: health.OK, latency: l.service}
		switch {
		case now.Before(back[p.Target]):
			c.kind, c.latency = health.Unreachable, time.Millisecond
		case p.Request.Print == deadly:
			c.kind, c.latency = health.Torn, l.survival
		}
		c.at = now.Add(c.latency)
		running = append(running, run{c, p.Request})
	}
	// crash ends all requests that run at a server.
	crash := func(target string) {
		result.crashes++
		back[target] = now.Add(l.downtime)
		for i, r := range running {
			if r.target == target && r.kind != health.Unreachable {
				running[i].kind, running[i].at = health.Torn, now
			}
		}
	}
	id := uint64(0)
	place := func(print guard.Print, arrived bool, avoid []string) {
		id++
		start(s.place(Request{
			VM: fmt.Sprint("e", random.IntN(40)), ID: id, Idempotent: true, Workspace: "w", Print: print, Avoid: avoid, Arrived: arrived,
			Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
		}, view, now))
	}
	for step := time.Millisecond; now.Sub(startTime) < l.duration; now = now.Add(step) {
		for _, r := range running {
			if r.kind == health.Torn && r.request.Print == deadly && !r.at.After(now) && !now.Before(back[r.target]) {
				crash(r.target)
			}
		}
		var ended []run
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.at.After(now) {
				return false
			}
			ended = append(ended, r)
			return true
		})
		for _, r := range ended {
			s.done(r.key, health.Result{Kind: r.kind, Latency: r.latency}, now)
			switch {
			case r.kind == health.OK:
			case len(r.request.Avoid) < 3:
				place(r.request.Print, r.kind == health.Torn, append(slices.Clone(r.request.Avoid), r.target))
			case r.request.Print != deadly:
				result.failed++
			}
		}
		for _, p := range s.placeQueued(view, now) {
			start(p)
		}
		if random.Float64() < l.perSecond*step.Seconds() {
			result.requests++
			print := guard.PrintOf("w", "GET", fmt.Sprint("/", id), 0, nil)
			if random.Float64() < l.popular {
				print = popular
			}
			place(print, false, nil)
		}
		if random.Float64() < l.deadlyPerSecond*step.Seconds() {
			place(deadly, false, nil)
		}
		s.guard.Expire(now)
	}
	return result
}

// One request crashed server after server: seventy in 20 s, and a fifth of the requests of
// others were not served.
func TestRequestThatCrashesServersIsKeptFromFurtherOnes(t *testing.T) {
	for seed := range uint64(10) {
		for _, popular := range []float64{0, 0.5} {
			result := deadlyLoad{
				servers: 27, slots: 4, perSecond: 165, deadlyPerSecond: 2, service: 170 * time.Millisecond, survival: 60 * time.Millisecond,
				downtime: 3300 * time.Millisecond, duration: 20 * time.Second, popular: popular,
			}.run(seed)
			if result.crashes > 3 {
				t.Errorf("seed %d, %.1f popular: %d servers crashed", seed, popular, result.crashes)
			}
			if share := float64(result.failed) / float64(result.requests); share > 0.02 {
				t.Errorf("seed %d, %.1f popular: %d of %d requests of others failed", seed, popular, result.failed, result.requests)
			}
		}
	}
}

// Copies of a suspect wait in the queue while one of them runs. When that crashes its server as
// well, those in the queue are refused, not sent.
func TestQueuedCopiesOfAQuarantinedRequestAreRefused(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for i := range 4 {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 4, Boot: 1})
	}
	s := newScheduler()
	print := guard.PrintOf("w", "GET", "/deadly", 0, nil)
	now := startTime
	place := func(id uint64, hedge bool) Placement {
		return s.place(Request{
			VM: "e", ID: id, Print: print, Workspace: "w", Hedge: hedge, Objective: now.Add(time.Second), Deadline: now.Add(time.Second),
		}, view, now)
	}
	is.True(place(1, false).Target != "")
	s.done(Key{"e", 1}, health.Result{Kind: health.Torn}, now.Add(50*time.Millisecond))
	now = now.Add(60 * time.Millisecond)
	is.True(place(2, false).Target != "")
	is.True(place(3, false).Queued)
	is.True(place(4, true).RetryAfter > 0) // a hedge would wait for its own first attempt
	is.Equal(len(s.placeQueued(view, now)), 0)
	now = now.Add(50 * time.Millisecond)
	s.done(Key{"e", 2}, health.Result{Kind: health.Torn}, now)
	placements := s.placeQueued(view, now)
	is.Equal(len(placements), 1)
	is.True(placements[0].Quarantined)
	is.True(place(5, false).Quarantined)
	is.Equal(len(s.copies), 0)
}

// A suspect that turns out to be innocent runs as often as before.
func TestAnsweredSuspectRunsConcurrentlyAgain(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }, targets: []fleet.Target{{Name: "a", Slots: 4, Boot: 1}, {Name: "b", Slots: 4, Boot: 1}}}
	s := newScheduler()
	print := guard.PrintOf("w", "GET", "/popular", 0, nil)
	now := startTime
	place := func(id uint64) Placement {
		return s.place(Request{VM: "e", ID: id, Idempotent: true, Print: print, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}, view, now)
	}
	is.True(place(1).Target != "")
	s.done(Key{"e", 1}, health.Result{Kind: health.Torn}, now)
	now = now.Add(time.Millisecond)
	is.True(place(2).Target != "")
	is.True(place(3).Queued)
	s.done(Key{"e", 2}, health.Result{Kind: health.OK, Latency: time.Millisecond}, now.Add(time.Millisecond))
	is.True(s.placeQueued(view, now.Add(time.Millisecond))[0].Target != "")
	is.True(place(4).Target != "")
}
