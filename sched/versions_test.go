package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/state"
)

// versionView returns a view of servers a0, a1, ... of version v1 and b0, b1, ... of version v2, which
// is on trial.
func versionView(proven, trial, slots int, share float64) poolView {
	view := poolView{ramp: func(string) *Ramp { return nil }, floor: 0.7, trial: pick.Trial{Version: "v2", Share: share}}
	for i := range proven {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("a", i), Version: "v1", Slots: slots, Boot: 1})
	}
	for i := range trial {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("b", i), Version: "v2", Slots: slots, Boot: 1})
	}
	return view
}

func onTrial(p Placement) bool { return p.Target != "" && p.Target[0] == 'b' }

// firstAttempt returns a request that has second to be answered.
func firstAttempt(id uint64, now time.Time) Request {
	return Request{VM: "e", ID: id, Idempotent: id%3 > 0, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
}

func TestVersionOnTrialGetsExactlyItsShare(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.003, 0.05, 0.1, 0.5, 0.9} {
		for _, interval := range []time.Duration{time.Millisecond, 3 * time.Second} {
			s, view := newScheduler(), versionView(10, 10, 4, share)
			now, got := startTime, 0
			for id := range uint64(1000) {
				now = now.Add(interval)
				placed := s.place(firstAttempt(id, now), view, now)
				is.True(placed.Target != "")
				if onTrial(placed) {
					got++
				}
				is.Equal(got, int(share*float64(id+1)+1e-6)) // over any prefix
				s.done(placed.Request.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, now)
			}
		}
	}
}

// trialLoad is a load on two versions during a roll-out whose share goes up and down: in bursts over
// the capacity, with failures, retries, hedges, requests of other cells, servers that are cold, and
// entries that come back late.
type trialLoad struct {
	s       *scheduler
	view    poolView
	random  *rand.Rand
	now     time.Time
	running []Placement
	// due is the most that the version on trial may have got, got what it did.
	due float64
	got int
	// served counts the requests that were sent to a server.
	served int
}

// take notes a decision.
func (l *trialLoad) take(t *testing.T, p Placement) {
	t.Helper()
	if p.Target == "" && p.Forward == (Destination{}) {
		return
	}
	if isFirst := !p.Request.Arrived && len(p.Request.Avoid) == 0 && !p.Request.Hedge && !p.Request.Forwarded; isFirst {
		l.due += l.view.trial.Share
	}
	if p.Target == "" {
		return
	}
	l.served++
	l.running = append(l.running, p)
	if !onTrial(p) {
		return
	}
	l.got++
	if p.Request.Arrived || len(p.Request.Avoid) > 0 || p.Request.Hedge || p.Request.Forwarded {
		t.Fatal("a retry, a hedge or a request of another cell reached the version on trial")
	}
	if float64(l.got) > l.due+1e-6 {
		t.Fatalf("%d requests reached the version on trial, %.2f are due", l.got, l.due)
	}
}

// finish ends a running request. Failures are retried.
func (l *trialLoad) finish(t *testing.T) {
	at := l.random.IntN(len(l.running))
	p := l.running[at]
	l.running = slices.Delete(l.running, at, at+1)
	kinds := []health.Kind{health.OK, health.OK, health.OK, health.OK, health.Failed, health.TimedOut, health.Shed, health.Late, health.Unreachable, ""}
	kind := kinds[l.random.IntN(len(kinds))]
	l.s.done(p.Request.key(), health.Result{Kind: kind, Latency: 20 * time.Millisecond}, l.now)
	if kind.Bad() && len(p.Request.Avoid) < 3 {
		again := p.Request
		again.ID, again.Avoid, again.Arrived = l.random.Uint64(), append(slices.Clone(again.Avoid), p.Target), kind != health.Unreachable
		l.take(t, l.s.place(again, l.view, l.now))
	}
}

func (l *trialLoad) run(t *testing.T) {
	ramps := make(map[string]*Ramp)
	for i := range 4 {
		ramps[fmt.Sprint("b", i)] = NewRamp(2, 1, time.Second).WithRate(20)
	}
	l.view.ramp = func(name string) *Ramp { return ramps[name] }
	l.view.ejected = []string{"a1", "b5"}
	for step := range 4000 {
		l.now = l.now.Add(time.Duration(l.random.Int64N(int64(4 * time.Millisecond))))
		if step%500 == 0 {
			l.view.trial.Share = []float64{0.02, 0.1, 0.5, 0.9}[l.random.IntN(4)]
			l.view.targets = slices.Clone(l.view.targets)
		}
		switch l.random.IntN(10) {
		case 0, 1, 2, 3, 4:
			req := firstAttempt(uint64(step), l.now)
			req.Hedge, req.Forwarded = l.random.IntN(10) == 0, l.random.IntN(10) == 0
			req.Deadline = l.now.Add(time.Duration(l.random.Int64N(int64(time.Second))))
			l.take(t, l.s.place(req, l.view, l.now))
		case 5:
			l.s.overflow.report("other", CellLoad{VM: "e9", FreeSlots: l.random.IntN(3), Wait: time.Second, ReportedAt: l.now})
		case 6:
			for _, p := range l.s.tick(l.view, l.now) {
				l.take(t, p)
			}
		default:
			if len(l.running) > 0 {
				l.finish(t)
			}
			for _, p := range l.s.placeQueued(l.view, l.now) {
				l.take(t, p)
			}
		}
	}
}

func TestVersionOnTrialNeverGetsMoreThanItsShare(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(12) {
		random := rand.New(rand.NewPCG(seed, 11))
		l := trialLoad{
			s: newScheduler(retry.Ratio(1), retry.Slack(1000, func() int { return 1 })), view: versionView(1+random.IntN(10), 10, 2, 0.1),
			random: random, now: startTime,
		}
		l.run(t)
		is.True(l.served > 100)
		is.True(l.got > 0)
	}
}

// What the servers on trial have missed while they were full must not reach them at once.
func TestFullTrialServersLeaveTheirRequestsToOthers(t *testing.T) {
	is := is.New(t)
	s, view, now := newScheduler(), versionView(50, 1, 4, 0.5), startTime
	var held []Placement
	got := func(n int, from uint64) (onTrialCount int) {
		for id := from; id < from+uint64(n); id++ {
			p := s.place(firstAttempt(id, now), view, now)
			is.True(p.Target != "")
			if onTrial(p) {
				onTrialCount++
				held = append(held, p)
			}
		}
		return onTrialCount
	}
	is.Equal(got(100, 0), 4)
	for _, p := range held {
		s.done(p.Request.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, now)
	}
	now = now.Add(time.Second)
	is.True(got(4, 1000) <= 3)
}

// A request that the version on trial is not due waits or is rejected, whatever is free there.
func TestOtherRequestsDoNotUseFreeTrialServers(t *testing.T) {
	is := is.New(t)
	s, view := newScheduler(), versionView(1, 5, 1, 0.01)
	is.Equal(s.place(firstAttempt(1, startTime), view, startTime).Target, "a0")
	waiting := s.place(firstAttempt(2, startTime), view, startTime)
	is.True(waiting.Queued)
	is.Equal(len(s.placeQueued(view, startTime)), 0)
	urgent := firstAttempt(3, startTime)
	urgent.Deadline = startTime.Add(10 * time.Millisecond)
	rejected := s.place(urgent, view, startTime)
	is.Equal(rejected.Target+fmt.Sprint(rejected.Queued), "false")
	late := startTime.Add(990 * time.Millisecond) // the waiting one is sent to any server or rejected
	last := s.placeQueued(view, late)
	is.Equal(len(last), 1)
	is.Equal(last[0].Target, "")
	free, _ := s.load(view, late)
	is.Equal(free, 0) // nor do requests of other cells
	is.True(s.servedPerSecond(late) < 1.5/s.serviceTime.Seconds())
}

// A server that a roll-out left out for some time still runs what it had.
func TestServerThatComesBackHasItsSlotsInUse(t *testing.T) {
	is := is.New(t)
	s, both := newScheduler(), versionView(1, 1, 1, 0.5)
	is.Equal(s.place(firstAttempt(1, startTime), both, startTime).Target, "a0")
	moved := both
	moved.targets, moved.trial = slices.Clone(both.targets[1:]), pick.Trial{}
	s.sync(moved, startTime)
	both.targets = slices.Clone(both.targets)
	s.sync(both, startTime)
	is.Equal(s.byName["a0"].inUse, 1)
	s.done(Key{"e", 1}, health.Result{Kind: health.OK}, startTime)
	is.Equal(s.byName["a0"].inUse, 0)
}

func TestRequestIsRefusedWhileAllServersThatItMayUsePause(t *testing.T) {
	is := is.New(t)
	s, view := newScheduler(), versionView(1, 5, 4, 0.01)
	p := s.place(firstAttempt(1, startTime), view, startTime)
	s.done(p.Request.key(), health.Result{Kind: health.Shed, Pause: 100 * time.Millisecond}, startTime)
	refused := s.place(firstAttempt(2, startTime), view, startTime)
	is.Equal(refused.Target+fmt.Sprint(refused.Queued), "false")
	is.Equal(refused.RetryAfter, 100*time.Millisecond)
}

// A cell whose servers are all of the new version serves the share of what arrives there.
func TestCellWithOnlyTheVersionOnTrialServesItsShare(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.1, 0.5, 0.9} {
		s, view, now, got := newScheduler(), versionView(0, 10, 10, share), startTime, 0
		for id := range uint64(1000) {
			now = now.Add(50 * time.Millisecond)
			decided := append(s.tick(view, now), s.place(firstAttempt(id, now), view, now))
			for _, p := range decided {
				if onTrial(p) {
					got++
					s.done(p.Request.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, now)
				}
			}
			is.True(float64(got) <= share*float64(id+1)+1e-6)
		}
		is.True(float64(got) >= 0.95*share*1000)
	}
}

// The few requests of a version on trial reach all of its servers, and that they are few puts no
// request to a doubtful server.
func TestRequestsOnTrialSpreadOverItsServers(t *testing.T) {
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		s, view, now := newScheduler(), versionView(20, 20, 4, 0.1), startTime
		reached := make(map[string]int)
		for id := range uint64(800) {
			now = now.Add(5 * time.Millisecond)
			req := firstAttempt(id, now)
			req.Idempotent = idempotent
			p := s.place(req, view, now)
			reached[p.Target]++
			kind := health.OK
			if id%5 == 0 {
				kind = health.Failed
			}
			s.done(p.Request.key(), health.Result{Kind: kind, Latency: time.Millisecond}, now)
		}
		most := 0
		for i := range 20 {
			most = max(most, reached[fmt.Sprint("b", i)])
			is.True(reached[fmt.Sprint("b", i)] > 0 || !idempotent)
		}
		is.True(most <= 20)
	}
}

// A version on trial may have more servers than requests, and answer slowly. Neither may make the
// others look short of servers or slow.
func TestVersionOnTrialDoesNotCountForTheFloor(t *testing.T) {
	is := is.New(t)
	s, view, now := newScheduler(), versionView(20, 20, 4, 0.01), startTime
	for id := range uint64(1000) {
		now = now.Add(5 * time.Millisecond)
		p := s.place(firstAttempt(id, now), view, now)
		latency := 100 * time.Millisecond
		if onTrial(p) {
			latency = 5 * time.Second
		}
		s.done(p.Request.key(), health.Result{Kind: health.OK, Latency: latency}, now)
	}
	s.failureShare = 2 * floorFailureShare
	is.True(!s.belowFloor(view, now))
	is.True(s.serviceTime < 110*time.Millisecond)
	view.trial, view.targets = pick.Trial{}, slices.Clone(view.targets)
	s.sync(view, now)
	is.True(s.belowFloor(view, now))
}

func TestEndOfATrialLeavesNoCredit(t *testing.T) {
	is := is.New(t)
	s, view := newScheduler(), versionView(5, 5, 4, 0.99)
	p := s.place(firstAttempt(1, startTime), view, startTime)
	is.True(!onTrial(p))
	view.trial, view.targets = pick.Trial{Version: "v3", Share: 0.01}, slices.Clone(view.targets)
	is.True(!onTrial(s.place(firstAttempt(2, startTime), view, startTime)))
	is.True(s.versions.credit < 0.1)
}

func TestResultsAreCountedForTheVersionAndRoute(t *testing.T) {
	is := is.New(t)
	s, view := newScheduler(), versionView(10, 10, 100, 0.5)
	view.counter = canary.NewCounter("desk")
	now := startTime
	finish := func(id uint64, vm, route string, r health.Result) (version string) {
		req := firstAttempt(id, now)
		req.Route, req.VM = route, vm
		p := s.place(req, view, now)
		now = now.Add(time.Millisecond)
		s.done(p.Request.key(), r, now)
		return s.byName[p.Target].version
	}
	is.Equal(finish(1, "e1", "read", health.Result{Kind: health.OK, Latency: 100 * time.Millisecond}), "v1")
	is.Equal(finish(2, "e1", "read", health.Result{Kind: health.Failed}), "v2")
	is.Equal(finish(3, "e1", "read", health.Result{Kind: health.Shed}), "v1")
	is.Equal(finish(4, "e1", "write", health.Result{Kind: health.TimedOut}), "v2")
	s.setCutOff([]string{"e2"}, now)
	is.Equal(finish(5, "e2", "read", health.Result{Kind: health.OK, Latency: 100 * time.Millisecond}), "v1")
	is.Equal(finish(6, "e2", "read", health.Result{Kind: health.Failed}), "v2") // of an entry that is cut off
	list := view.counter.Tallies()
	is.Equal(len(list), 3)
	is.Equal(list[0].Version+list[1].Version+list[2].Version, "v1v2v2")
	is.Equal([]uint64{list[0].Results, list[0].Bad, list[1].Results, list[1].Bad, list[2].Bad}, []uint64{2, 0, 1, 1, 1})
	is.True(math.Abs(list[0].LogSum-2*math.Log(0.1)) < 1e-9)
	view.counter, view.targets = nil, slices.Clone(view.targets)
	finish(7, "e1", "read", health.Result{Kind: health.OK})
	is.Equal(list[0].Results, uint64(2)) // nothing is counted once the roll-out has ended
}

// The ejections that the floor allows are left to the servers that entries choose by themselves.
func TestVersionOnTrialSpendsNoEjections(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	settings := state.Pool{Name: "desk", Floor: 0.5}
	h.SetTargets(versionView(2, 2, 4, 0.5).targets, settings, 0)
	h.SetTrial(pick.Trial{Version: "v2", Share: 0.5}, nil)
	reportUnreachable(h, h.view.targets, startTime, "a1", "b0", "b1")
	status, _ := h.Evaluate(h.view.targets, settings, startTime)
	is.Equal(status.Ejected, []string{"a1"})
}

// Permits are for entries that choose by themselves, which do not use the version on trial.
func TestNoPermitsForTheVersionOnTrial(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	targets := versionView(1, 1, 4, 0.5).targets
	targets[1].Phase = fleet.Cold
	h.SetTargets(targets, state.Pool{ColdSlots: 1, Ramp: state.Duration(time.Minute)}, 0)
	h.SetTrial(pick.Trial{Version: "v2", Share: 0.5}, nil)
	h.Tick(startTime)
	_, granted := h.Permit(h.permitsFrom())
	is.True(!granted)
	h.SetTrial(pick.Trial{}, nil)
	h.Tick(startTime)
	name, _ := h.Permit(h.permitsFrom())
	is.Equal(name, "b0")
}
