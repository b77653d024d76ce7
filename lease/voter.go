package lease

import "time"

// Voter grants names to owners.
type Voter struct {
	silentUntil time.Time
	held        map[string]held
}

// held is a grant of a voter.
type held struct {
	owner Owner
	until time.Time
	epoch uint64
	// seq is the owner's newest request.
	seq uint64
}

// NewVoter returns a voter that grants nothing before silentUntil. That is one
// duration after the start, unless it is certain that it never voted before.
func NewVoter(silentUntil time.Time) *Voter {
	return &Voter{silentUntil: silentUntil, held: make(map[string]held)}
}

// EndStartupWait lets the voter grant at once: it is certain that it never voted before.
func (v *Voter) EndStartupWait() { v.silentUntil = time.Time{} }

// Acquire grants names to an owner, or renews them.
func (v *Voter) Acquire(owner Owner, seq uint64, names []string, now time.Time) []Grant {
	grants := make([]Grant, 0, len(names))
	for _, name := range names {
		grants = append(grants, v.ask(owner, seq, name, now))
	}
	return grants
}

func (v *Voter) ask(owner Owner, seq uint64, name string, now time.Time) Grant {
	old, known := v.held[name]
	free := !known || old.owner == owner || now.After(old.until)
	if now.Before(v.silentUntil) || !free || !known && len(v.held) >= maxNames {
		return Grant{Name: name, Epoch: old.epoch}
	}
	epoch := old.epoch
	if old.owner == owner {
		seq = max(seq, old.seq)
	} else {
		epoch++
	}
	v.held[name] = held{owner: owner, until: now.Add(Duration), epoch: epoch, seq: seq}
	return Grant{Name: name, Granted: true, Epoch: epoch}
}

// Release frees names that an owner gives back. A release that arrives after a
// later request of the owner is out of date.
func (v *Voter) Release(owner Owner, seq uint64, names []string, now time.Time) {
	for _, name := range names {
		if old, ok := v.held[name]; ok && old.owner == owner && old.seq <= seq {
			old.until = now.Add(-1)
			v.held[name] = old
		}
	}
}
