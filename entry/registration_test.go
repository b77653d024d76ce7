package entry

import (
	"fmt"
	"runtime"
	"testing"
	"unsafe"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

// Guards against entries that rebuild all that they derive from the configuration for each server that
// registers. While hundreds of servers start, the entries had no time for requests (SHORT, DRAIN).
func TestRegistrationOfOneServerCopiesItsPoolOnly(t *testing.T) {
	is := is.New(t)
	const servers, pools, changes = 720, 10, 100
	e, _ := newWatchedEntry(t)
	server := func(i int, count uint64) state.Target {
		return state.Target{
			Name: fmt.Sprintf("s%03d", i), Pool: fmt.Sprint("pool", i%pools), DataCentre: "d1", Addr: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1),
			Slots: 4, Phase: state.TargetWarm, Boot: 1, Count: count,
		}
	}
	var objects []state.Object
	for i := range pools {
		name := fmt.Sprint("pool", i)
		objects = append(objects, state.Pool{Name: name}, state.Route{Name: name, PathPrefix: "/" + name, Pool: name})
	}
	for i := range servers {
		objects = append(objects, server(i, 1))
	}
	first, problems := state.State{}.WithChange(state.Change{Index: 1, Set: objects})
	is.Equal(len(problems), 0)
	e.watcher.apply(first)
	states := []state.State{first}
	for i := range changes {
		next, problems := states[i].WithChange(state.Change{Index: uint64(i + 2), Set: []state.Object{server(i, 2)}})
		is.Equal(len(problems), 0)
		states = append(states, next)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, next := range states[1:] {
		e.watcher.apply(next)
	}
	runtime.ReadMemStats(&after)
	copied := (after.TotalAlloc - before.TotalAlloc) / changes
	is.True(copied < 4*uint64(unsafe.Sizeof(fleet.Target{}))*servers/pools) // the pool's list is copied twice, with room to grow
	is.Equal(e.config.Load().State.Index(), uint64(changes+1))
	is.Equal(e.TargetCount(), servers)
	changed, known := e.fleet.Directory().Target("pool7", "s007")
	is.True(known)
	is.Equal(changed.Count, uint64(2))
}

func TestServersThatLeaveAreNoLongerRegistered(t *testing.T) {
	is := is.New(t)
	e, _ := newWatchedEntry(t)
	server := state.Target{Name: "s1", Pool: "desk", DataCentre: "d1", Addr: "10.0.0.1:80", Slots: 4, Phase: state.TargetWarm, Boot: 1, Count: 1}
	other := server
	other.Name, other.Pool = "s2", "unknown"
	first, _ := state.State{}.WithChange(state.Change{Index: 1, Set: []state.Object{state.Pool{Name: "desk"}, server, other}})
	e.watcher.apply(first)
	is.Equal(e.TargetCount(), 1)
	leaving, _ := first.WithChange(state.Change{Index: 2, Set: []state.Object{server.WithPhase(state.TargetLeaving)}})
	e.watcher.apply(leaving)
	is.Equal(e.fleet.Directory().Pool("desk")[0].Phase, fleet.Leaving)
	gone, _ := leaving.WithChange(state.Change{Index: 3, Set: []state.Object{server.WithPhase(state.TargetGone)}})
	e.watcher.apply(gone)
	is.Equal(e.TargetCount(), 0)
	configured, _ := gone.WithChange(state.Change{Index: 4, Set: []state.Object{state.Pool{Name: "unknown"}, server}})
	e.watcher.apply(configured)
	is.Equal(e.TargetCount(), 2)
	removed, _ := configured.WithChange(state.Change{Index: 5, Remove: []state.Ref{server.Ref()}})
	e.watcher.apply(removed)
	is.Equal(e.TargetCount(), 1)
	whole := state.Load(6, 6, []state.Record{{Ref: state.Ref{Kind: state.KindPool, Name: "desk"}, Object: state.Pool{Name: "desk"}, Index: 6}})
	e.watcher.apply(whole)
	is.Equal(e.TargetCount(), 0)
}
