package state_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	planWorkspaces = 37_000
	planRoutes     = 830
	planPools      = 130
)

// capacityState returns a state of the size that the fleet is planned for.
func capacityState(tb testing.TB) state.State {
	tb.Helper()
	c := state.Change{Index: 1, TicketNumber: 1}
	for i := range planPools {
		c.Set = append(c.Set, state.Pool{Name: fmt.Sprint("pool-", i), Floor: 0.5, ColdSlots: 1})
	}
	for i := range planRoutes {
		c.Set = append(c.Set, state.Route{
			Name: fmt.Sprint("route-", i), Host: "loan.example", PathPrefix: fmt.Sprintf("/r%d/", i), Pool: fmt.Sprint("pool-", i%planPools),
		})
	}
	for i := range planWorkspaces {
		c.Set = append(c.Set, workspace(i, "first"))
	}
	s, problems := state.State{}.WithChange(c)
	if len(problems) > 0 {
		tb.Fatal(problems[0])
	}
	return s
}

func workspace(i int, generation string) state.Workspace {
	return state.Workspace{
		Name: fmt.Sprintf("workspace-%05d", i), Rate: 50, Burst: 100,
		KeyDigests: []state.KeyDigest{state.HashKey(fmt.Sprint(generation, i))},
	}
}

func TestFullStateIsSentInParts(t *testing.T) {
	is := is.New(t)
	full := capacityState(t)
	parts, err := state.DeltaParts(full, 0)
	is.NoErr(err)
	var a state.Assembler
	current, bytes := state.State{}, 0
	for i, part := range parts {
		data, err := proto.Marshal(part)
		is.NoErr(err)
		bytes += len(data)
		next, changed, err := a.Add(current, part)
		is.NoErr(err)
		is.Equal(changed, i == len(parts)-1)
		current = next
	}
	is.Equal(current.Index(), full.Index())
	is.Equal(len(current.Records()), len(full.Records()))
	t.Logf("%d records in %d parts, %d bytes", full.Len(), len(parts), bytes)
}

func TestDeltaWithMissingPartIsNotApplied(t *testing.T) {
	is := is.New(t)
	parts, err := state.DeltaParts(capacityState(t), 0)
	is.NoErr(err)
	var a state.Assembler
	for i, part := range parts {
		if i == 3 {
			continue
		}
		_, changed, err := a.Add(state.State{}, part)
		is.NoErr(err)
		is.True(!changed)
	}
}

func TestDuplicatePartsAreIgnored(t *testing.T) {
	is := is.New(t)
	parts, err := state.DeltaParts(capacityState(t), 0)
	is.NoErr(err)
	var a state.Assembler
	completed := 0
	for i := range parts {
		for _, again := range []int{i, i, 0, i / 2} {
			_, changed, err := a.Add(state.State{}, parts[again])
			is.NoErr(err)
			if changed {
				completed++
			}
			if again == i && !changed && i < len(parts)-1 {
				_, next, ok := a.NextPart()
				is.True(ok)
				is.Equal(next, uint32(i+1))
			}
		}
	}
	is.True(completed >= 1)
}

func TestDeltaHoldsOnlyChangedObjects(t *testing.T) {
	is := is.New(t)
	s := capacityState(t)
	next, problems := s.WithChange(state.Change{Index: 2, TicketNumber: 2, Set: []state.Object{workspace(7, "second")}})
	is.Equal(len(problems), 0)
	parts, err := state.DeltaParts(next, 1)
	is.NoErr(err)
	is.Equal(len(parts), 1)
	is.Equal(len(parts[0].GetObjects()), 1)
	t.Logf("delta of one workspace: %d bytes", proto.Size(parts[0]))

	var a state.Assembler
	got, changed, err := a.Add(s, parts[0])
	is.NoErr(err)
	is.True(changed)
	_, old := got.Workspace(state.HashKey("first7"))
	_, current := got.Workspace(state.HashKey("second7"))
	is.True(!old && current)
}

func TestTombstonesAreSentUntilCompacted(t *testing.T) {
	is := is.New(t)
	s, _ := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{state.Pool{Name: "p"}, state.Pool{Name: "q"}}})
	s, _ = s.WithChange(state.Change{Index: 2, TicketNumber: 2, Remove: []state.Ref{{Kind: state.KindPool, Name: "p"}}})
	records, complete := s.RecordsSince(1)
	is.Equal(len(records), 1)
	is.True(!complete && records[0].Object == nil)
	s = s.WithoutTombstones(2)
	records, complete = s.RecordsSince(1)
	is.True(complete) // the tombstone is gone, so only the full state is correct
	is.Equal(len(records), 1)
}

// Guards against removed routes that stay in force on an entry that was updated by a
// neighbour which had started after the removal (CONFIG).
func TestDeltaOfRestartedNeighbourKeepsEarlierRemovals(t *testing.T) {
	is := is.New(t)
	kept, removed := state.Pool{Name: "kept"}, state.Pool{Name: "removed"}
	follower, _ := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{kept, removed}})
	control, _ := follower.WithChange(state.Change{Index: 2, TicketNumber: 2, Remove: []state.Ref{removed.Ref()}})

	// The full state of an earlier version has a base of removals of 0.
	for _, removalsSince := range []uint64{0, control.Index()} {
		parts, err := state.DeltaParts(control, 0)
		is.NoErr(err)
		for _, part := range parts {
			part.RemovalsSince = removalsSince
		}
		restarted := assemble(is, state.State{}, parts)
		is.Equal(restarted.Digest(), control.Digest())
		control3, _ := control.WithChange(state.Change{Index: 3, TicketNumber: 3, Set: []state.Object{state.Pool{Name: "later"}}})
		restarted, _ = restarted.WithChange(state.Change{Index: 3, TicketNumber: 3, Set: []state.Object{state.Pool{Name: "later"}}})

		parts, err = state.DeltaParts(restarted, follower.Index())
		is.NoErr(err)
		updated := assemble(is, follower, parts)
		_, found := state.Get[state.Pool](updated, removed.Name)
		is.True(!found)
		is.Equal(updated.Digest(), control3.Digest())
	}
}

// Guards against a follower of an earlier version that passes on a full state as if it
// held all removals.
func TestFullStateNamesTheIndexBelowWhichItHoldsNoRemovals(t *testing.T) {
	is := is.New(t)
	s, _ := state.State{}.WithChange(state.Change{Index: 5, TicketNumber: 1, Set: []state.Object{state.Pool{Name: "p"}}})
	parts, err := state.DeltaParts(s, 0)
	is.NoErr(err)
	is.Equal(parts[0].GetRemovalsSince(), s.Index())
}

// Guards against a state that lacks changes and adopts the index of a delta all the same.
func TestDeltaThatLeadsToAnotherStateIsRefused(t *testing.T) {
	is := is.New(t)
	p, q := state.Pool{Name: "p"}, state.Pool{Name: "q"}
	complete, _ := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{p, q}})
	lacking, _ := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{p}})
	next, _ := complete.WithChange(state.Change{Index: 2, TicketNumber: 2, Set: []state.Object{state.Pool{Name: "r"}}})
	parts, err := state.DeltaParts(next, 1)
	is.NoErr(err)
	var a state.Assembler
	got, changed, err := a.Add(lacking, parts[0])
	is.True(errors.Is(err, state.ErrDigestMismatch))
	is.True(!changed)
	is.Equal(got.Index(), uint64(1))
	is.Equal(assemble(is, complete, parts).Digest(), next.Digest())

	parts[0].Digest = 0 // from a version without digests
	is.Equal(assemble(is, lacking, parts).Index(), uint64(2))
}

// Guards against a full state that lost a part on its way.
func TestFullStateThatLacksRecordsIsRefused(t *testing.T) {
	is := is.New(t)
	s, _ := state.State{}.WithChange(state.Change{Index: 1, Set: []state.Object{state.Pool{Name: "p"}, state.Pool{Name: "q"}}})
	parts, err := state.DeltaParts(s, 0)
	is.NoErr(err)
	parts[0].Objects = parts[0].Objects[1:]
	var a state.Assembler
	_, changed, err := a.Add(state.State{}, parts[0])
	is.True(errors.Is(err, state.ErrDigestMismatch))
	is.True(!changed)
}

// Guards against digests that depend on the way to a state.
func TestDigestDependsOnTheStateOnly(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	control := state.State{}
	followers := make([]state.State, 8)
	for index := uint64(1); index <= 400; index++ {
		name := fmt.Sprint("p", random.IntN(20))
		change := state.Change{Index: index, Set: []state.Object{state.Pool{Name: name}}}
		if _, found := state.Get[state.Pool](control, name); found && random.IntN(3) == 0 {
			change = state.Change{Index: index, Remove: []state.Ref{{Kind: state.KindPool, Name: name}}}
		}
		next, problems := control.WithChange(change)
		is.Equal(len(problems), 0)
		control = next
		i := random.IntN(len(followers))
		if random.IntN(20) == 0 {
			followers[i] = state.State{}
		}
		source := control
		if other := followers[random.IntN(len(followers))]; random.IntN(3) > 0 && other.Index() > followers[i].Index() {
			source = other
		}
		parts, err := state.DeltaParts(source, followers[i].Index())
		is.NoErr(err)
		followers[i] = assemble(is, followers[i], parts)
		is.Equal(followers[i].Digest(), source.Digest())
		is.Equal(followers[i].Index(), source.Index())
	}
}

// assemble returns the state that a delta leads to.
func assemble(is *is.I, current state.State, parts []*wire.Delta) state.State {
	is.Helper()
	var a state.Assembler
	for _, part := range parts {
		next, _, err := a.Add(current, part)
		is.NoErr(err)
		current = next
	}
	return current
}

func BenchmarkKeyLookup(b *testing.B) {
	s := capacityState(b)
	digest := state.HashKey("first20000")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Workspace(digest); !ok {
			b.Fatal("key not found")
		}
	}
}

func BenchmarkKeyHash(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		state.HashKey("a key of usual length, 32 bytes.")
	}
}

// BenchmarkKeyLookupDuringApply looks keys up while tickets are applied continuously.
func BenchmarkKeyLookupDuringApply(b *testing.B) {
	s := capacityState(b)
	digest := state.HashKey("first20000")
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		next := s
		for index := uint64(2); ; index++ {
			select {
			case <-stop:
				return
			default:
			}
			next, _ = next.WithChange(state.Change{Index: index, TicketNumber: index, Set: []state.Object{workspace(int(index)%planWorkspaces, fmt.Sprint(index))}})
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		s.Workspace(digest)
	}
	close(stop)
	<-done
}

func BenchmarkApplyOneWorkspace(b *testing.B) {
	s := capacityState(b)
	b.ReportAllocs()
	index := uint64(2)
	for b.Loop() {
		s, _ = s.WithChange(state.Change{Index: index, TicketNumber: index, Set: []state.Object{workspace(int(index)%planWorkspaces, fmt.Sprint(index))}})
		index++
	}
}

func BenchmarkLoadFullState(b *testing.B) {
	parts, err := state.DeltaParts(capacityState(b), 0)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var a state.Assembler
		for _, part := range parts {
			if _, _, err := a.Add(state.State{}, part); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkMemory reports the heap size of the planned state.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := capacityState(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(s)
	}
}

func FuzzAssembler(f *testing.F) {
	s, _ := state.State{}.WithChange(state.Change{Index: 3, TicketNumber: 1, Set: []state.Object{state.Pool{Name: "p"}}})
	parts, _ := state.DeltaParts(s, 0)
	data, _ := proto.Marshal(parts[0])
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var part wire.Delta
		if proto.Unmarshal(data, &part) != nil {
			return
		}
		var a state.Assembler
		next, changed, _ := a.Add(s, &part)
		if changed && next.Index() <= s.Index() {
			t.Fatal("a delta lowered the index of the state")
		}
	})
}

// Guards against an entry that never receives a large full state, because each change of the
// state begins it anew.
func TestLargeFullStateArrivesWhileTheStateChanges(t *testing.T) {
	is := is.New(t)
	const roundTrip, changePeriod, partSize = 100 * time.Millisecond, 100 * time.Millisecond, 128 << 10
	var set []state.Object
	for i := range 20 {
		set = append(set, state.Pool{Name: fmt.Sprint(i, strings.Repeat("x", partSize))})
	}
	s, _ := state.State{}.WithChange(state.Change{Index: 1, Set: set})
	start := time.Unix(1000, 0)
	var cache state.DeltaCache
	followers := make([]state.Assembler, 3)
	arrived := make([]state.State, len(followers))
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(roundTrip) {
		s, _ = s.WithChange(state.Change{Index: s.Index() + uint64(roundTrip/changePeriod), Set: []state.Object{state.Pool{Name: "p"}}})
		for i := range followers {
			if arrived[i].Index() > 0 || now.Before(start.Add(time.Duration(i)*3*roundTrip)) {
				continue
			}
			to, part, _ := followers[i].NextPart()
			parts, large, err := cache.Parts(s, 0, to, part, true, now)
			is.NoErr(err)
			is.True(large)
			for _, p := range parts {
				next, changed, err := followers[i].Add(state.State{}, p)
				is.NoErr(err)
				if changed {
					arrived[i] = next
				}
			}
		}
	}
	for _, last := range arrived {
		is.Equal(last.Len(), s.Len())
	}
}

// Guards against a roll-out that changes after its end, and against one that replaces another
// which is still running.
func TestRolloutsEndForGood(t *testing.T) {
	is := is.New(t)
	order := state.Rollout{Pool: "p", Version: "v2", Duration: state.Duration(time.Second), Phase: state.RolloutRunning}
	next := order
	next.Version = "v3"
	at := uint64(1)
	apply := func(s state.State, o state.Object) (state.State, int) {
		at++
		after, problems := s.WithChange(state.Change{Index: at, Set: []state.Object{o}})
		return after, len(problems)
	}
	s, refused := apply(state.State{}, order)
	is.Equal(refused, 1) // the pool does not exist
	s, _ = apply(s, state.Pool{Name: "p"})
	for _, bad := range []state.Rollout{
		{Pool: "p", Duration: 1, Phase: state.RolloutRunning}, {Pool: "p", Version: "v2", Phase: state.RolloutRunning},
		{Pool: "p", Version: "v2", Duration: 1}, order.WithStep(state.RolloutRunning, 1.5, 0, ""),
	} {
		_, refused = apply(s, bad)
		is.Equal(refused, 1)
	}
	s, refused = apply(s, order)
	is.Equal(refused, 0)
	_, refused = apply(s, next)
	is.Equal(refused, 1) // another one is running
	s, refused = apply(s, order.WithStep(state.RolloutRolledBack, 0, time.Second, "bad"))
	is.Equal(refused, 0)
	for _, late := range []state.Rollout{order, order.WithStep(state.RolloutRunning, 1, 0, ""), order.WithStep(state.RolloutCompleted, 1, 0, "")} {
		_, refused = apply(s, late)
		is.Equal(refused, 1)
	}
	_, refused = apply(s, next)
	is.Equal(refused, 0)
}
