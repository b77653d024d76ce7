package lease

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRounds bounds the rounds that a holder still accepts answers to.
	maxRounds = 16
	// minBackoff and maxBackoff bound the random wait of an owner after a split vote. Of
	// two owners that split the votes one must complete a round, which takes a few
	// milliseconds, before the other one requests the lease again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// undecidedAfter is the time after which voters that have not answered are taken for lost.
	undecidedAfter = 150 * time.Millisecond
	// maxLateRounds is the number of rounds in a row whose majority came too late after which an
	// owner gives a lease up. A process that stood still for a moment has at most one such round.
	maxLateRounds = 2
	// lateBackoff is how long an owner that gave a lease up does not request it. It covers the time
	// until entries that are not served have asked another one to take the lease over.
	lateBackoff = time.Second
)

// Holder is an owner's state of its leases.
type Holder struct {
	seq    uint64
	rounds map[uint64]*round
	leases map[string]heldLease
	// backoff holds the times before which names are not requested again.
	backoff map[string]time.Time
	// expired counts, for each lease that was not renewed in time, the rounds since then whose
	// majority came too late.
	expired map[string]int
}

// round is one request to all voters.
type round struct {
	sent   time.Time
	voters []string
	grants map[string]map[string]bool // name to the voters that granted it
	// refused counts the voters that refused a name.
	refused map[string]int
	epochs  map[string]uint64
}

// heldLease is a lease that is held, or has expired.
type heldLease struct {
	since time.Time
	until time.Time
	epoch uint64
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder {
	return &Holder{
		rounds: make(map[uint64]*round), leases: make(map[string]heldLease), backoff: make(map[string]time.Time),
		expired: make(map[string]int),
	}
}

// StartRound starts a round for names and returns its number. The caller must send the
// request after this call, because the lease counts from now and a voter's grant from
// the receipt.
func (h *Holder) StartRound(names, voters []string, now time.Time) uint64 {
	h.seq++
	r := &round{
		sent: now, voters: voters, grants: make(map[string]map[string]bool),
		refused: make(map[string]int), epochs: make(map[string]uint64),
	}
	for _, name := range names {
		r.grants[name] = make(map[string]bool)
	}
	h.rounds[h.seq] = r
	delete(h.rounds, h.seq-maxRounds)
	return h.seq
}

// HandleAnswer counts a voter's grants. It returns the names that this answer won, renewals
// excluded, and those whose grants the caller must release: after a split vote, or because this
// owner is too slow to use them.
func (h *Holder) HandleAnswer(voter string, seq uint64, grants []Grant, now time.Time) (won, unusable []string) {
	r, ok := h.rounds[seq]
	if !ok || !contains(r.voters, voter) {
		return nil, nil
	}
	for _, g := range grants {
		granted, requested := r.grants[g.Name]
		if !requested {
			continue
		}
		if !g.Granted {
			r.refused[g.Name]++
		} else {
			granted[voter] = true
			r.epochs[g.Name] = max(r.epochs[g.Name], g.Epoch)
		}
		majority := len(r.voters)/2 + 1
		switch {
		case g.Granted && len(granted) >= majority && h.extend(g.Name, r, now):
			won = append(won, g.Name)
		case g.Granted && len(granted) == majority && h.isTooSlow(g.Name, r, now):
			unusable = append(unusable, g.Name)
			h.backoff[g.Name] = now.Add(lateBackoff)
		case h.isSplit(g.Name, r, now):
			unusable = append(unusable, g.Name)
			h.backOff(g.Name, now)
		}
	}
	return won, unusable
}

// isTooSlow counts a round whose majority came too late, and reports whether this owner has become
// too slow to hold a lease that expired.
//
// An owner whose VM is short of processor time sends its requests in time and reads the answers too
// late. Its requests would keep the voters from granting the lease to any other entry.
func (h *Holder) isTooSlow(name string, r *round, now time.Time) bool {
	lateRounds, expired := h.expired[name]
	if !expired || now.Before(r.sent.Add(HoldDuration)) {
		return false
	}
	if lateRounds+1 < maxLateRounds {
		h.expired[name] = lateRounds + 1
		return false
	}
	delete(h.expired, name)
	return true
}

// TakeUndecided separates those of the requested names for which voters have granted some of a
// round, refused some, and the others do not answer. The caller must release their grants and
// request the rest. While voters are lost, two owners that kept the grants would never get a
// majority.
func (h *Holder) TakeUndecided(names []string, now time.Time) (undecided, rest []string) {
	for _, name := range names {
		if _, held := h.Held(name, now); held || !h.isUndecided(name, now) {
			rest = append(rest, name)
			continue
		}
		undecided = append(undecided, name)
		h.backOff(name, now)
	}
	return undecided, rest
}

// isUndecided reports whether the last round for a name that voters had time to answer got
// grants and refusals, but no majority.
func (h *Holder) isUndecided(name string, now time.Time) bool {
	for seq := h.seq; seq > 0 && seq+maxRounds > h.seq; seq-- {
		r, known := h.rounds[seq]
		if !known || now.Sub(r.sent) < undecidedAfter {
			continue
		}
		if grants, requested := r.grants[name]; requested {
			return len(grants) > 0 && r.refused[name] > 0 && len(grants) <= len(r.voters)/2
		}
	}
	return false
}

// backOff keeps an owner from requesting a name for a random time.
func (h *Holder) backOff(name string, now time.Time) {
	h.backoff[name] = now.Add(minBackoff + rand.N(maxBackoff-minBackoff))
}

// isSplit reports whether a round got some grants of a name but can get no majority.
//
// Entries that start at the same time know different members, so several of them may
// regard themselves as the owner of a name. If each kept renewing the grants that it
// has, none would ever get a majority.
func (h *Holder) isSplit(name string, r *round, now time.Time) bool {
	if _, held := h.Held(name, now); held {
		return false
	}
	return len(r.grants[name]) > 0 && r.refused[name] >= len(r.voters)-len(r.voters)/2
}

// BackingOff reports whether a name must not be requested yet after a split vote.
func (h *Holder) BackingOff(name string, now time.Time) bool { return now.Before(h.backoff[name]) }

// extend extends a lease to HoldDuration after the sending of the round, and reports
// whether it was not held before.
func (h *Holder) extend(name string, r *round, now time.Time) bool {
	until := r.sent.Add(HoldDuration)
	if !now.Before(until) {
		return false
	}
	delete(h.expired, name)
	old := h.leases[name]
	won := !now.Before(old.until)
	if won {
		old = heldLease{since: now, epoch: r.epochs[name]}
	}
	if until.After(old.until) {
		old.until = until
	}
	old.epoch = max(old.epoch, r.epochs[name])
	h.leases[name] = old
	return won
}

// Held reports whether a lease is held now, and since when without a gap.
func (h *Holder) Held(name string, now time.Time) (since time.Time, held bool) {
	l, ok := h.leases[name]
	return l.since, ok && now.Before(l.until)
}

// TakeExpired removes the leases that have expired and returns their names.
func (h *Holder) TakeExpired(now time.Time) []string {
	var names []string
	for name, l := range h.leases {
		if !now.Before(l.until) {
			names = append(names, name)
			delete(h.leases, name)
			h.expired[name] = 0
		}
	}
	return names
}

// Remaining returns the time until a lease expires.
func (h *Holder) Remaining(name string, now time.Time) time.Duration {
	return h.leases[name].until.Sub(now)
}

// Epoch returns the epoch of a held lease.
func (h *Holder) Epoch(name string) uint64 { return h.leases[name].epoch }

// HeldNames returns the names of all leases held now.
func (h *Holder) HeldNames(now time.Time) []string {
	var names []string
	for name, l := range h.leases {
		if now.Before(l.until) {
			names = append(names, name)
		}
	}
	return names
}

// Release ends leases and returns the number of the release request for the voters.
// Later answers to earlier rounds are ignored for these names.
func (h *Holder) Release(names []string) uint64 {
	h.seq++
	for _, name := range names {
		delete(h.leases, name)
		delete(h.expired, name)
		for _, r := range h.rounds {
			delete(r.grants, name)
		}
	}
	return h.seq
}

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}
