package ledger

import (
	"reflect"

	"github.com/dottereldeal/dottereldeal/state"
)

// Plan is the newest accepted plan.
type Plan struct {
	// Version is 0 before the first plan.
	Version uint64
	// Source is the plan as its author wrote it.
	Source []byte
	// Index is the log index at which it was accepted.
	Index uint64
}

// Plan returns the newest accepted plan.
func (l Ledger) Plan() Plan { return l.plan }

// applyPlan replaces all workspaces, pools and routes by those of a plan. A
// version that is not higher than the held one is accepted and changes nothing:
// it is a resend, or has been overtaken.
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

// replacement returns the change that makes a set of objects the only
// workspaces, pools and routes. Objects that stay as they are are not touched,
// so that followers receive only what differs.
func (l Ledger) replacement(objects []state.Object) state.Change {
	change := state.Change{TicketNumber: SystemNumber}
	wanted := make(map[state.Ref]bool, len(objects))
	for _, o := range objects {
		wanted[o.Ref()] = true
		held, ok := l.state.Record(o.Ref())
		if !ok || !reflect.DeepEqual(held.Object, o) {
			change.Set = append(change.Set, o)
		}
	}
	for _, record := range l.state.Records() {
		if record.Object != nil && planned(record.Ref.Kind) && !wanted[record.Ref] {
			change.Remove = append(change.Remove, record.Ref)
		}
	}
	return change
}

// planned reports whether a plan covers a kind of object.
func planned(k state.Kind) bool {
	return k == state.KindWorkspace || k == state.KindPool || k == state.KindRoute
}
