// Package fresh decides whether an entry's configuration is new enough to serve by.
//
// An entry serves only while it has heard, within a short window, that a control
// leader was in charge, or, if none is heard, from a majority of the lease
// voters; and only while it holds everything that it heard is accepted, save for
// a short time to catch up. Therefore an entry that is cut off stops, while a
// fleet without control goes on: once a majority of the voters holds a ticket,
// whoever serves some seconds later holds it too.
//
// The type has no input or output; its caller says what was heard, and when.
//
// # Usage
//
//	f := fresh.New()
//	f.HeardLeader(term, seq, index, now)
//	f.HeardVoter("e2", boot, count, index, now)
//	err := f.Serving(index, voters, now)
package fresh

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

const (
	// HeartbeatTimeout is how long a sign of a leader or a voter counts.
	HeartbeatTimeout = 3 * time.Second
	// CatchUpTimeout is how long an entry may lack what it heard is accepted.
	CatchUpTimeout = 3 * time.Second
	// MaxRelayDelay bounds the time that a sign spends on its way. Links drop what waited
	// 2 s in a queue, and break a connection whose ping is not answered within 2 s.
	MaxRelayDelay = 3 * time.Second
	// MaxStaleness is the time after which an entry that has acknowledged nothing since
	// serves no more, or holds what a majority of the voters holds.
	MaxStaleness = HeartbeatTimeout + CatchUpTimeout + MaxRelayDelay

	// maxPending bounds the heard indices that the entry does not hold yet.
	maxPending = 64
)

// Errors say why an entry must not serve.
var (
	// ErrIsolated means that neither a leader nor a majority of the voters was heard.
	ErrIsolated = errors.New("neither control nor a majority of the lease voters was heard lately")
	// ErrBehind means that an accepted ticket has not arrived in time.
	ErrBehind = errors.New("an accepted ticket has not arrived in time")
)

// sign orders the signs of life of one sender.
type sign struct {
	epoch uint64
	count uint64
}

func (s sign) after(other sign) bool {
	if s.epoch != other.epoch {
		return s.epoch > other.epoch
	}
	return s.count > other.count
}

// heardIndex is an index that is accepted, and when this was first heard.
type heardIndex struct {
	index uint64
	at    time.Time
}

// voter is the last sign of a lease voter.
type voter struct {
	sign  sign
	index uint64
	at    time.Time
}

// Tracker is what an entry has heard. The zero value is not usable; see New.
type Tracker struct {
	leader   sign
	leaderAt time.Time
	voters   map[string]voter
	pending  []heardIndex
}

// New returns a Freshness that has heard nothing.
func New() *Tracker { return &Tracker{voters: make(map[string]voter)} }

// ObserveLeader notes a beacon of the control leader. An old one is ignored.
func (f *Tracker) ObserveLeader(term, seq, index uint64, now time.Time) {
	s := sign{term, seq}
	if !s.after(f.leader) {
		return
	}
	f.leader, f.leaderAt = s, now
	f.heard(index, now)
}

// ObserveVoter notes a sign of a lease voter. An old one is ignored.
func (f *Tracker) ObserveVoter(vm string, boot, count, index uint64, now time.Time) {
	s := sign{boot, count}
	if known, ok := f.voters[vm]; ok && !s.after(known.sign) {
		return
	}
	f.voters[vm] = voter{sign: s, index: index, at: now}
	f.heard(index, now)
}

// heard notes that everything up to an index is accepted.
func (f *Tracker) heard(index uint64, now time.Time) {
	if n := len(f.pending); n > 0 && index <= f.pending[n-1].index {
		return
	}
	if len(f.pending) == maxPending {
		f.pending[maxPending-1].index = index
		return
	}
	f.pending = append(f.pending, heardIndex{index, now})
}

// CheckServing returns why an entry at an index must not serve now, or nil.
func (f *Tracker) CheckServing(index uint64, voters []string, now time.Time) error {
	if !f.LeaderSeenRecently(now) && !f.majorityHeard(voters, "", now) {
		return ErrIsolated
	}
	return f.caughtUp(index, now)
}

// LeaderSeenRecently reports whether a control leader was heard within the window.
func (f *Tracker) LeaderSeenRecently(now time.Time) bool {
	return !f.leaderAt.IsZero() && now.Sub(f.leaderAt) <= HeartbeatTimeout
}

// LeaderEverSeen reports whether a control leader has ever been heard.
func (f *Tracker) LeaderEverSeen() bool { return !f.leaderAt.IsZero() }

// HeartbeatDue reports whether the signs of the voters are needed: no control leader has
// been heard for half of the window, so that there is time for them to spread.
func (f *Tracker) HeartbeatDue(now time.Time) bool {
	return f.leaderAt.IsZero() || now.Sub(f.leaderAt) > HeartbeatTimeout/2
}

// caughtUp returns an error if an index heard long enough ago is not held.
func (f *Tracker) caughtUp(index uint64, now time.Time) error {
	for len(f.pending) > 0 && f.pending[0].index <= index {
		f.pending = f.pending[1:]
	}
	if len(f.pending) > 0 && now.Sub(f.pending[0].at) > CatchUpTimeout {
		return fmt.Errorf("%w: index %d, held is %d", ErrBehind, f.pending[0].index, index)
	}
	return nil
}

// majorityHeard reports whether a majority of the voters was heard within the
// window, without counting one of them.
func (f *Tracker) majorityHeard(voters []string, except string, now time.Time) bool {
	heard := 0
	for _, vm := range voters {
		known, ok := f.voters[vm]
		if ok && vm != except && now.Sub(known.at) <= HeartbeatTimeout {
			heard++
		}
	}
	return len(voters) > 0 && heard > len(voters)/2
}

// MaySendHeartbeats reports whether a voter that has just started may give signs of its
// own. What it held before it started is lost, so it first has to hold what a
// leader, or a majority of the voters without itself, holds.
func (f *Tracker) MaySendHeartbeats(self string, index uint64, voters []string, now time.Time) bool {
	if !f.LeaderSeenRecently(now) && !f.majorityHeard(voters, self, now) {
		return false
	}
	f.caughtUp(index, now)
	return len(f.pending) == 0
}
