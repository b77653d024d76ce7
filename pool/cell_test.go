package pool

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

func TestCellsDivideAPoolByDataCentre(t *testing.T) {
	is := is.New(t)
	var servers []fleet.Target
	for i := range 90 {
		servers = append(servers, fleet.Target{Name: fmt.Sprint("s", i), Pool: "desk", DataCentre: fmt.Sprint("d", i%3)})
	}
	undivided := newPoolServers(servers, state.Division{}, "d1")
	is.Equal(undivided.names, []string{"desk"})
	is.Equal(undivided.homeCells("e1"), []string{"desk"})
	divided := newPoolServers(servers, state.Division{CellsPerDataCentre: 2}, "d1")
	is.Equal(len(divided.names), 6)
	is.Equal(divided.near, []string{"desk@d1.0", "desk@d1.1"})
	total := 0
	for cell, targets := range divided.cells {
		total += len(targets)
		is.Equal(LeaseDataCentre(LeaseName(cell)), targets[0].DataCentre)
		is.Equal(poolOfCell(cell, state.State{}), "desk")
	}
	is.Equal(total, 90)
	homes := make(map[string]int)
	for i := range 40 {
		order := divided.homeCells(fmt.Sprint("e", i))
		is.Equal(len(order), 6)
		is.True(slices.Contains(divided.near, order[0]))
		homes[order[0]]++
	}
	is.Equal(len(homes), 2) // entries spread over the cells of their data centre
	is.Equal(LeaseDataCentre("w07"), "")
	is.Equal(LeaseDataCentre(LeaseName("desk")), "")
}

// cellsLoad is a load on the cells of a pool that is not spread like the servers.
type cellsLoad struct {
	cells, servers, slots int
	// perSecond holds the requests per second of the entries near each cell.
	perSecond []float64
	service   time.Duration
	deadline  time.Duration
	overflow  bool
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
		views[i].ramp = func(string) *Ramp { return nil }
		names[fmt.Sprint("c", i)] = i
		for j := range l.servers {
			views[i].targets = append(views[i].targets, fleet.Target{Name: fmt.Sprintf("s%d.%d", i, j), Slots: l.slots, Boot: 1})
		}
	}
	type run struct {
		at   time.Time
		cell int
		key  requestKey
	}
	var running []run
	now := startTime
	var handle func(cell int, placements ...placement)
	handle = func(cell int, placements ...placement) {
		for _, p := range placements {
			switch {
			case p.forward.cell != "":
				req := p.request
				req.forwarded = true
				at := names[p.forward.cell]
				handle(at, schedulers[at].place(req, views[at], now))
			case p.target != "":
				result.served++
				running = append(running, run{now.Add(l.service), cell, p.request.key()})
			case !p.queued:
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
		tick := now.Sub(startTime)%Period == 0
		free, waiting := 0, 0
		for i, s := range schedulers {
			if tick {
				handle(i, s.tick(views[i], now)...)
			} else {
				handle(i, s.placeQueued(views[i], now)...)
			}
			slots, wait := s.load(views[i], now)
			free, waiting = free+slots, waiting+len(s.queue)
			if l.overflow && now.Sub(startTime)%loadInterval == 0 {
				for j, other := range schedulers {
					if i != j {
						other.overflow.report(fmt.Sprint("c", i), cellLoad{freeSlots: slots, wait: wait, reportedAt: now})
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
			handle(i, s.place(request{vm: fmt.Sprint("e", i), id: id, objective: now.Add(l.deadline), deadline: now.Add(l.deadline)}, views[i], now))
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
	for seed := range uint64(3) {
		is := is.New(t)
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
	o.report("a", cellLoad{freeSlots: 30, reportedAt: startTime})
	o.report("b", cellLoad{freeSlots: 10, reportedAt: startTime})
	o.report("full", cellLoad{wait: time.Second, reportedAt: startTime})
	sent := make(map[string]int)
	for range 40 {
		to, ok := o.withFreeSlot(startTime)
		is.True(ok)
		sent[to.cell]++
	}
	is.Equal(sent, map[string]int{"a": 30, "b": 10})
	_, ok := o.withFreeSlot(startTime)
	is.True(!ok)
	o.report("a", cellLoad{freeSlots: 30, reportedAt: startTime})
	_, ok = o.withFreeSlot(startTime.Add(loadTTL + 1))
	is.True(!ok) // the load is no longer known
}

// The previous holder may have sent a cold server its full rate until the last moment.
func TestNewHolderLeavesColdServersTheRateOfThePreviousOne(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	cold := fleet.Target{Name: "s", Slots: 4, Phase: fleet.Cold, Boot: 1}
	settings := state.Pool{Name: "p", ColdSlots: 100, ColdRate: 9, Ramp: state.Duration(3 * time.Second)}
	h.setTargets([]fleet.Target{cold}, settings, 0)
	is.True(!h.ramps["s"].Available(startTime.Add(rateWindow - 1)))
	is.True(h.ramps["s"].Available(startTime.Add(rateWindow)))
}

// Ejections change all the time; an entry that asks holders does not use them.
func TestChangedEjectionsAloneAreGossipedRarely(t *testing.T) {
	is := is.New(t)
	h := newHolder(startTime)
	is.True(h.publishDue(status{cold: []string{"a"}}, PlacementHolder, startTime))
	is.True(!h.publishDue(status{cold: []string{"a"}, ejected: []string{"b"}}, PlacementHolder, startTime.Add(time.Second)))
	is.True(h.publishDue(status{cold: []string{"a", "c"}, ejected: []string{"b"}}, PlacementHolder, startTime.Add(time.Second)))
	is.True(h.publishDue(status{cold: []string{"a", "c"}}, PlacementHolder, startTime.Add(time.Second+publishInterval)))
	is.True(h.publishDue(status{ejected: []string{"b"}}, PlacementLocal, startTime))
}
