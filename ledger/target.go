package ledger

import (
	"slices"

	"github.com/dottereldeal/dottereldeal/state"
)

// resolveRegistrations removes outdated registrations of backend servers from a set of
// objects. It marks servers as gone whose address is now used by a server that started
// later.
func (l Ledger) resolveRegistrations(set []state.Object) []state.Object {
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
		if replaced, latest := l.register(t); latest {
			kept = append(append(kept, t), replaced...)
		}
	}
	return kept
}

func isTarget(o state.Object) bool {
	_, ok := o.(state.Target)
	return ok
}

// register reports whether a registration is the latest one of its server and of its
// address. It returns the servers that it replaces, in phase TargetGone.
func (l Ledger) register(t state.Target) (replaced []state.Object, latest bool) {
	current, known := state.Get[state.Target](l.state, t.Name)
	if known && !t.Supersedes(current) {
		return nil, false
	}
	if t.Phase == state.TargetGone || known && current.Addr == t.Addr && current.Phase != state.TargetGone {
		return nil, true
	}
	sharesAddr := func(other state.Target) bool {
		return other.Name != t.Name && other.Addr == t.Addr && other.Phase != state.TargetGone
	}
	for _, other := range state.Select(l.state, sharesAddr) {
		if other.Boot > t.Boot {
			return nil, false
		}
		replaced = append(replaced, other.WithPhase(state.TargetGone))
	}
	return replaced, true
}

// AcceptsRegistration reports whether a registration would change the state.
func (l Ledger) AcceptsRegistration(t state.Target) bool {
	current, known := state.Get[state.Target](l.state, t.Name)
	if known && current.EqualExceptCount(t) {
		return false
	}
	if !known && t.Phase == state.TargetGone {
		return true
	}
	_, latest := l.register(t)
	return latest
}
