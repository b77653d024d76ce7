package ledger

import (
	"reflect"
	"slices"

	"github.com/dottereldeal/dottereldeal/state"
)

// Plan is the accepted plan with the highest version.
type Plan struct {
	// Version is 0 if no plan has been accepted yet.
	Version uint64
	// Source is the plan in the form in which it was submitted.
	Source []byte
	// Index is the log index at which the plan was accepted.
	Index uint64
}

// Plan returns the accepted plan with the highest version.
func (l Ledger) Plan() Plan { return l.plan }

// applyPlan replaces all workspaces, pools and routes with those of a plan. A plan whose
// version is not higher than the current one is accepted without effect: it is a resend,
// or a newer plan has already been accepted.
func (l Ledger) applyPlan(index uint64, p Proposal) (Ledger, Outcome) {
	outcome := Outcome{Verdict: Accepted, Digest: p.Digest, Index: index, Author: p.Author}
	plan := p.Ticket.Plan
	if plan.Version <= l.plan.Version {
		outcome.Index, outcome.Repeated = l.plan.Index, true
		return l, outcome
	}
	change := l.replacement(p.Ticket.Set)
	change.Index = index
	next, problems := l.state.WithChange(change)
	if len(problems) > 0 {
		return l, Outcome{Verdict: Refused, Digest: p.Digest, Problems: problems}
	}
	l.state = next
	l.plan = Plan{Version: plan.Version, Source: plan.Source, Index: index}
	return l, outcome
}

// replacement returns the change that replaces all workspaces, pools and routes with the
// given objects. It leaves out unchanged objects, so that followers receive only the
// differences.
func (l Ledger) replacement(objects []state.Object) state.Change {
	change := state.Change{TicketNumber: SystemNumber}
	wanted := make(map[state.Ref]bool, len(objects))
	for _, o := range objects {
		wanted[o.Ref()] = true
		current, ok := l.state.Record(o.Ref())
		if !ok || !reflect.DeepEqual(current.Object, o) {
			change.Set = append(change.Set, o)
		}
	}
	for _, record := range l.state.Records() {
		if record.Object != nil && inPlan(record.Ref.Kind) && !wanted[record.Ref] {
			change.Remove = append(change.Remove, record.Ref)
		}
	}
	change.Remove = l.withRollouts(change.Remove)
	return change
}

// withRollouts adds the roll-outs of the pools among the objects to remove: a roll-out goes with
// its pool.
func (l Ledger) withRollouts(remove []state.Ref) []state.Ref {
	all := slices.Clone(remove)
	for _, ref := range remove {
		rollout := state.Ref{Kind: state.KindRollout, Name: ref.Name}
		record, ok := l.state.Record(rollout)
		if ref.Kind == state.KindPool && ok && record.Object != nil && !slices.Contains(remove, rollout) {
			all = append(all, rollout)
		}
	}
	return all
}

// inPlan reports whether plans contain objects of a kind.
func inPlan(k state.Kind) bool {
	return k == state.KindWorkspace || k == state.KindPool || k == state.KindRoute
}
