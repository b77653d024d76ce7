package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// apply applies the parts of a delta to a state.
func apply(t *testing.T, current state.State, parts []*wire.Delta) state.State {
	t.Helper()
	var assembler state.Assembler
	for _, part := range parts {
		next, _, err := assembler.Add(current, part)
		if err != nil {
			t.Fatal(err)
		}
		current = next
	}
	return current
}

// targetsState returns a state with n registered servers.
func targetsState(t *testing.T, n int) state.State {
	t.Helper()
	s := state.State{}
	for i := range n {
		s = withTarget(t, s, fmt.Sprint("server-", i))
	}
	return s
}

func withTarget(t *testing.T, s state.State, name string) state.State {
	t.Helper()
	target := state.Target{Name: name, Pool: "loan-desk", DataCentre: "fukuoka", Addr: "10.1.2.3:8080", Slots: 4, Phase: state.TargetWarm, Boot: 1, Count: 1}
	next, problems := s.WithChange(state.Change{Index: s.Index() + 1, Set: []state.Object{target}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return next
}

var cacheStart = time.Unix(3000, 0)

// Hundreds of entries that start together fetch the state while hundreds of servers register.
// It must not be encoded anew for each of them, and its size matters on slow links.
func TestFullStateIsCompressedAndCachedWhileItChanges(t *testing.T) {
	is := is.New(t)
	var cache state.DeltaCache
	before := targetsState(t, 700)
	plain, _, err := cache.Parts(before, 0, 0, 0, false, cacheStart)
	is.NoErr(err)
	packed, _, err := cache.Parts(before, 0, 0, 0, true, cacheStart)
	is.NoErr(err)
	size := func(parts []*wire.Delta) (n int) {
		for _, p := range parts {
			n += proto.Size(p)
		}
		return n
	}
	is.True(size(packed) < size(plain)/4)
	follower := apply(t, state.State{}, packed)
	is.Equal(follower.Records(), before.Records())
	is.Equal(apply(t, state.State{}, plain).Records(), before.Records())

	after := withTarget(t, before, "another")
	again, _, err := cache.Parts(after, 0, 0, 0, true, cacheStart.Add(100*time.Millisecond))
	is.NoErr(err)
	is.True(&again[0] == &packed[0]) // the cached one
	rest, _, err := cache.Parts(after, follower.Index(), 0, 0, true, cacheStart)
	is.NoErr(err)
	is.Equal(apply(t, follower, rest).Records(), after.Records())
}

func TestDamagedCompressedPartChangesNothing(t *testing.T) {
	is := is.New(t)
	var cache state.DeltaCache
	parts, _, err := cache.Parts(targetsState(t, 100), 0, 0, 0, true, cacheStart)
	is.NoErr(err)
	damaged := proto.Clone(parts[0]).(*wire.Delta)
	damaged.Packed = damaged.GetPacked()[:len(damaged.GetPacked())/2]
	var assembler state.Assembler
	next, changed, err := assembler.Add(state.State{}, damaged)
	is.True(err != nil)
	is.True(!changed)
	is.Equal(next.Index(), uint64(0))
}

// An entry may ask before there is any state.
func TestEmptyFullStateIsNotReused(t *testing.T) {
	is := is.New(t)
	var cache state.DeltaCache
	_, _, err := cache.Parts(state.State{}, 0, 0, 0, true, cacheStart)
	is.NoErr(err)
	current := targetsState(t, 3)
	parts, _, err := cache.Parts(current, 0, 0, 0, true, cacheStart)
	is.NoErr(err)
	is.Equal(apply(t, state.State{}, parts).Records(), current.Records())
}

// Half of the entries are killed seconds after the fleet has started. They must not serve by
// the full state of that start until the rest arrives: it has neither routes nor keys.
func TestRestartedEntryReceivesThePresentState(t *testing.T) {
	is := is.New(t)
	var cache state.DeltaCache
	old := targetsState(t, 3)
	_, _, err := cache.Parts(old, 0, 0, 0, true, cacheStart)
	is.NoErr(err)
	current := withTarget(t, old, "later")
	parts, _, err := cache.Parts(current, 0, 0, 0, true, cacheStart.Add(time.Second))
	is.NoErr(err)
	is.Equal(apply(t, state.State{}, parts).Index(), current.Index())
}
