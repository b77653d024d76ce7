package ctrl

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// newGroupWithServer returns a complete group, its leader, and a server that is registered there.
func newGroupWithServer(t *testing.T) (g *testGroup, leader int, server state.Target) {
	t.Helper()
	g, leader, _ = newCompleteGroup(t)
	g.configure(leader, 1, "loans")
	server = state.Target{Name: "s1", Pool: "loans", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: state.TargetWarm, Boot: 100, Count: 1}
	g.register(leader, server)
	return g, leader, server
}

// Guards against a departure that is acknowledged while entries that serve have not heard of it (DRAIN).
func TestDepartureIsAcknowledgedOnceEntriesHaveHeardOfIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, server := newGroupWithServer(t)
	node := g.nodes[leader]
	before := node.Ledger().State().Index()
	report := func(vm string, index uint64) {
		err := node.do(t.Context(), func() { node.handleWatch(vm, &wire.Watch{Index: index, Boot: 1, Serving: true, Members: 2}) })
		is.NoErr(err)
	}
	g.await("reports that are noted", 3*time.Second, func() bool {
		report("e1", before)
		report("e2", before)
		return node.deliveredIndex.Load() == before
	})
	server.Phase, server.Count = state.TargetLeaving, 2
	acknowledged := make(chan time.Time, 1)
	go func() {
		g.register(leader, server)
		acknowledged <- time.Now()
	}()
	g.await("departure that is accepted", time.Second, func() bool { return node.Ledger().State().Index() > before })
	after := node.Ledger().State().Index()
	report("e1", after)
	report("e2", before)
	time.Sleep(200 * time.Millisecond)
	is.Equal(len(acknowledged), 0) // e2 may still send requests there
	report("e2", after)
	heard := time.Now()
	is.True((<-acknowledged).Sub(heard) < 300*time.Millisecond)
}

// An entry that is cut off, or stands still, reports nothing. What callers ask for goes on without it.
func TestDepartureIsAcknowledgedThoughAnEntryIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, server := newGroupWithServer(t)
	node := g.nodes[leader]
	report := func() {
		node.handleWatch("e1", &wire.Watch{Index: node.Ledger().State().Index(), Boot: 1, Serving: true, Members: 1})
	}
	g.await("report that is noted", 3*time.Second, func() bool {
		is.NoErr(node.do(t.Context(), report))
		return node.deliveredIndex.Load() < math.MaxUint64 && node.deliveredIndex.Load() > 0
	})
	server.Phase, server.Count = state.TargetLeaving, 2
	started := time.Now()
	g.register(leader, server)
	is.True(time.Since(started) < 900*time.Millisecond) // callers try another VM then
	time.Sleep(reportTimeout)
	other := server
	other.Name, other.Addr = "s2", "10.0.0.2:80"
	other.Phase = state.TargetLeaving
	started = time.Now()
	g.register(leader, other)
	is.True(time.Since(started) < 500*time.Millisecond)
}
