package fleet

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/event"
)

// registeredTargets returns n targets of one pool.
func registeredTargets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{Name: fmt.Sprintf("s%04d", i), Pool: "desk", Phase: Warm, Slots: 4}
	}
	return list
}

func newDirectoryFleet() *Fleet {
	f := &Fleet{options: Options{EventLog: event.New("e1")}}
	f.directory.Store(&Directory{})
	return f
}

func TestRegisteredTargetsReplaceAnnouncedOnes(t *testing.T) {
	is := is.New(t)
	f := newDirectoryFleet()
	announced := Target{Name: "s0001", Pool: "desk", Phase: Cold, Slots: 1}
	f.directory.Store((&Directory{}).with(announced).with(Target{Name: "own", Pool: "desk", Phase: Warm}))
	f.SetRegistered(registeredTargets(3))
	is.Equal(f.Directory().Len(), 4)
	found, ok := f.Directory().Target("desk", "s0001")
	is.True(ok)
	is.Equal(found.Slots, 4)
	f.SetRegistered(registeredTargets(1))
	is.Equal(f.Directory().Len(), 2) // the announced one that was never registered stays
	is.Equal(f.Directory().Pool("desk")[0].Name, "own")
}

// While a fleet starts, every entry receives one update after the other. 1,000 servers in
// updates of 10 each must not take quadratic work for each update.
func TestRegistrationCopiesTheDirectoryOncePerUpdate(t *testing.T) {
	is := is.New(t)
	targets := registeredTargets(1000)
	f := newDirectoryFleet()
	f.SetRegistered(targets[:990])
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f.SetRegistered(targets)
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < 2<<10*1000) // 2 KB for each target
}
