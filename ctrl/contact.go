package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// maxSilence is the time without a message after which a replica may have stood still. It is
	// half of the second for which a caller waits; replicas answer the leader at each tick.
	maxSilence = 10 * tickPeriod
	// orderLife is the longest time for which a replica of a version without conditions passes on
	// an order that it has read: the 900 ms of a call, and a tick for each of two links.
	orderLife = 900*time.Millisecond + 2*tickPeriod
)

// contact is the time of the last message from a VM, and of the first one since it was silent.
type contact struct{ since, last time.Time }

// contacts holds the contact of each control VM.
type contacts map[string]contact

// heard records a message from a VM.
func (c contacts) heard(vm string, now time.Time) {
	k, known := c[vm]
	if !known || now.Sub(k.last) > maxSilence {
		k.since = now
	}
	k.last = now
	c[vm] = k
}

// steady reports whether a VM has not been silent for as long as an order may take from it.
func (c contacts) steady(vm string, now time.Time) bool {
	k, known := c[vm]
	return known && now.Sub(k.last) <= maxSilence && now.Sub(k.since) >= orderLife
}

// checkForwarded returns ErrCallerLeft for an order without a condition if its sender, a replica
// of a version without conditions, may have stood still since the order was given.
func (c *Control) checkForwarded(ctx context.Context, from string, m *wire.ProposalAsk) error {
	if m.UnchangedSince != nil {
		return nil
	}
	p, err := ledger.DecodeProposal(m.GetData())
	if err != nil {
		return err
	}
	if p.Ticket.Number != ledger.SystemNumber || !slices.ContainsFunc(p.Ticket.Set, isUnversioned) {
		return nil
	}
	steady := false
	if err := c.do(ctx, func() { steady = c.contacts.steady(from, c.options.Clock.Now()) }); err != nil {
		return err
	}
	if !steady {
		c.options.EventLog.Record(event.OrderDropped, p.Ticket.Set[0].Ref().String(), "without a condition from "+from+", which was silent")
		return ErrCallerLeft
	}
	return nil
}

// isUnversioned reports whether nothing in an object tells a late order from a new one: the state
// of a data centre, or a departure that is not known to end a certain start.
func isUnversioned(o state.Object) bool {
	switch o := o.(type) {
	case state.DataCentre:
		return true
	case state.Target:
		return o.Phase == state.TargetGone && o.Count != state.LastCount
	default:
		return false
	}
}
