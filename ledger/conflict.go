package ledger

import (
	"slices"

	"github.com/dottereldeal/dottereldeal/state"
)

// Decision is what becomes of the announcement of a backend server.
type Decision string

const (
	// Register means that the announcement is stored.
	Register Decision = "register"
	// Ignore means that it changes nothing or is outdated.
	Ignore Decision = "ignore"
	// Hold means that it may not replace a registration of another pool, because its own pool is
	// not configured, or was not when the server announced itself.
	Hold Decision = "hold"
)

// Resolution is the decision on an announcement. It is made before a proposal, so that all versions
// of the program apply the log in the same way.
type Resolution struct {
	Decision Decision
	// Displaced are the registrations that have to be removed first.
	Displaced []state.Ref
	// Rival is the registration for which an announcement is held.
	Rival state.Target
	// Index is the index of the state by which the decision was made.
	Index uint64
}

// Resolve returns what becomes of an announcement. Several registrations may claim one address or
// one name for different pools, since anybody can send an announcement. A server of a configured
// pool holds its address and its name against those of pools that nobody has configured,
// whichever started later and whichever came first. Between servers of configured pools the later
// start decides.
func (l Ledger) Resolve(t state.Target) Resolution {
	r := Resolution{Decision: Ignore, Index: l.state.Index()}
	current, known := state.Get[state.Target](l.state, t.Name)
	if known && current.EqualExceptCount(t) {
		return r
	}
	own, returns := l.standing(t), false
	for _, rival := range l.rivals(t) {
		theirs := l.standing(rival)
		switch {
		case own.below(theirs), own == theirs && own != confirmed:
			r.Decision, r.Rival = Hold, rival
			return r
		case own == theirs: // the later start decides
		case known && wasDisplaced(current, t) && rival.Name != t.Name && rival.Boot >= t.Boot:
			returns = true
			r.Displaced = append(r.Displaced, rival.Ref())
		case blocks(rival, t):
			r.Displaced = append(r.Displaced, rival.Ref())
		}
	}
	if returns {
		r.Displaced = append(r.Displaced, current.Ref())
	}
	if _, latest := l.without(r.Displaced).register(t); latest {
		r.Decision = Register
	}
	return r
}

// IsConfigured reports whether a pool is configured.
func (l Ledger) IsConfigured(pool string) bool {
	_, ok := state.Get[state.Pool](l.state, pool)
	return ok
}

// standing is the weight of a claim to a name or an address.
type standing string

const (
	unconfigured standing = "unconfigured"
	// unconfirmed is that of a registration made before its pool was configured. Its sender may
	// have known nothing of the pool.
	unconfirmed standing = "unconfirmed"
	confirmed   standing = "confirmed"
)

func (s standing) below(other standing) bool {
	ascending := []standing{unconfigured, unconfirmed, confirmed}
	return slices.Index(ascending, s) < slices.Index(ascending, other)
}

func (l Ledger) standing(t state.Target) standing {
	switch {
	case t.Pool == "":
		return confirmed // the departure of a server that was not registered
	case !l.IsConfigured(t.Pool):
		return unconfigured
	case t.Early:
		return unconfirmed
	default:
		return confirmed
	}
}

// Rivals reports whether two registrations claim the same name or the same address for different
// pools. A server that has left holds its name only.
func Rivals(a, b state.Target) bool {
	if a.Pool == b.Pool {
		return false
	}
	return a.Name == b.Name || a.Addr == b.Addr && a.Phase != state.TargetGone && b.Phase != state.TargetGone
}

func (l Ledger) rivals(t state.Target) []state.Target {
	return state.Select(l.state, func(other state.Target) bool { return Rivals(t, other) })
}

// blocks reports whether a registration has to be removed for another one to be accepted.
func blocks(rival, t state.Target) bool {
	if rival.Name == t.Name {
		return !t.Supersedes(rival)
	}
	return rival.Boot > t.Boot
}

// wasDisplaced reports whether the present start of a server was marked as gone because another
// one took its address, and has announced itself since. A server that has deregistered has the
// last count of its start.
func wasDisplaced(current, t state.Target) bool {
	return current.Pool == t.Pool && current.Phase == state.TargetGone && current.Count != state.LastCount &&
		t.Boot == current.Boot && t.Count > current.Count
}

// without returns the ledger without some objects, to judge what follows their removal.
func (l Ledger) without(refs []state.Ref) Ledger {
	if len(refs) == 0 {
		return l
	}
	change := state.Change{Index: l.state.Index() + 1, TicketNumber: SystemNumber, Remove: refs}
	if next, problems := l.state.WithChange(change); len(problems) == 0 {
		l.state = next
	}
	return l
}
