// Package fresh decides whether an entry's configuration is recent enough to serve with.
//
// An entry serves only while it hears a control leader or, without one, a majority of
// the lease voters, and while it holds every ticket that it knows to be accepted, apart
// from a short time to catch up. Therefore an entry that is partitioned from the fleet
// stops serving, while a fleet without control continues: once a majority of the voters
// holds a ticket, every entry that serves MaxStaleness later holds it too.
//
// Tracker does no I/O. Its caller reports which heartbeats arrived, and when.
//
// # Usage
//
//	tracker := fresh.New()
//	tracker.ObserveLeader(term, seq, index, now)
//	tracker.ObserveVoter("e2", boot, count, index, now)
//	err := tracker.CheckServing(index, voters, now)
package fresh

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

const (
	// HeartbeatTimeout is how long a heartbeat of a leader or a voter counts.
	HeartbeatTimeout = 3 * time.Second
	// CatchUpTimeout is how long an entry may lack a ticket that it knows to be accepted.
	CatchUpTimeout = 3 * time.Second
	// MaxRelayDelay bounds the time that a heartbeat is relayed. Links drop messages that
	// were queued for 2 s, and close a connection whose ping is not answered within 2 s.
	MaxRelayDelay = 3 * time.Second
	// MaxStaleness is the time after an entry's last acknowledgement from which on the
	// entry either does not serve or holds what a majority of the voters holds.
	MaxStaleness = HeartbeatTimeout + CatchUpTimeout + MaxRelayDelay

	// maxPending bounds the accepted indices that the entry does not hold yet.
	maxPending = 64
)

// Reasons why an entry must not serve.
var (
	// ErrIsolated means that no heartbeats arrive from a leader or a majority of the voters.
	ErrIsolated = errors.New("neither control nor a majority of the lease voters was heard lately")
	// ErrBehind means that an accepted ticket has not arrived, or not within CatchUpTimeout.
	ErrBehind = errors.New("an accepted ticket has not arrived in time")
)

// heartbeatID orders the heartbeats of one sender. The epoch is the term of a leader or
// the boot of a voter.
type heartbeatID struct {
	epoch uint64
	count uint64
}

func (id heartbeatID) after(other heartbeatID) bool {
	if id.epoch != other.epoch {
		return id.epoch > other.epoch
	}
	return id.count > other.count
}

// pendingIndex is an accepted index that the entry does not hold yet, and when it was
// first heard of.
type pendingIndex struct {
	index uint64
	at    time.Time
}

// voterHeartbeat is the last heartbeat of a lease voter.
type voterHeartbeat struct {
	id    heartbeatID
	index uint64
	at    time.Time
}

// Tracker records the heartbeats that an entry has heard. Use New to create one.
type Tracker struct {
	leader   heartbeatID
	leaderAt time.Time
	voters   map[string]voterHeartbeat
	pending  []pendingIndex
}

// New returns a tracker that has heard nothing.
func New() *Tracker { return &Tracker{voters: make(map[string]voterHeartbeat)} }

// ObserveLeader records a heartbeat of the control leader. A late or duplicate one is
// ignored.
func (t *Tracker) ObserveLeader(term, seq, index uint64, now time.Time) {
	id := heartbeatID{term, seq}
	if !id.after(t.leader) {
		return
	}
	t.leader, t.leaderAt = id, now
	t.addPending(index, now)
}

// ObserveVoter records a heartbeat of a lease voter. A late or duplicate one is ignored.
func (t *Tracker) ObserveVoter(vm string, boot, count, index uint64, now time.Time) {
	id := heartbeatID{boot, count}
	if last, ok := t.voters[vm]; ok && !id.after(last.id) {
		return
	}
	t.voters[vm] = voterHeartbeat{id: id, index: index, at: now}
	t.addPending(index, now)
}

// ObserveAccepted records that everything up to an index is accepted.
func (t *Tracker) ObserveAccepted(index uint64, now time.Time) { t.addPending(index, now) }

// addPending records that everything up to an index is accepted.
func (t *Tracker) addPending(index uint64, now time.Time) {
	if n := len(t.pending); n > 0 && index <= t.pending[n-1].index {
		return
	}
	if len(t.pending) == maxPending {
		t.pending[maxPending-1].index = index
		return
	}
	t.pending = append(t.pending, pendingIndex{index, now})
}

// CheckServing returns why an entry that holds everything up to an index must not serve
// now, or nil.
func (t *Tracker) CheckServing(index uint64, voters []string, now time.Time) error {
	if !t.LeaderSeenRecently(now) && !t.majoritySeenRecently(voters, "", now) {
		return ErrIsolated
	}
	return t.checkCaughtUp(index, now)
}

// CheckCurrent returns why an entry that holds everything up to an index may lack something
// that is accepted, or nil. Unlike CheckServing it leaves no time to catch up.
func (t *Tracker) CheckCurrent(index uint64, voters []string, now time.Time) error {
	if err := t.CheckServing(index, voters, now); err != nil {
		return err
	}
	if n := len(t.pending); n > 0 {
		return behind(t.pending[n-1].index, index)
	}
	return nil
}

func behind(accepted, local uint64) error {
	return fmt.Errorf("%w: accepted index is %d, local index is %d", ErrBehind, accepted, local)
}

// LeaderSeenRecently reports whether a control leader was heard within HeartbeatTimeout.
func (t *Tracker) LeaderSeenRecently(now time.Time) bool {
	return !t.leaderAt.IsZero() && now.Sub(t.leaderAt) <= HeartbeatTimeout
}

// LeaderEverSeen reports whether a control leader was heard since the start.
func (t *Tracker) LeaderEverSeen() bool { return !t.leaderAt.IsZero() }

// HeartbeatDue reports whether the voters must send heartbeats: no control leader was
// heard for half of HeartbeatTimeout. The other half is left for them to spread.
func (t *Tracker) HeartbeatDue(now time.Time) bool {
	return t.leaderAt.IsZero() || now.Sub(t.leaderAt) > HeartbeatTimeout/2
}

// checkCaughtUp removes the pending indices that the entry holds, and returns an error if
// one is left for longer than CatchUpTimeout.
func (t *Tracker) checkCaughtUp(index uint64, now time.Time) error {
	for len(t.pending) > 0 && t.pending[0].index <= index {
		t.pending = t.pending[1:]
	}
	if len(t.pending) > 0 && now.Sub(t.pending[0].at) > CatchUpTimeout {
		return behind(t.pending[0].index, index)
	}
	return nil
}

// majoritySeenRecently reports whether a majority of the voters, not counting one of
// them, was heard within HeartbeatTimeout.
func (t *Tracker) majoritySeenRecently(voters []string, except string, now time.Time) bool {
	seen := 0
	for _, vm := range voters {
		last, ok := t.voters[vm]
		if ok && vm != except && now.Sub(last.at) <= HeartbeatTimeout {
			seen++
		}
	}
	return len(voters) > 0 && seen > len(voters)/2
}

// MaySendHeartbeats reports whether a voter that has just started may send heartbeats.
// It has lost what it held before the start, so it must first hold everything that a
// leader, or a majority of the voters without itself, holds.
func (t *Tracker) MaySendHeartbeats(self string, index uint64, voters []string, now time.Time) bool {
	if !t.LeaderSeenRecently(now) && !t.majoritySeenRecently(voters, self, now) {
		return false
	}
	t.checkCaughtUp(index, now)
	return len(t.pending) == 0
}
