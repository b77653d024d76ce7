package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/state"
)

// coldLoad is a load on a pool whose servers turn cold one after the other, without a restart.
// Their answers say so at once, and their announcements later or never. Some of them fail most of
// their requests for a while.
type coldLoad struct {
	servers   int
	slots     int // of each server
	perSecond float64
	service   time.Duration
	rate      float64       // requests per second that a cold server takes
	warmUp    time.Duration // time for which a server is cold
	failing   float64       // share of servers that fail for a while
	duration  time.Duration
}

// coldServer is a simulated server and the arrivals of requests while it is cold.
type coldServer struct {
	coldAt, announcedAt, failsFrom, failsUntil time.Time
	arrivals                                   []time.Time
}

// run returns the most arrivals at a cold server within a second.
func (l coldLoad) run(seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 40))
	within := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	settings := state.Pool{Name: "p", Floor: 0.7, ColdSlots: 1 << 20, ColdRate: l.rate, Ramp: state.Duration(l.warmUp)}
	servers := make(map[string]*coldServer)
	var targets []fleet.Target
	for i := range l.servers {
		name := fmt.Sprint("s", i)
		s := &coldServer{coldAt: startTime.Add(2*time.Second + within(500*time.Millisecond))}
		s.announcedAt = s.coldAt.Add(within(2 * time.Second))
		if random.Float64() < l.failing {
			s.failsFrom = s.coldAt.Add(within(2*time.Second) - time.Second)
			s.failsUntil = s.failsFrom.Add(within(2 * time.Second))
		}
		servers[name] = s
		targets = append(targets, fleet.Target{Name: name, Slots: l.slots, Phase: fleet.Warm, Boot: 1})
	}
	h := newHolder(startTime)
	h.SetTargets(targets, settings, 0)
	type arrival struct {
		completion
		cold bool
	}
	var running []arrival
	now := startTime
	start := func(p Placement) {
		if p.Target == "" {
			return
		}
		s := servers[p.Target]
		at := now.Add(within(5 * time.Millisecond))
		a := arrival{completion: completion{key: p.Request.key(), target: p.Target, kind: health.OK}}
		a.latency = l.service/2 + within(l.service)
		if a.cold = !at.Before(s.coldAt) && at.Before(s.coldAt.Add(l.warmUp)); a.cold {
			s.arrivals = append(s.arrivals, at)
		}
		if !at.Before(s.failsFrom) && at.Before(s.failsUntil) && random.Float64() < 0.8 {
			a.kind = health.Failed
		}
		a.at = at.Add(a.latency)
		running = append(running, a)
	}
	for step, id := 0, uint64(0); now.Sub(startTime) < l.duration; step, now = step+1, now.Add(time.Millisecond) {
		running = slices.DeleteFunc(running, func(a arrival) bool {
			if a.at.After(now) {
				return false
			}
			r := health.Result{Kind: a.kind, Latency: a.latency, Cold: a.cold && a.kind == health.OK}
			h.scheduler.done(a.key, r, now)
			report := health.Report{Target: a.target, Cold: r.Cold}
			report.Stats.Add(r)
			h.Report("e", []health.Report{report}, now)
			if i := slices.IndexFunc(targets, func(t fleet.Target) bool { return t.Name == a.target }); r.Cold {
				h.MarkCold(targets[i], settings)
			}
			return true
		})
		if step%100 == 0 {
			announced := slices.Clone(targets)
			for i, t := range announced {
				s := servers[t.Name]
				if announced[i].Phase = fleet.Warm; now.After(s.announcedAt) && now.Before(s.coldAt.Add(l.warmUp)) {
					announced[i].Phase = fleet.Cold
				}
			}
			if !slices.Equal(announced, targets) {
				targets = announced
				h.SetTargets(targets, settings, 0)
			}
			h.Evaluate(targets, settings, now)
			for _, p := range h.scheduler.tick(h.view, now) {
				start(p)
			}
		}
		for _, p := range h.scheduler.placeQueued(h.view, now) {
			start(p)
		}
		for range int(l.perSecond/1000 + random.Float64()) {
			id++
			p := h.scheduler.place(Request{
				VM: "e", ID: id, Idempotent: random.IntN(2) == 0,
				Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}, h.view, now)
			if !p.Queued {
				start(p)
			}
		}
	}
	most := 0
	for _, s := range servers {
		slices.SortFunc(s.arrivals, time.Time.Compare)
		for first, last := 0, 0; last < len(s.arrivals); last++ {
			for s.arrivals[last].Sub(s.arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against a server that turns cold while it works, and gets the rate of a cold server on top
// of what it got as a warm one in the same second (FAILBACK).
func TestServersThatTurnColdGetNoMoreThanTheRateOfColdOnes(t *testing.T) {
	testColdLoad(t, coldLoad{perSecond: 240})
	testColdLoad(t, coldLoad{perSecond: 240, failing: 0.5})
}

// testColdLoad runs a load for some seeds.
func testColdLoad(t *testing.T, load coldLoad) {
	t.Helper()
	const excess, slack = 1.5, 5 // of the platform's rule
	load.servers, load.slots, load.service = 6, 16, 130*time.Millisecond
	load.rate, load.warmUp, load.duration = 9.2, 4*time.Second, 6*time.Second
	for seed := range uint64(4) {
		if most := load.run(seed); float64(most) > load.rate*excess+slack {
			t.Errorf("failing %g, seed %d: %d requests in a second", load.failing, seed, most)
		}
	}
}

var coldSettings = state.Pool{Name: "p", ColdSlots: 1 << 20, ColdRate: 9, Ramp: state.Duration(3 * time.Second)}

// grants returns how many requests the ramp of a server allows at once.
func (h *Holder) grants(name string, now time.Time) int {
	n := 0
	for n < 100 && h.ramps[name] != nil && h.ramps[name].Grant(now) {
		n++
	}
	return n
}

// Guards against a server that gets the rate of a cold one once more when it is ejected (FAILBACK).
func TestEjectionLeavesAColdServerItsRate(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	var targets []fleet.Target
	for _, name := range []string{"a", "b", "c", "d"} {
		targets = append(targets, fleet.Target{Name: name, Slots: 40, Phase: fleet.Warm, Boot: 1})
	}
	targets[0].Phase = fleet.Cold
	h.SetTargets(targets, coldSettings, 0)
	now := startTime.Add(2 * rateWindow)
	is.Equal(h.grants("a", now), 9)
	var ejected []health.Ejection
	for end := now.Add(rateWindow); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for _, target := range targets {
			report := health.Report{Target: target.Name}
			for range 10 {
				r := health.Result{Kind: health.OK, Latency: 50 * time.Millisecond}
				if target.Name == "a" {
					r.Kind = health.Failed
				}
				report.Stats.Add(r)
			}
			h.Report("e", []health.Report{report}, now)
		}
		_, decision := h.Evaluate(targets, coldSettings, now)
		ejected = append(ejected, decision.Ejected...)
		is.True(h.ramps["a"] != nil) // it is still cold
		is.Equal(h.grants("a", now), 0)
	}
	is.Equal(len(ejected), 1)
	is.Equal(h.grants("a", now), 9)
}

// Guards against a server without a limit that was readmitted just before or after its answers say
// that it is cold (FAILBACK).
func TestProbationDoesNotReplaceTheRateOfAColdServer(t *testing.T) {
	is := is.New(t)
	targets := []fleet.Target{{Name: "a", Slots: 40, Phase: fleet.Warm, Boot: 1}}
	now := startTime.Add(2 * rateWindow)
	for _, steps := range [][]func(*Holder){
		{func(h *Holder) { h.startProbation("a", targets, coldSettings) }, func(h *Holder) { h.MarkCold(targets[0], coldSettings) }},
		{func(h *Holder) { h.MarkCold(targets[0], coldSettings) }, func(h *Holder) { h.startProbation("a", targets, coldSettings) }},
	} {
		h := newHolder(startTime)
		h.SetTargets(targets, coldSettings, 0)
		for _, step := range steps {
			step(h)
		}
		is.Equal(h.grants("a", now), 9)
	}
}
