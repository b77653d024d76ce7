package entry

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// This file has the comparison of an entry's state with that of control, and its replacement.

// requestRepair requests the full state from a neighbour while no control VM responds.
func (w *configWatcher) requestRepair(now time.Time) {
	neighbours := w.entry.fleet.Neighbours()
	if len(neighbours) == 0 || !w.controlSilent(now) || w.receivingDelta(now) {
		return
	}
	w.request(neighbours[rand.IntN(len(neighbours))], 0, false)
}

// isDiverged reports whether this VM's state is known to differ from that of control, so that
// changes to it are of no use. A change to an unverified state verifies it.
func (w *configWatcher) isDiverged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.diverged
}

// controlSilent reports whether the control VM in use does not respond.
func (w *configWatcher) controlSilent(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastResponse) > controlTimeout
}

// compareWithLeader replaces the state of this VM if it differs from that of the control leader.
// Missing changes would otherwise stay unnoticed until the next change arrives from a control VM.
func (w *configWatcher) compareWithLeader() {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.entry.State()
	if w.entry.freshness.equalsLeader(current) {
		w.diverged, w.unverified = false, false
		return
	}
	err := w.entry.freshness.checkDivergence(current)
	if err == nil || len(w.controls) == 0 {
		return
	}
	w.replaceState(w.controls[w.current], err)
}

// replaceState requests the full state from a control VM because this VM's state differs from
// that of control. It must be called with the lock.
func (w *configWatcher) replaceState(control string, reason error) {
	if w.diverged {
		return
	}
	w.diverged = true
	w.divergences.Inc()
	w.entry.options.EventLog.Record(event.StateDiverged, w.entry.State().String(), reason.Error())
	go w.request(control, 0, false)
}

// replaces reports whether a state may replace the previous one: it is newer, or repairs one that
// is not known to be the same as that of control.
func (w *configWatcher) replaces(previous, next state.State, from string) bool {
	if next.Index() != previous.Index() {
		return next.Index() > previous.Index()
	}
	return w.isControl(from) || w.entry.freshness.equalsLeader(next)
}

// verifiable reports whether a delta can be checked, or needs no check. Entries of versions
// without digests send states and deltas that may lack removals. Without any state, one of those
// is better than none.
func (w *configWatcher) verifiable(from string, d *wire.Delta) bool {
	return d.GetDigest() != 0 || w.isControl(from) || d.GetFrom() == 0 && w.entry.State().Index() == 0
}

// isVerified reports whether the state to which a delta has led is that of control, as far as its
// sender can know.
func (w *configWatcher) isVerified(from string, d *wire.Delta) bool {
	if d.GetDigest() != 0 {
		return true
	}
	return w.isControl(from) && (d.GetFrom() == 0 || !w.unverified)
}
