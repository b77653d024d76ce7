package ledger

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// Guards against a configuration that drops the roll-out of a pool which stays, or keeps that of
// one which goes, and against a snapshot or removal that loses the outcome.
func TestRolloutLivesAsLongAsItsPool(t *testing.T) {
	is := is.New(t)
	rollout := state.Rollout{Pool: "p", Version: "v2", Duration: 1, Phase: state.RolloutRunning}
	l := New(DefaultDedupWindow)
	index := uint64(0)
	apply := func(t ticket.Ticket) Outcome {
		index++
		var o Outcome
		l, o = l.Apply(index, Proposal{Ticket: t})
		return o
	}
	present := func() (state.Rollout, bool) { return state.Get[state.Rollout](l.State(), "p") }
	apply(ticket.NewPlan(1, nil, state.Pool{Name: "p"}, state.Pool{Name: "q"}))
	apply(ticket.Ticket{Set: []state.Object{rollout}})
	apply(ticket.Ticket{Set: []state.Object{rollout.WithStep(state.RolloutCompleted, 1, 0, "good")}})
	apply(ticket.NewPlan(2, nil, state.Pool{Name: "p", Floor: 0.5}))
	data, err := l.Snapshot()
	is.NoErr(err)
	l, err = FromSnapshot(data, DefaultDedupWindow)
	is.NoErr(err)
	r, ok := present()
	is.True(ok)
	is.Equal(r.Phase, state.RolloutCompleted)

	is.Equal(apply(ticket.NewPlan(3, nil, state.Pool{Name: "q"})).Verdict, Accepted)
	_, ok = present()
	is.True(!ok)
	record, _ := l.State().Record(rollout.Ref())
	is.Equal(record.Index, index) // a tombstone, so that entries drop it too
	apply(ticket.NewPlan(4, nil, state.Pool{Name: "p"}))
	apply(ticket.Ticket{Set: []state.Object{rollout}})
	is.Equal(apply(ticket.Ticket{Number: 5, Remove: []state.Ref{state.Pool{Name: "p"}.Ref()}}).Verdict, Accepted)
	_, ok = present()
	is.True(!ok)
}
