package ctrl

import (
	"time"

	"github.com/dottereldeal/dottereldeal/fresh"
	"github.com/dottereldeal/dottereldeal/quorum"
)

// inForce reports whether no entry serves from a state older than index any more.
// Either of two conditions is sufficient:
//
//   - Every entry that this leader has heard from within fresh.MaxStaleness has
//     acknowledged the index, stopped serving or is leaving, and at least as many
//     entries have acknowledged it as the entries themselves count as members.
//   - The index is committed, and a majority of the lease voters has held it for
//     longer than fresh.MaxStaleness. An entry that has since heard from neither a
//     leader nor a majority of the voters has stopped serving; an entry that has
//     heard from either holds the index or has stopped serving (see package fresh).
func (c *Control) inForce(index uint64) bool {
	if c.status.Load().Role != quorum.Leader || c.appliedIndex < index {
		return false
	}
	now := c.options.Clock.Now()
	return c.allAcknowledged(index, now) || c.heldByMajority(index, now)
}

const (
	// watcherDiscoveryTime is how long a new leader waits for entries to report.
	watcherDiscoveryTime = 1500 * time.Millisecond
	// nonServingWait is how long after a change the acknowledgements of entries
	// that do not serve are also awaited.
	nonServingWait = 2 * time.Second
)

// allAcknowledged reports whether every known entry has acknowledged index.
func (c *Control) allAcknowledged(index uint64, now time.Time) bool {
	leaderFor := now.Sub(c.leaderSince)
	if leaderFor < fresh.MaxStaleness && !c.firstTicket(index) || leaderFor < watcherDiscoveryTime {
		return false
	}
	return c.acknowledged(index, func(w *watcher) bool {
		isStopped := !w.serving && now.Sub(w.lastHeard) < reportTimeout && now.Sub(c.lastChange) > nonServingWait
		return !w.leaving && !isStopped && now.Sub(w.lastHeard) < fresh.MaxStaleness
	})
}

// acknowledged reports whether all entries that are waited for have acknowledged index, and at
// least as many entries as those count as members.
func (c *Control) acknowledged(index uint64, awaited func(*watcher) bool) bool {
	acknowledged, members := 0, 0
	for _, w := range c.watchers {
		switch {
		case w.index >= index:
			acknowledged++
			members = max(members, w.members)
		case awaited(w):
			return false
		}
	}
	return acknowledged >= members
}

// firstTicket reports whether index is firstIndex or no ticket has been applied. It
// is taken to mean that no entry can serve from an older state.
func (c *Control) firstTicket(index uint64) bool {
	return c.firstIndex == 0 || c.firstIndex == index
}

// heldByMajority reports whether a majority of the lease voters has held index for
// longer than fresh.MaxStaleness.
func (c *Control) heldByMajority(index uint64, now time.Time) bool {
	voters := c.Ledger().State().ActiveVoters()
	if len(voters) == 0 {
		return false
	}
	if c.majorityIndex < index {
		c.recordMajority(index, voters, now)
	}
	for _, m := range c.majorityMarks {
		if m.index >= index && now.Sub(m.at) > fresh.MaxStaleness {
			return true
		}
	}
	return false
}

// majorityMark records when a majority of the lease voters was seen to hold index.
type majorityMark struct {
	index uint64
	at    time.Time
}

const maxMajorityMarks = 64

// recordMajority adds a mark if a majority of the lease voters holds index now.
func (c *Control) recordMajority(index uint64, voters []string, now time.Time) {
	acknowledged := 0
	for _, vm := range voters {
		if w, ok := c.watchers[vm]; ok && w.index >= index {
			acknowledged++
		}
	}
	if acknowledged <= len(voters)/2 {
		return
	}
	c.majorityIndex = index
	c.majorityMarks = append(c.majorityMarks, majorityMark{index, now})
	if len(c.majorityMarks) > maxMajorityMarks {
		c.majorityMarks = c.majorityMarks[1:]
	}
}

// tickInForce checks whether a majority of the voters holds the current index, so
// that the hold time is measured from the earliest possible moment.
func (c *Control) tickInForce(now time.Time) {
	s := c.Ledger().State()
	if c.status.Load().Role == quorum.Leader && c.majorityIndex < s.Index() {
		c.recordMajority(s.Index(), s.ActiveVoters(), now)
	}
}
