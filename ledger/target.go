package ledger

import (
	"slices"

	"github.com/dottereldeal/dottereldeal/state"
)

// registrations leaves out registrations of backend servers that are not the
// newest word, and adds the end of servers whose address a newer start has taken.
func (l Ledger) registrations(set []state.Object) []state.Object {
	if !slices.ContainsFunc(set, isTarget) {
		return set
	}
	kept := make([]state.Object, 0, len(set))
	for _, o := range set {
		t, ok := o.(state.Target)
		if !ok {
			kept = append(kept, o)
			continue
		}
		if ended, newest := l.register(t); newest {
			kept = append(append(kept, t), ended...)
		}
	}
	return kept
}

func isTarget(o state.Object) bool {
	_, ok := o.(state.Target)
	return ok
}

// register reports whether a registration is the newest word of its server and
// of its address, and returns the servers that it ends.
func (l Ledger) register(t state.Target) (ended []state.Object, newest bool) {
	held, known := state.Get[state.Target](l.state, t.Name)
	if known && !t.Supersedes(held) {
		return nil, false
	}
	if t.Phase == state.TargetGone || known && held.Addr == t.Addr && held.Phase != state.TargetGone {
		return nil, true
	}
	for _, other := range state.List[state.Target](l.state) {
		if other.Name == t.Name || other.Addr != t.Addr || other.Phase == state.TargetGone {
			continue
		}
		if other.Boot > t.Boot {
			return nil, false
		}
		ended = append(ended, other.WithPhase(state.TargetGone))
	}
	return ended, true
}

// AcceptsRegistration reports whether a registration would change anything.
func (l Ledger) AcceptsRegistration(t state.Target) bool {
	held, known := state.Get[state.Target](l.state, t.Name)
	if known && held.EqualExceptCount(t) {
		return false
	}
	if !known && t.Phase == state.TargetGone {
		return true
	}
	_, newest := l.register(t)
	return newest
}
