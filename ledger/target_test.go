package ledger

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// applyRegistrations returns a ledger to which the registrations were applied in order.
func applyRegistrations(targets ...state.Target) Ledger {
	l := New(DefaultDedupWindow)
	for i, t := range targets {
		change := ticket.Ticket{Number: SystemNumber, Set: []state.Object{t}}
		l, _ = l.Apply(uint64(i+1), Proposal{Ticket: change})
	}
	return l
}

func server(name string, boot, count uint64, phase state.TargetPhase) state.Target {
	return state.Target{Name: name, Pool: "p", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: phase, Boot: boot, Count: count}
}

func phaseOf(l Ledger, name string) state.TargetPhase {
	t, _ := state.Get[state.Target](l.State(), name)
	return t.Phase
}

func TestDelayedAnnouncementDoesNotReviveServer(t *testing.T) {
	is := is.New(t)
	gone := server("s1", 100, 5, state.TargetGone)
	l := applyRegistrations(server("s1", 100, 4, state.TargetWarm), gone, server("s1", 100, 40, state.TargetWarm))
	is.Equal(phaseOf(l, "s1"), state.TargetGone)
	l = applyRegistrations(server("s1", 100, 4, state.TargetWarm), gone, server("s1", 200, 1, state.TargetCold))
	is.Equal(phaseOf(l, "s1"), state.TargetCold) // a new start is accepted
}

// Guards against a server that is taken out by the departure of an earlier start, which was
// judged before the present start registered (FLOOR).
func TestDepartureOfAnEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	gone := server("s1", 100, state.LastCount, state.TargetGone)
	l := applyRegistrations(server("s1", 100, 5, state.TargetWarm), server("s1", 200, 1, state.TargetWarm))
	is.True(!l.AcceptsRegistration(gone))
	l = applyRegistrations(server("s1", 100, 5, state.TargetWarm), server("s1", 200, 1, state.TargetWarm), gone)
	is.Equal(phaseOf(l, "s1"), state.TargetWarm)
}

func TestReorderedAnnouncementIsIgnored(t *testing.T) {
	is := is.New(t)
	l := applyRegistrations(server("s1", 100, 9, state.TargetLeaving), server("s1", 100, 8, state.TargetWarm))
	is.Equal(phaseOf(l, "s1"), state.TargetLeaving)
}

func TestAddressBelongsToLatestStart(t *testing.T) {
	is := is.New(t)
	l := applyRegistrations(server("s1", 100, 4, state.TargetWarm), server("s2", 200, 1, state.TargetWarm))
	is.Equal(phaseOf(l, "s1"), state.TargetGone)
	is.Equal(phaseOf(l, "s2"), state.TargetWarm)
	l = applyRegistrations(server("s2", 200, 1, state.TargetWarm), server("s1", 100, 7, state.TargetWarm))
	is.Equal(phaseOf(l, "s1"), state.TargetPhase("")) // delayed announcement of the previous server at this address
	is.Equal(phaseOf(l, "s2"), state.TargetWarm)
}

func TestPlanWithHighestVersionReplacesObjects(t *testing.T) {
	is := is.New(t)
	apply := func(l Ledger, index, version uint64, names ...string) (Ledger, Outcome) {
		var objects []state.Object
		for _, name := range names {
			objects = append(objects, state.Workspace{Name: name, Rate: float64(version), Burst: 1})
		}
		return l.Apply(index, Proposal{Ticket: ticket.NewPlan(version, []byte(names[0]), objects...)})
	}
	l, _ := apply(New(DefaultDedupWindow), 1, 5, "a", "b")
	l, o := apply(l, 2, 4, "c")
	is.Equal(o.Verdict, Accepted)
	is.True(o.Repeated)
	is.Equal(l.Plan().Version, uint64(5))
	l, _ = apply(l, 3, 9, "b", "c")
	is.Equal(len(state.List[state.Workspace](l.State())), 2)
	_, known := state.Get[state.Workspace](l.State(), "a")
	is.True(!known)
	snapshot, err := l.Snapshot()
	is.NoErr(err)
	restored, err := FromSnapshot(snapshot, DefaultDedupWindow)
	is.NoErr(err)
	is.Equal(restored.Plan(), l.Plan())
}

// After a restart from a snapshot, neither a server that had left nor a key that had been
// withdrawn may be in use again.
func TestRestoredLedgerKeepsWhatHasLeft(t *testing.T) {
	is := is.New(t)
	key := state.HashKey("withdrawn")
	withKey := state.Workspace{Name: "east", Rate: 1, Burst: 1, KeyDigests: []state.KeyDigest{key}}
	l := applyRegistrations(server("s1", 100, 4, state.TargetWarm), server("s1", 100, 5, state.TargetGone))
	l, _ = l.Apply(10, Proposal{Ticket: ticket.NewPlan(1, []byte("1"), withKey)})
	_, known := l.State().Workspace(key)
	is.True(known)
	l, _ = l.Apply(11, Proposal{Ticket: ticket.NewPlan(2, []byte("2"), withKey.WithKeyDigests())})
	snapshot, err := l.Snapshot()
	is.NoErr(err)
	restored, err := FromSnapshot(snapshot, DefaultDedupWindow)
	is.NoErr(err)
	_, known = restored.State().Workspace(key)
	is.True(!known)
	is.Equal(phaseOf(restored, "s1"), state.TargetGone)
	is.True(!restored.AcceptsRegistration(server("s1", 100, 4, state.TargetWarm))) // a delayed announcement
	restored, _ = restored.Apply(12, Proposal{Ticket: ticket.NewPlan(1, []byte("1"), withKey)})
	_, known = restored.State().Workspace(key)
	is.True(!known) // a delayed plan
}
