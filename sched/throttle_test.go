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

const (
	limitWindow = 4 * time.Second
	// limitExcess and limitSlack are what operators tolerate in a window.
	limitExcess = 1.5
	limitSlack  = 5
	// limitContact is the time after the first answer with a limit from which it binds.
	limitContact = 3 * time.Second
)

// checkLimit checks that no window has more requests than a limit allows.
func checkLimit(t *testing.T, server string, perSecond float64, sent []time.Time) {
	t.Helper()
	allowed := int(limitExcess*perSecond*limitWindow.Seconds()) + limitSlack
	for i, from := range sent {
		if from.Sub(startTime) < limitContact {
			continue
		}
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%s got %d requests within %s from %s on, %d are allowed", server, n, limitWindow, from.Sub(startTime), allowed)
		}
	}
}

// limitLoad is a load on a pool of which some servers name a limit in every answer.
type limitLoad struct {
	servers, limited int
	// limit is the limit that a server names at a time.
	limit     func(at time.Duration) float64
	perSecond int
	// errorRate is the share of requests that fail, so that requests are sent again.
	errorRate float64
	// renewAt is when another VM becomes the holder, if not 0.
	renewAt time.Duration
}

const limitLoadDuration = 24 * time.Second

// run returns the times at which requests were sent to each server, and the number of
// requests that were rejected.
func (l limitLoad) run(seed uint64) (sent map[string][]time.Time, rejected int) {
	random := rand.New(rand.NewPCG(seed, 11))
	view := poolView{ramp: func(string) *Ramp { return nil }, floor: 0.7}
	limited := make(map[string]bool)
	for i := range l.servers {
		name := fmt.Sprintf("s%d", i)
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: 4, Boot: 1})
		limited[name] = i < l.limited
	}
	sent = make(map[string][]time.Time)
	s := newScheduler()
	var running []completion
	requests := make(map[Key]Request)
	var now time.Time
	start := func(p Placement) {
		switch {
		case p.Queued:
			return
		case p.Target == "":
			rejected++
			return
		}
		sent[p.Target] = append(sent[p.Target], now)
		c := completion{key: p.Request.key(), target: p.Target, kind: health.OK, latency: 150 * time.Millisecond}
		if random.Float64() < l.errorRate {
			c.kind = health.Failed
		}
		c.at = now.Add(c.latency)
		running = append(running, c)
		requests[c.key] = p.Request
	}
	const tick = 5 * time.Millisecond
	id := uint64(0)
	for at := time.Duration(0); at < limitLoadDuration; at += tick {
		now = startTime.Add(at)
		if l.renewAt > 0 && at == l.renewAt {
			known := s.limits()
			s = newScheduler()
			s.assumeLimits(known)
		}
		kept := running[:0]
		var again []Request
		for _, c := range running {
			if c.at.After(now) {
				kept = append(kept, c)
				continue
			}
			r := health.Result{Kind: c.kind, Latency: c.latency, Limit: health.Limit{Stated: health.LimitNone}}
			if limited[c.target] {
				r.Limit = health.Limit{Stated: health.LimitNamed, PerSecond: l.limit(at)}
			}
			s.done(c.key, r, now)
			if req := requests[c.key]; c.kind == health.Failed && req.Idempotent && !req.Arrived {
				req.ID, req.Arrived, req.Avoid = req.ID+1<<32, true, []string{c.target}
				again = append(again, req)
			}
		}
		running = kept
		for _, req := range again {
			start(s.place(req, view, now))
		}
		if at%period == 0 {
			for _, p := range s.tick(view, now) {
				start(p)
			}
		}
		for range random.IntN(2*l.perSecond*int(tick)/int(time.Second) + 1) {
			id++
			start(s.place(Request{
				VM: "e1", ID: id, Idempotent: id%3 == 0, Workspace: "w", Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}, view, now))
		}
	}
	return sent, rejected
}

func constantLimit(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// Servers that named a limit of one request per second got nine. Retries, overdue servers and
// a change of the holder must not pass the limit by either.
func TestServersGetNoMoreThanTheLimitTheyName(t *testing.T) {
	loads := map[string]limitLoad{
		"calm":           {servers: 27, limited: 19, limit: constantLimit(1), perSecond: 400},
		"failing":        {servers: 27, limited: 19, limit: constantLimit(1), perSecond: 400, errorRate: 0.2},
		"new holder":     {servers: 27, limited: 19, limit: constantLimit(1), perSecond: 400, renewAt: 13 * time.Second},
		"overload":       {servers: 27, limited: 19, limit: constantLimit(2.5), perSecond: 1200, errorRate: 0.05},
		"whole pool":     {servers: 12, limited: 12, limit: constantLimit(4), perSecond: 400},
		"below one":      {servers: 27, limited: 19, limit: constantLimit(0.25), perSecond: 400},
		"nothing at all": {servers: 27, limited: 19, limit: constantLimit(0), perSecond: 400},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				sent, _ := load.run(seed)
				for i := range load.limited {
					server := fmt.Sprintf("s%d", i)
					checkLimit(t, server, load.limit(0), sent[server])
				}
			}
		})
	}
}

// A limit is a part of what the server can do, and callers need that part.
func TestServersGetNearlyTheLimitTheyName(t *testing.T) {
	is := is.New(t)
	load := limitLoad{servers: 12, limited: 12, limit: constantLimit(4), perSecond: 400}
	sent, rejected := load.run(1)
	total := 0
	for _, times := range sent {
		total += len(times)
	}
	is.True(float64(total) >= 0.9*12*4*limitLoadDuration.Seconds())
	is.True(rejected > 0) // the rest is rejected, not sent
}

// A limit far above what a server can do must not slow it down, and one that changes with
// every answer must not let more through than its highest value.
func TestLimitsThatAreLargeOrChangeWithEveryAnswer(t *testing.T) {
	is := is.New(t)
	large := limitLoad{servers: 6, limited: 6, limit: constantLimit(1e9), perSecond: 400}
	none := limitLoad{servers: 6, limited: 0, limit: constantLimit(0), perSecond: 400}
	count := func(l limitLoad) (n int) {
		sent, _ := l.run(3)
		for _, times := range sent {
			n += len(times)
		}
		return n
	}
	is.True(float64(count(large)) >= 0.95*float64(count(none)))
	changing := limitLoad{servers: 6, limited: 3, perSecond: 400, limit: func(at time.Duration) float64 { return 1 + float64(at.Milliseconds()%3) }}
	sent, _ := changing.run(3)
	for i := range changing.limited {
		checkLimit(t, fmt.Sprintf("s%d", i), 3, sent[fmt.Sprintf("s%d", i)])
	}
}

// A limit binds for as long as the server names it. Answers overtake each other, so one to a
// request that was sent before the limit was named does not end it.
func TestLimitEndsWithTheFirstLaterAnswerWithoutIt(t *testing.T) {
	is := is.New(t)
	now := startTime
	srv := &server{name: "b1", slots: 4}
	srv.recordLimit(health.Limit{Stated: health.LimitNamed, PerSecond: 1}, now.Add(-time.Second), now)
	srv.recordLimit(health.Limit{Stated: health.LimitNone}, now.Add(-time.Second), now.Add(time.Millisecond))
	is.True(srv.throttle != nil)
	srv.recordLimit(health.Limit{}, now.Add(time.Second), now.Add(2*time.Second)) // no answer says nothing
	is.True(srv.throttle != nil)
	is.True(srv.hasFreeSlot(now.Add(2 * time.Second)))
	srv.recordLimit(health.Limit{Stated: health.LimitNone}, now.Add(time.Second), now.Add(2*time.Second))
	is.True(srv.throttle == nil)
}

// A request that was not sent leaves its token to the next one.
func TestUnsentRequestUsesNothingOfALimit(t *testing.T) {
	is := is.New(t)
	now := startTime
	s := newScheduler()
	view := poolView{targets: []fleet.Target{{Name: "b1", Slots: 4, Boot: 1}}, ramp: func(string) *Ramp { return nil }}
	s.assumeLimits(map[string]float64{"b1": 1})
	place := func(id uint64) Placement {
		return s.place(Request{VM: "e1", ID: id, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, view, now)
	}
	is.Equal(place(1).Target, "")
	now = now.Add(time.Second)
	is.Equal(s.tick(view, now)[0].Target, "b1")
	s.done(Key{"e1", 1}, health.Result{}, now)
	is.Equal(place(2).Target, "b1")
	is.Equal(place(3).Target, "")
}

// Every entry must hear at once that a server names a limit, but not of every new value.
func TestChangedRatesOfLimitsArePublishedRarely(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := newHolder(now)
	limited := func(perSecond float64) Status { return Status{Limits: map[string]float64{"b1": perSecond}} }
	is.True(h.PublishDue(limited(1), false, now))
	published := 0
	for i := range 100 {
		now = now.Add(period)
		if h.PublishDue(limited(float64(2+i)), false, now) {
			published++
		}
	}
	is.True(published >= 1 && published <= 4)
	is.True(h.PublishDue(Status{}, false, now.Add(period)))
}

// Permits for a cold server that names a limit count against both.
func TestPermitsOfAColdServerStayWithinItsLimit(t *testing.T) {
	is := is.New(t)
	now := startTime
	h := newHolder(now)
	h.scheduler.assumeLimits(map[string]float64{"b1": 2})
	h.SetTargets([]fleet.Target{{Name: "b1", Slots: 4, Boot: 1, Phase: fleet.Cold}}, state.Pool{ColdSlots: 100, ColdRate: 50}, 0)
	h.scheduler.sync(h.view, now)
	var sent []time.Time
	for at := h.permitsFrom(); at.Sub(h.permitsFrom()) < 20*time.Second; at = at.Add(10 * time.Millisecond) {
		if name, ok := h.Permit(at); ok {
			sent = append(sent, at)
			h.PermitDone(name, true, at)
		}
	}
	is.True(len(sent) > 0)
	checkLimit(t, "b1", 2, sent)
}
