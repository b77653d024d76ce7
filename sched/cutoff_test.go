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
)

// strandedLoad is a load on a pool while a part of the entries is cut off from all servers. An
// entry that is cut off gets no answer until it has noticed.
type strandedLoad struct {
	entries, cutOff int
	servers, slots  int
	perSecond       float64
	service         time.Duration
	// noticed is the time after the cut at which the entries have announced it. Their requests
	// go through relays from then on.
	noticed  time.Duration
	announce bool
}

// run returns the requests of entries that are not cut off and how many of these were rejected,
// in the four seconds after the entries have noticed the cut.
func (l strandedLoad) run(seed uint64) (requests, rejected int) {
	random := rand.New(rand.NewPCG(seed, 37))
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for i := range l.servers {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: l.slots, Boot: 1})
	}
	s := newScheduler()
	cutAt := startTime.Add(4 * time.Second)
	noticedAt := cutAt.Add(l.noticed)
	var running []completion
	var cutOff []string
	now := startTime
	start := func(p Placement) {
		if p.Target == "" {
			if !p.Queued && !slices.Contains(cutOff, p.Request.VM) && now.After(noticedAt) {
				rejected++
			}
			return
		}
		c := completion{key: p.Request.key(), target: p.Target, kind: health.OK, latency: l.service}
		var n int
		fmt.Sscanf(p.Request.VM, "e%d", &n)
		if n < l.cutOff && !now.Before(cutAt) && now.Before(noticedAt) {
			c.kind, c.latency = health.TimedOut, 1200*time.Millisecond
		}
		c.at = now.Add(c.latency)
		running = append(running, c)
	}
	for id := uint64(0); now.Before(noticedAt.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		running = finishDue(s, running, now)
		if l.announce && cutOff == nil && !now.Before(noticedAt) {
			for i := range l.cutOff {
				cutOff = append(cutOff, fmt.Sprint("e", i))
			}
			s.setCutOff(cutOff, now)
		}
		for _, p := range s.tick(view, now) {
			start(p)
		}
		if random.Float64() < l.perSecond*0.001 {
			id++
			vm := fmt.Sprint("e", random.IntN(l.entries))
			if now.After(noticedAt) && !slices.Contains(cutOff, vm) {
				requests++
			}
			start(s.place(Request{
				VM: vm, ID: id, Idempotent: random.Float64() < 0.3, Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}, view, now))
		}
	}
	return requests, rejected
}

// The others were refused for want of a trusted server, because the requests of entries that were
// cut off had failed at all of them.
func TestEntriesThatAreCutOffDoNotCostTheOthersTheirServers(t *testing.T) {
	load := strandedLoad{
		entries: 40, cutOff: 24, servers: 30, slots: 3, perSecond: 170, service: 180 * time.Millisecond, noticed: time.Second,
	}
	withoutAnnouncement := 0
	for seed := range uint64(5) {
		load.announce = false
		_, rejected := load.run(seed)
		withoutAnnouncement += rejected
		load.announce = true
		requests, rejected := load.run(seed)
		if share := float64(rejected) / float64(requests); share > 0.02 {
			t.Errorf("seed %d: %d of %d requests of the others were rejected", seed, rejected, requests)
		}
	}
	t.Logf("%d rejected without the announcement", withoutAnnouncement)
}

// A server that really fails stays under suspicion if an entry that is not cut off says so.
func TestFailuresOfOtherEntriesAreNotTakenBack(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }, targets: []fleet.Target{{Name: "a", Slots: 4, Boot: 1}, {Name: "b", Slots: 4, Boot: 1}}}
	s := newScheduler()
	s.sync(view, startTime)
	now := startTime.Add(time.Second)
	fail := func(vm, server string) {
		s.observe(vm, assignment{server: s.byName[server], since: now}, health.Result{Kind: health.TimedOut}, now)
	}
	fail("cut", "a")
	fail("cut", "b")
	fail("well", "b")
	s.setCutOff([]string{"cut"}, now.Add(500*time.Millisecond))
	is.True(s.byName["a"].estimate.Probability(s.model, now) < maxGrayNonIdempotent)
	is.True(!s.byName["a"].silent)
	is.True(s.byName["b"].estimate.Probability(s.model, now) > maxGrayNonIdempotent)
	is.True(s.byName["b"].silent)
}
