package lease

import "time"

// Voter grants names to owners.
type Voter struct {
	startupWaitEnd time.Time
	grants         map[string]voterGrant
}

// voterGrant is the last grant of a name.
type voterGrant struct {
	owner Owner
	until time.Time
	epoch uint64
	// seq is the number of the owner's newest request.
	seq uint64
}

// NewVoter returns a voter that grants nothing before startupWaitEnd. That must be
// Duration after the start, unless the voter is certain to have granted nothing before.
func NewVoter(startupWaitEnd time.Time) *Voter {
	return &Voter{startupWaitEnd: startupWaitEnd, grants: make(map[string]voterGrant)}
}

// EndStartupWait lets the voter grant at once. The caller must be certain that it has
// granted nothing before.
func (v *Voter) EndStartupWait() { v.startupWaitEnd = time.Time{} }

// Acquire grants names to an owner, or renews its grants.
func (v *Voter) Acquire(owner Owner, seq uint64, names []string, now time.Time) []Grant {
	grants := make([]Grant, 0, len(names))
	for _, name := range names {
		grants = append(grants, v.acquire(owner, seq, name, now))
	}
	return grants
}

func (v *Voter) acquire(owner Owner, seq uint64, name string, now time.Time) Grant {
	old, known := v.grants[name]
	free := !known || old.owner == owner || now.After(old.until)
	if now.Before(v.startupWaitEnd) || !free || !known && len(v.grants) >= maxNames {
		return Grant{Name: name, Epoch: old.epoch}
	}
	epoch := old.epoch
	if old.owner == owner {
		seq = max(seq, old.seq)
	} else {
		epoch++
	}
	v.grants[name] = voterGrant{owner: owner, until: now.Add(Duration), epoch: epoch, seq: seq}
	return Grant{Name: name, Granted: true, Epoch: epoch}
}

// Release ends an owner's grants of names. A release that arrives after a later request
// of the owner is ignored.
func (v *Voter) Release(owner Owner, seq uint64, names []string, now time.Time) {
	for _, name := range names {
		if old, ok := v.grants[name]; ok && old.owner == owner && old.seq <= seq {
			old.until = now.Add(-1)
			v.grants[name] = old
		}
	}
}
