package lease

import (
	"math/rand/v2"
	"time"
)

const (
	// maxRounds bounds the unanswered rounds that a holder remembers.
	maxRounds = 16
	// leastPause and mostPause bound the wait of an owner that has given votes back.
	// One of two that split the votes must be through with a round, a few
	// milliseconds, before the other asks again.
	leastPause = 50 * time.Millisecond
	mostPause  = 300 * time.Millisecond
)

// Holder is an owner's side of its leases.
type Holder struct {
	seq    uint64
	rounds map[uint64]*round
	leases map[string]owned
	// paused says until when names are not asked for.
	paused map[string]time.Time
}

// round is one request to all voters.
type round struct {
	sent   time.Time
	voters []string
	grants map[string]map[string]bool // name to the voters that granted it
	// refused counts the voters that granted a name to another owner, or to none.
	refused map[string]int
	epochs  map[string]uint64
}

// owned is a lease that is held, or was.
type owned struct {
	since time.Time
	until time.Time
	epoch uint64
}

// NewHolder returns a holder of nothing.
func NewHolder() *Holder {
	return &Holder{
		rounds: make(map[uint64]*round), leases: make(map[string]owned), paused: make(map[string]time.Time),
	}
}

// StartRound starts a round for some names and returns its number. The caller sends
// the request after this, so that sent is not after the voters' receipt.
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

// HandleAnswer takes a voter's grants. It returns the names that were won by them: not held
// just before, and held now; and those whose votes are split, so that this owner must
// give its votes back.
func (h *Holder) HandleAnswer(voter string, seq uint64, grants []Grant, now time.Time) (won, split []string) {
	r, ok := h.rounds[seq]
	if !ok || !contains(r.voters, voter) {
		return nil, nil
	}
	for _, g := range grants {
		granted, asked := r.grants[g.Name]
		if !asked {
			continue
		}
		if !g.Granted {
			r.refused[g.Name]++
		} else {
			granted[voter] = true
			r.epochs[g.Name] = max(r.epochs[g.Name], g.Epoch)
		}
		switch {
		case g.Granted && len(granted) > len(r.voters)/2 && h.extend(g.Name, r, now):
			won = append(won, g.Name)
		case h.isSplit(g.Name, r, now):
			split = append(split, g.Name)
			h.paused[g.Name] = now.Add(leastPause + rand.N(mostPause-leastPause))
		}
	}
	return won, split
}

// isSplit reports whether a round got some votes for a name and can get no majority.
//
// The pattern it answers: entries that start at the same time know different members,
// several of them think that a name is theirs, and each renews the votes that it has.
func (h *Holder) isSplit(name string, r *round, now time.Time) bool {
	if _, held := h.Held(name, now); held {
		return false
	}
	return len(r.grants[name]) > 0 && r.refused[name] >= len(r.voters)-len(r.voters)/2
}

// BackingOff reports whether a name must not be asked for yet.
func (h *Holder) BackingOff(name string, now time.Time) bool { return now.Before(h.paused[name]) }

// extend holds a lease from the sending of the round on, and reports whether it
// was not held before.
func (h *Holder) extend(name string, r *round, now time.Time) bool {
	until := r.sent.Add(HoldDuration)
	if !now.Before(until) {
		return false
	}
	old := h.leases[name]
	fresh := !now.Before(old.until)
	if fresh {
		old = owned{since: now, epoch: r.epochs[name]}
	}
	if until.After(old.until) {
		old.until = until
	}
	old.epoch = max(old.epoch, r.epochs[name])
	h.leases[name] = old
	return fresh
}

// Held reports whether a lease is held now, and since when without a gap.
func (h *Holder) Held(name string, now time.Time) (since time.Time, held bool) {
	o, ok := h.leases[name]
	return o.since, ok && now.Before(o.until)
}

// TakeExpired forgets the leases that have ended and returns their names.
func (h *Holder) TakeExpired(now time.Time) []string {
	var names []string
	for name, o := range h.leases {
		if !now.Before(o.until) {
			names = append(names, name)
			delete(h.leases, name)
		}
	}
	return names
}

// Remaining returns the time until a lease ends.
func (h *Holder) Remaining(name string, now time.Time) time.Duration {
	return h.leases[name].until.Sub(now)
}

// Epoch returns the epoch of a lease that was held last.
func (h *Holder) Epoch(name string) uint64 { return h.leases[name].epoch }

// HeldNames returns all leases held now.
func (h *Holder) HeldNames(now time.Time) []string {
	var names []string
	for name, o := range h.leases {
		if now.Before(o.until) {
			names = append(names, name)
		}
	}
	return names
}

// Release gives leases up and returns the number of the release for the voters.
// Rounds under way no longer count.
func (h *Holder) Release(names []string) uint64 {
	h.seq++
	for _, name := range names {
		delete(h.leases, name)
		for _, r := range h.rounds {
			delete(r.grants, name)
		}
	}
	return h.seq
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}
