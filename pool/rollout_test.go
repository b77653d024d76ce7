package pool

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// deafTransport sends nothing.
type deafTransport struct{ link.Transport }

func (deafTransport) Send(string, *wire.Envelope) bool { return false }

// rolloutEntry is the only VM of a fleet, with a pool whose servers are of two versions.
type rolloutEntry struct {
	*Balancer
	is      *is.I
	clock   *clock.Manual
	leases  *lease.Manager
	current state.State
}

// newRolloutEntry returns the entry. It holds the pool's lease in the placement mode "holder".
func newRolloutEntry(t *testing.T, mode PlacementMode) *rolloutEntry {
	is := is.New(t)
	e := &rolloutEntry{is: is, clock: clock.NewManual(startTime)}
	desk := state.Pool{Name: "desk", Floor: 0.7, ColdSlots: 1, Ramp: state.Duration(time.Minute)}
	e.set(desk)
	f := fleet.New(deafTransport{}, fleet.Self(fleet.Member{VM: "e1", DataCentre: "d1", Boot: 1}), fleet.Clock(e.clock))
	var targets []fleet.Target
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		targets = append(targets, fleet.Target{Name: fmt.Sprint("b", i), Pool: "desk", DataCentre: "d1", Slots: 100, Boot: 1, Phase: fleet.Warm, Version: version})
	}
	f.SetRegistered(targets)
	e.leases = lease.New(deafTransport{}, f, lease.VM("e1"), lease.Boot(1), lease.Voters(func() []string { return []string{"e1"} }), lease.Clock(e.clock))
	e.Balancer = New(deafTransport{}, f, e.leases, VM("e1"), DataCentre("d1"), Placement(mode), Clock(e.clock),
		State(func() state.State { return e.current }), Settings(func() []state.Pool { return []state.Pool{desk} }))
	e.leases.SetNames(e.LeaseNames())
	for range 600 {
		e.advance(Period)
	}
	if _, held := e.leases.Held(LeaseName("desk")); !held {
		t.Fatal("no lease")
	}
	return e
}

func (e *rolloutEntry) set(o state.Object) {
	next, problems := e.current.WithChange(state.Change{Index: e.current.Index() + 1, Set: []state.Object{o}})
	e.is.Equal(len(problems), 0)
	e.current = next
}

func (e *rolloutEntry) rollOut(phase state.RolloutPhase, share float64) {
	// A roll-out that has ended goes on only as a new one.
	if earlier, ok := state.Get[state.Rollout](e.current, "desk"); ok {
		next, problems := e.current.WithChange(state.Change{Index: e.current.Index() + 1, Remove: []state.Ref{earlier.Ref()}})
		e.is.Equal(len(problems), 0)
		e.current = next
	}
	e.set(state.Rollout{Pool: "desk", Version: "v2", Duration: state.Duration(time.Minute), Phase: phase, Share: share})
}

func (e *rolloutEntry) advance(d time.Duration) {
	e.clock.Advance(d)
	e.leases.Tick(e.clock.Now())
	e.Tick(e.clock.Now())
}

// versions sends n requests and returns the versions of the servers that got some.
func (e *rolloutEntry) versions(n int, r pick.Request) []string {
	found := make(map[string]bool)
	for range n {
		choice, err := e.Pick(context.Background(), "desk", r)
		e.is.NoErr(err)
		found[choice.Target.Version] = true
		choice.Done(health.Result{Kind: health.OK, Latency: 10 * time.Millisecond})
		e.advance(20 * time.Millisecond)
	}
	return slices.Sorted(maps.Keys(found))
}

func TestRolloutDecidesWhichVersionsGetRequests(t *testing.T) {
	for _, mode := range []PlacementMode{PlacementLocal, PlacementHolder} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			e := newRolloutEntry(t, mode)
			first, retry := pick.Request{Idempotent: true, Route: "read"}, pick.Request{Idempotent: true, Route: "read", Avoid: []string{"b0"}, Arrived: true}
			is.Equal(e.versions(40, first), []string{"v1", "v2"}) // without a roll-out
			e.rollOut(state.RolloutRunning, 0)
			is.Equal(e.versions(40, first), []string{"v1"})
			e.rollOut(state.RolloutRunning, 0.2)
			shared := []string{"v1"} // whoever chooses by itself cannot keep to the share
			if mode == PlacementHolder {
				shared = []string{"v1", "v2"}
			}
			is.Equal(e.versions(40, first), shared)
			is.Equal(e.versions(10, retry), []string{"v1"})
			e.rollOut(state.RolloutRunning, 1)
			is.Equal(e.versions(40, first), []string{"v2"})
			e.rollOut(state.RolloutRunning, 0.01)
			is.Equal(e.versions(40, first), []string{"v1"}) // back at once
			e.rollOut(state.RolloutRolledBack, 0.2)
			is.Equal(e.versions(40, first), []string{"v1"})
			e.rollOut(state.RolloutCompleted, 1)
			is.Equal(e.versions(40, first), []string{"v2"})
			is.Equal(e.versions(10, pick.Request{Idempotent: true, Avoid: []string{"b2"}}), []string{"v2"})
		})
	}
}

func TestResultsAreReportedWhileARolloutIsRunning(t *testing.T) {
	is := is.New(t)
	e := newRolloutEntry(t, PlacementHolder)
	e.versions(20, pick.Request{Idempotent: true, Route: "read"})
	is.Equal(len(e.RolloutTallies(e.clock.Now())), 0)
	e.rollOut(state.RolloutRunning, 0.5)
	e.versions(20, pick.Request{Idempotent: true, Route: "read"})
	tallies := e.RolloutTallies(e.clock.Now())
	is.Equal(len(tallies), 2)
	is.Equal(tallies[0].Version+" "+tallies[1].Version, "v1 v2")
	is.Equal(tallies[0].Results+tallies[1].Results, uint64(20))
	is.Equal(tallies[1].Results, uint64(10))
	delete(e.holders, "desk") // the lease is lost and won again
	e.versions(2, pick.Request{Idempotent: true, Route: "read"})
	tallies = e.RolloutTallies(e.clock.Now())
	is.Equal(tallies[0].Results+tallies[1].Results, uint64(22))
	e.rollOut(state.RolloutCompleted, 1)
	is.Equal(len(e.RolloutTallies(e.clock.Now())), 2)
	is.Equal(len(e.RolloutTallies(e.clock.Now().Add(lastTallies))), 0)
}

// The holder may not know yet that a roll-out has ended when it assigns a server.
func TestEntryRefusesAServerThatARolloutHasRetired(t *testing.T) {
	is := is.New(t)
	e := newRolloutEntry(t, PlacementHolder)
	accepted := func(name string) bool {
		_, ok := e.acceptSlot("desk", "e1", 0, name, "")
		return ok
	}
	e.rollOut(state.RolloutRunning, 0.3)
	is.True(accepted("b0") && accepted("b2"))
	e.rollOut(state.RolloutRolledBack, 0)
	is.True(accepted("b0") && !accepted("b2"))
	e.rollOut(state.RolloutCompleted, 1)
	is.True(!accepted("b0") && accepted("b2"))
}

// An entry whose own cell has servers of the version on trial only chooses from another one.
func TestLocalChoicesLeaveACellWithOnlyTheVersionOnTrial(t *testing.T) {
	is := is.New(t)
	e := newRolloutEntry(t, PlacementLocal)
	e.fleet.SetRegistered([]fleet.Target{
		{Name: "b1", Pool: "desk", DataCentre: "d1", Slots: 4, Boot: 1, Phase: fleet.Warm, Version: "v2"},
		{Name: "b2", Pool: "desk", DataCentre: "d2", Slots: 4, Boot: 1, Phase: fleet.Warm, Version: "v1"},
	})
	e.set(state.Division{Pool: "desk", CellsPerDataCentre: 1})
	is.Equal(e.versions(5, pick.Request{}), []string{"v2"})
	e.rollOut(state.RolloutRunning, 0.5)
	is.Equal(e.versions(5, pick.Request{}), []string{"v1"})
}
