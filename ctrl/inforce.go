package ctrl

import (
	"time"

	"github.com/dottereldeal/dottereldeal/fresh"
	"github.com/dottereldeal/dottereldeal/quorum"
)

// inForce reports whether no entry serves by a state older than an index.
//
// The quick way: every entry that this leader has heard within the hold time
// has acknowledged the index, stopped serving or left, and there are as many as
// the entries themselves believe to be there. The sure way: the index was
// accepted, and a majority of the voters holds it, longer ago than the hold
// time. Whoever has heard neither a leader nor a majority of the voters since
// then has stopped; whoever has heard one of them holds the index or has
// stopped (see package fresh).
func (c *Control) inForce(index uint64) bool {
	if c.status.Load().Role != quorum.Leader || c.applied < index {
		return false
	}
	now := c.options.Clock.Now()
	return c.allAcknowledged(index, now) || c.held(index, now)
}

const (
	// learnWatchers is how long a new leader waits for entries to report.
	learnWatchers = 1500 * time.Millisecond
	// politeWait is how long an entry that does not serve is waited for, too.
	politeWait = 2 * time.Second
)

// allAcknowledged reports whether every entry has acknowledged an index.
func (c *Control) allAcknowledged(index uint64, now time.Time) bool {
	learnt := now.Sub(c.ledSince)
	if learnt < fresh.MaxStaleness && !c.firstTicket(index) || learnt < learnWatchers {
		return false
	}
	acknowledged, members := 0, 0
	for _, w := range c.watchers {
		switch {
		case w.index >= index:
			acknowledged++
			members = max(members, w.members)
		case w.leaving, !w.serving && now.Sub(w.heard) < silentWatcher && now.Sub(c.changedAt) > politeWait:
		case now.Sub(w.heard) < fresh.MaxStaleness:
			return false
		}
	}
	return acknowledged >= members
}

// firstTicket reports whether no state came before an index: then no entry can
// serve by an older one.
func (c *Control) firstTicket(index uint64) bool {
	return c.firstIndex == 0 || c.firstIndex == index
}

// held reports whether a majority of the voters has held an index for the hold
// time.
func (c *Control) held(index uint64, now time.Time) bool {
	voters := c.Ledger().State().Electors()
	if len(voters) == 0 {
		return false
	}
	if c.heldIndex < index {
		c.noteHeld(index, voters, now)
	}
	for _, h := range c.heldSince {
		if h.index >= index && now.Sub(h.at) > fresh.MaxStaleness {
			return true
		}
	}
	return false
}

// heldMark says that a majority of the voters held an index at an instant.
type heldMark struct {
	index uint64
	at    time.Time
}

// maxHeldMarks bounds the remembered marks.
const maxHeldMarks = 64

// noteHeld remembers that a majority of the voters holds an index now.
func (c *Control) noteHeld(index uint64, voters []string, now time.Time) {
	holding := 0
	for _, vm := range voters {
		if w, ok := c.watchers[vm]; ok && w.index >= index {
			holding++
		}
	}
	if holding <= len(voters)/2 {
		return
	}
	c.heldIndex = index
	c.heldSince = append(c.heldSince, heldMark{index, now})
	if len(c.heldSince) > maxHeldMarks {
		c.heldSince = c.heldSince[1:]
	}
}

// tickForce notes what the voters hold, so that the hold time starts early.
func (c *Control) tickForce(now time.Time) {
	s := c.Ledger().State()
	if c.status.Load().Role == quorum.Leader && c.heldIndex < s.Index() {
		c.noteHeld(s.Index(), s.Electors(), now)
	}
}
