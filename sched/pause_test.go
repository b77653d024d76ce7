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

const (
	// pauseContact is the time after a rejection from which its pause binds, and pauseSlack the
	// number of requests that may arrive all the same.
	pauseContact = 500 * time.Millisecond
	pauseSlack   = 2
)

// fullLoad is a load on a pool in which some servers reject all requests and name a pause.
type fullLoad struct {
	entries, servers, full int
	perSecond              float64
	pause                  time.Duration
	// only is the one entry that is rejected, or -1 for all.
	only int
}

// run returns the arrivals at servers that reject, by server and entry, the number of requests,
// and how many found no server.
func (l fullLoad) run(t *testing.T, seed uint64) (arrivals map[string]map[string][]time.Time, requests, refused int) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 41))
	view := poolView{ramp: func(string) *Ramp { return nil }, floor: 0.7}
	arrivals = make(map[string]map[string][]time.Time)
	for i := range l.servers {
		name := fmt.Sprint("s", i)
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: 4, Boot: 1})
		arrivals[name] = make(map[string][]time.Time)
	}
	s := newScheduler()
	now := startTime
	type event struct {
		at time.Time
		p  Placement
		r  health.Result
	}
	var running []event
	start := func(p Placement) {
		if p.Target == "" {
			if !p.Queued {
				refused++
			}
			return
		}
		var n, entry int
		fmt.Sscanf(p.Target, "s%d", &n)
		fmt.Sscanf(p.Request.VM, "e%d", &entry)
		r := health.Result{Kind: health.OK, Latency: 170 * time.Millisecond}
		if n < l.full && (l.only < 0 || l.only == entry) {
			r = health.Result{Kind: health.Shed, Latency: 2 * time.Millisecond, Pause: l.pause}
			arrivals[p.Target][p.Request.VM] = append(arrivals[p.Target][p.Request.VM], now)
		} else if n < l.full {
			arrivals[p.Target]["served"] = append(arrivals[p.Target]["served"], now)
		}
		running = append(running, event{now.Add(r.Latency), p, r})
	}
	for id := uint64(0); now.Sub(startTime) < 12*time.Second; now = now.Add(time.Millisecond) {
		var left []event
		due := running
		running = nil
		for _, e := range due {
			if e.at.After(now) {
				left = append(left, e)
				continue
			}
			s.done(e.p.Request.key(), e.r, now)
			if e.r.Kind == health.Shed && len(e.p.Request.Avoid) < 2 {
				again := e.p.Request
				id++
				again.ID, again.Avoid = id, append(again.Avoid, e.p.Target)
				start(s.place(again, view, now))
			} else if e.r.Kind == health.Shed {
				refused++
			}
		}
		running = append(running, left...)
		for _, p := range s.tick(view, now) {
			start(p)
		}
		if random.Float64() < l.perSecond*0.001 {
			id++
			requests++
			start(s.place(Request{
				VM: fmt.Sprint("e", random.IntN(l.entries)), ID: id, Idempotent: random.Float64() < 0.4,
				Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}, view, now))
		}
	}
	return arrivals, requests, refused
}

// checkPauses checks that hardly any request reaches a server from an entry while the server wants
// none from it.
func (l fullLoad) checkPauses(t *testing.T, arrivals map[string]map[string][]time.Time) {
	t.Helper()
	for server, byEntry := range arrivals {
		for entry, times := range byEntry {
			if entry == "served" {
				continue
			}
			for i, rejected := range times {
				n := 0
				for _, at := range times[i+1:] {
					if since := at.Sub(rejected); since >= pauseContact && since < l.pause {
						n++
					}
				}
				if n > pauseSlack {
					t.Fatalf("%s got %d requests of %s within the pause that it had named", server, n, entry)
				}
			}
		}
	}
}

// Servers that are full turned requests away and named a pause, and got as many as before.
func TestServersThatNameAPauseGetNothingFromThatEntry(t *testing.T) {
	for seed := range uint64(5) {
		load := fullLoad{entries: 8, servers: 20, full: 6, perSecond: 200, pause: 3 * time.Second, only: -1}
		arrivals, requests, refused := load.run(t, seed)
		load.checkPauses(t, arrivals)
		if share := float64(refused) / float64(requests); share > 0.02 {
			t.Errorf("seed %d: %d of %d requests were refused while 14 servers had room", seed, refused, requests)
		}
	}
}

// A server may be full for one entry only. The others go on using it.
func TestPauseOfOneEntryDoesNotStarveTheServer(t *testing.T) {
	is := is.New(t)
	load := fullLoad{entries: 8, servers: 6, full: 6, perSecond: 60, pause: 4 * time.Second, only: 3}
	arrivals, _, _ := load.run(t, 1)
	load.checkPauses(t, arrivals)
	for _, byEntry := range arrivals {
		is.True(len(byEntry["served"]) > 50)
	}
}

// If all servers want nothing from an entry, its callers hear at once when to come back.
func TestRequestsAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }, targets: []fleet.Target{{Name: "a", Slots: 4, Boot: 1}, {Name: "b", Slots: 4, Boot: 1}}}
	s := newScheduler()
	now := startTime
	id := uint64(0)
	place := func(vm string) Placement {
		id++
		return s.place(Request{VM: vm, ID: id, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second)}, view, now)
	}
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		p := place("e")
		is.True(p.Target != "")
		s.done(p.Request.key(), health.Result{Kind: health.Shed, Pause: pause}, now)
	}
	refused := place("e")
	is.Equal(refused.Target, "")
	is.True(!refused.Queued)
	is.Equal(refused.RetryAfter, 300*time.Millisecond)
	is.True(place("other").Target != "")
	now = now.Add(300 * time.Millisecond)
	is.True(place("e").Target != "")

	// A server that has started again knows nothing of the pause.
	view.targets = []fleet.Target{{Name: "a", Slots: 4, Boot: 2}, {Name: "b", Slots: 4, Boot: 2}}
	is.True(s.byName["b"].paused(s.entry("e"), now))
	is.True(place("e").Target != "")
	is.True(!s.byName["b"].paused(s.entry("e"), now))
}
