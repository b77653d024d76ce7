package entry

import (
	"net/netip"
	"time"
)

// This file has the requests of an entry that has no state yet.

const (
	// initialAnswerTimeout is how long an entry without a state waits for a sign that the VM
	// that it asked for one is there, before it asks another one.
	initialAnswerTimeout = 100 * time.Millisecond
	// initialStateTimeout is how long it waits for the next message of one that is there.
	initialStateTimeout = time.Second
)

// tickInitial requests the first state from one VM after the other, since each responds with
// the complete state: the control VMs, and a neighbour that has one. Entries start with
// different control VMs. Afterwards it sends requests until the first beacon of the control
// leader arrives, without which this VM takes no part in leases.
func (w *configWatcher) tickInitial(now time.Time) {
	current := w.entry.State()
	index := current.Index()
	w.entry.freshness.confirmState(current, now)
	if index > 0 && !w.entry.freshness.leaderNeverSeen() || w.receivingDelta(now) {
		return
	}
	neighbour, ahead := w.entry.fleet.NeighbourAhead(index)
	if source, ok := w.nextInitialSource(index, neighbour, ahead, now); ok {
		w.request(source, index, false)
	}
}

// nextInitialSource returns the VM to ask next, unless another one was asked that may still
// answer.
func (w *configWatcher) nextInitialSource(index uint64, neighbour string, ahead bool, now time.Time) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index == 0 && w.awaitsInitialState(now) {
		return "", false
	}
	w.initialRequests++
	controls, turn := w.knownControls(), w.initialRequests
	if index > 0 && len(w.controls) > 0 {
		// Only the leader sends beacons, but the control VM in use may be cut off from it.
		turn /= 2
		if w.initialRequests%2 == 1 {
			controls = w.controls[w.current : w.current+1]
		}
	}
	source := ""
	if len(controls) > 0 {
		source = controls[turn%uint64(len(controls))]
	}
	if ahead && (source == "" || w.initialRequests%2 == 0) {
		source = neighbour
	}
	w.initialSource, w.initialAskedAt = source, now
	return source, source != ""
}

// awaitsInitialState reports whether the VM that was asked for the first state may still send
// it. On a slow link that takes a while, and a second copy would take as long again.
func (w *configWatcher) awaitsInitialState(now time.Time) bool {
	if now.Sub(w.initialAskedAt) < initialAnswerTimeout {
		return true
	}
	return !w.initialHeardAt.Before(w.initialAskedAt) && now.Sub(w.initialHeardAt) < initialStateTimeout
}

// noteInitialAnswer notes that a VM has answered the request for the first state.
func (w *configWatcher) noteInitialAnswer(from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := netip.ParseAddrPort(w.initialSource); err == nil || from == w.initialSource {
		w.initialHeardAt = w.entry.options.Clock.Now()
	}
}

// receivingDelta reports whether a large delta is being received.
func (w *configWatcher) receivingDelta(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.lastPartAt) < sourceTimeout
}
