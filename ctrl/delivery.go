package ctrl

import (
	"context"
	"math"
	"time"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	// deliveryTimeout bounds, from the arrival of a call at the leader, the wait until entries hold what
	// it accepts. Callers try another VM after a second.
	deliveryTimeout = 700 * time.Millisecond
	// deliveryPollPeriod is the interval at which calls look whether entries hold their change.
	deliveryPollPeriod = 10 * time.Millisecond
)

// restricts reports whether a proposal takes something away from requests: a server or a data centre that
// gets no more of them, or the configuration before. Entries that have not heard of it break what its
// acknowledgement says; those that have not heard of a new server do not. Callers of tickets wait until
// these are in force everywhere.
func restricts(p ledger.Proposal) bool {
	if p.Ticket.Plan != nil {
		return true
	}
	for _, object := range p.Ticket.Set {
		switch o := object.(type) {
		case state.Target:
			if o.Phase == state.TargetLeaving || o.Phase == state.TargetGone {
				return true
			}
		case state.DataCentre:
			if o.State == state.DataCentreOut {
				return true
			}
		}
	}
	return false
}

// awaitDelivery waits, until a time at most, until every entry that reports to this leader holds the state
// at index. One that is cut off or stands still does not report, and is not waited for.
func (c *Control) awaitDelivery(ctx context.Context, index uint64, until time.Time) {
	for c.deliveredIndex.Load() < index && c.options.Clock.Now().Before(until) {
		if !c.wait(ctx, deliveryPollPeriod) {
			return
		}
	}
}

// noteDelivered notes the lowest state index among the entries that report to this replica.
func (c *Control) noteDelivered(now time.Time) {
	lowest := uint64(math.MaxUint64)
	if c.status.Load().Role == quorum.Leader {
		if now.Sub(c.leaderSince) < watcherDiscoveryTime {
			lowest = 0 // entries have not reported yet
		}
		for _, w := range c.watchers {
			if w.index > 0 && !w.brief && w.present(now) {
				lowest = min(lowest, w.index)
			}
		}
	}
	c.deliveredIndex.Store(lowest)
}
