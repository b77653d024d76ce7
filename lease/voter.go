package lease

import "time"

const (
	// minTenure is the time for which an owner cannot be contested: a lease that moves more often
	// costs more than a holder that some entries do not reach.
	minTenure = 5 * time.Second
	// contestTimeout is how long a contest lasts after the last request of the contender.
	contestTimeout = time.Second
)

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
	// since is when the owner got the first of its grants, and contestedAt when another one last
	// contested them.
	since       time.Time
	contestedAt time.Time
}

// yields reports whether the owner has to leave the name to a contender.
func (g voterGrant) yields(now time.Time) bool {
	return !g.contestedAt.IsZero() && now.Sub(g.contestedAt) < contestTimeout && now.Sub(g.since) >= minTenure
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

// Contest notes that several entries are not served by the owners of names, and want another one
// to have them. An owner whose grants are contested gets no further ones, so that they run out.
func (v *Voter) Contest(contender Owner, names []string, now time.Time) {
	for _, name := range names {
		if old, known := v.grants[name]; known && old.owner != contender {
			old.contestedAt = now
			v.grants[name] = old
		}
	}
}

func (v *Voter) acquire(owner Owner, seq uint64, name string, now time.Time) Grant {
	old, known := v.grants[name]
	free := !known || now.After(old.until)
	if known && old.owner == owner {
		free = !old.yields(now)
	}
	if now.Before(v.startupWaitEnd) || !free || !known && len(v.grants) >= maxNames {
		return Grant{Name: name, Epoch: old.epoch}
	}
	next := voterGrant{owner: owner, until: now.Add(Duration), epoch: old.epoch + 1, seq: seq, since: now}
	if old.owner == owner {
		next.epoch, next.seq, next.since, next.contestedAt = old.epoch, max(seq, old.seq), old.since, old.contestedAt
	}
	v.grants[name] = next
	return Grant{Name: name, Granted: true, Epoch: next.epoch}
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
