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

// cellsLoad is a load on the cells of a pool that is not spread like the servers.
type cellsLoad struct {
	cells, servers, slots int
	// perSecond holds the requests per second of the entries near each cell.
	perSecond []float64
	service   time.Duration
	deadline  time.Duration
	overflow  bool
	admission AdmissionMode
}

// cellsResult counts the results of such a load.
type cellsResult struct {
	sent, served, rejected int
	// idleWhileWaiting is the time, in milliseconds, during which a request waited in one
	// cell while slots were free in another.
	idleWhileWaiting int
}

// run simulates the load with one scheduler for each cell.
func (l cellsLoad) run(seed uint64) cellsResult {
	random := rand.New(rand.NewPCG(seed, 13))
	var result cellsResult
	schedulers := make([]*scheduler, l.cells)
	views := make([]poolView, l.cells)
	names := make(map[string]int)
	for i := range schedulers {
		schedulers[i] = newScheduler()
		if l.admission == AdmissionWork {
			schedulers[i].admission = newAdmission()
		}
		views[i].ramp = func(string) *Ramp { return nil }
		names[fmt.Sprint("c", i)] = i
		for j := range l.servers {
			views[i].targets = append(views[i].targets, fleet.Target{Name: fmt.Sprintf("s%d.%d", i, j), Slots: l.slots, Boot: 1})
		}
	}
	type run struct {
		at   time.Time
		cell int
		key  Key
	}
	var running []run
	now := startTime
	var handle func(cell int, placements ...Placement)
	handle = func(cell int, placements ...Placement) {
		for _, p := range placements {
			switch {
			case p.Forward.Cell != "":
				req := p.Request
				req.Forwarded = true
				at := names[p.Forward.Cell]
				handle(at, schedulers[at].place(req, views[at], now))
			case p.Target != "":
				result.served++
				running = append(running, run{now.Add(l.service), cell, p.Request.key()})
			case !p.Queued:
				result.rejected++
			}
		}
	}
	id := uint64(0)
	for ; now.Sub(startTime) < 10*time.Second; now = now.Add(time.Millisecond) {
		running = slices.DeleteFunc(running, func(r run) bool {
			if r.at.After(now) {
				return false
			}
			schedulers[r.cell].done(r.key, health.Result{Kind: health.OK, Latency: l.service}, now)
			return true
		})
		tick := now.Sub(startTime)%period == 0
		free, waiting := 0, 0
		for i, s := range schedulers {
			if tick {
				handle(i, s.tick(views[i], now)...)
			} else {
				handle(i, s.placeQueued(views[i], now)...)
			}
			slots, wait := s.load(views[i], now)
			free, waiting = free+slots, waiting+len(s.queue)
			if s.admission != nil {
				waiting += s.admission.order.len()
			}
			if l.overflow && now.Sub(startTime)%loadInterval == 0 {
				for j, other := range schedulers {
					if i != j {
						other.overflow.report(fmt.Sprint("c", i), CellLoad{FreeSlots: slots, Wait: wait, ReportedAt: now})
					}
				}
			}
		}
		if free > 0 && waiting > 0 {
			result.idleWhileWaiting++
		}
		for i, s := range schedulers {
			if random.Float64() >= l.perSecond[i]/1000 {
				continue
			}
			id++
			result.sent++
			handle(i, s.place(Request{VM: fmt.Sprint("e", i), ID: id, Objective: now.Add(l.deadline), Deadline: now.Add(l.deadline)}, views[i], now))
		}
	}
	return result
}

// Callers of one data centre send twice the requests that its servers can run, while
// those of the others are half idle. The fleet as a whole has 1.25 times the slots needed.
func TestAFullCellUsesTheSlotsOfTheOthers(t *testing.T) {
	load := cellsLoad{
		cells: 3, servers: 20, slots: 4, perSecond: []float64{600, 80, 80},
		service: 250 * time.Millisecond, deadline: 1500 * time.Millisecond, overflow: true,
	}
	alone := load
	alone.overflow = false
	for seed := range uint64(6) {
		is := is.New(t)
		load.admission = AdmissionRank
		if seed >= 3 {
			load.admission = AdmissionWork
		}
		with, without := load.run(seed), alone.run(seed)
		t.Logf("seed %d: served %d of %d, %d without overflow; waited beside free slots for %d ms, %d ms without",
			seed, with.served, with.sent, without.served, with.idleWhileWaiting, without.idleWhileWaiting)
		is.Equal(with.rejected, 0)
		is.True(with.served >= with.sent-60*4)
		is.True(without.served < without.sent*2/3)
		is.True(with.idleWhileWaiting < 1000) // a tenth of the time, with reports each 100 ms
	}
}

// Many holders must not all choose the cell that seems to have the most free slots.
func TestForwardedRequestsSpreadOverFreeSlots(t *testing.T) {
	is := is.New(t)
	o := newOverflow()
	o.report("a", CellLoad{FreeSlots: 30, ReportedAt: startTime})
	o.report("b", CellLoad{FreeSlots: 10, ReportedAt: startTime})
	o.report("full", CellLoad{Wait: time.Second, ReportedAt: startTime})
	sent := make(map[string]int)
	for range 40 {
		to, ok := o.withFreeSlot(startTime)
		is.True(ok)
		sent[to.Cell]++
	}
	is.Equal(sent, map[string]int{"a": 30, "b": 10})
	_, ok := o.withFreeSlot(startTime)
	is.True(!ok)
	o.report("a", CellLoad{FreeSlots: 30, ReportedAt: startTime})
	_, ok = o.withFreeSlot(startTime.Add(loadTTL + 1))
	is.True(!ok) // the load is no longer known
}

// The previous holder may have sent a cold server its full rate until the last moment.
func TestNewHolderLeavesColdServersTheRateOfThePreviousOne(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	cold := fleet.Target{Name: "s", Slots: 4, Phase: fleet.Cold, Boot: 1}
	settings := state.Pool{Name: "p", ColdSlots: 100, ColdRate: 9, Ramp: state.Duration(3 * time.Second)}
	h.SetTargets([]fleet.Target{cold}, settings, 0)
	is.True(!h.ramps["s"].Available(startTime.Add(rateWindow - 1)))
	is.True(h.ramps["s"].Available(startTime.Add(rateWindow)))
}

// Ejections change all the time; an entry that asks holders does not use them.
func TestChangedEjectionsAloneAreGossipedRarely(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	is.True(h.PublishDue(Status{Cold: []string{"a"}}, false, startTime))
	is.True(!h.PublishDue(Status{Cold: []string{"a"}, Ejected: []string{"b"}}, false, startTime.Add(time.Second)))
	is.True(h.PublishDue(Status{Cold: []string{"a", "c"}, Ejected: []string{"b"}}, false, startTime.Add(time.Second)))
	is.True(h.PublishDue(Status{Cold: []string{"a", "c"}}, false, startTime.Add(time.Second+publishInterval)))
	is.True(h.PublishDue(Status{Ejected: []string{"b"}}, true, startTime))
}

// Guards against cells that flood the fleet with their whole status for each server that has become
// warm, or for each request that may crash servers: the links of entries are scarce (SHORT).
func TestStatusThatIsNotUrgentIsPublishedAsItsSizeAllows(t *testing.T) {
	is := is.New(t)
	h := New(Since(startTime))
	cold := make([]string, 100)
	for i := range cold {
		cold[i] = fmt.Sprintf("s%03d", i)
	}
	now, published := startTime, 0
	is.True(h.PublishDue(Status{Cold: cold}, false, now))
	for i := range cold {
		now = now.Add(100 * time.Millisecond)
		warmed := make(map[string]uint64)
		for _, name := range cold[:i+1] {
			warmed[name] = 1
		}
		if h.PublishDue(Status{Cold: cold[i+1:], Warmed: warmed}, false, now) {
			published++
		}
	}
	is.True(published >= 3 && published <= 6)                                               // 2 KB each, in ten seconds
	is.True(h.PublishDue(Status{Cold: []string{"s000"}}, false, now.Add(time.Millisecond))) // a server that is cold again
}
