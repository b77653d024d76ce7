package ctrl

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

// quietLink sends nothing.
type quietLink struct{ link.Link }

func (quietLink) Send(string, *wire.Envelope) bool { return true }

// After a power loss all entries ask for a large configuration at the same time. Only a
// few get it from one control VM at once, and the next as soon as one of them has it.
func TestEntriesThatHaveALargeDeltaMakeRoomForOthers(t *testing.T) {
	is := is.New(t)
	var set []state.Object
	for i := range 30_000 {
		set = append(set, state.Workspace{Name: fmt.Sprint("workspace-", i), Rate: 10, Burst: 10})
	}
	plan := ticket.NewPlan(7, []byte("large"), set...)
	digest, err := plan.Digest()
	is.NoErr(err)
	book, outcome := ledger.New(ledger.DefaultWindow).Apply(1, ledger.Proposal{Ticket: plan, Digest: digest})
	is.Equal(outcome.Verdict, ledger.Accepted)
	c := &Control{options: newOptions(VM("c1")), watchers: make(map[string]*watcher), link: quietLink{}}
	c.ledger.Store(&book)
	c.status.Store(&quorum.Status{})
	ask := func(vm string, index uint64) (placed bool) {
		c.handleWatch(vm, &wire.Watch{Index: index, DataCentre: "d"})
		return !c.watchers[vm].bulkAt.IsZero()
	}
	for i := range maxBulk {
		is.True(ask(fmt.Sprint("e", i), 0))
	}
	is.True(!ask("late", 0))
	ask("e0", book.State().Index()) // e0 has it now
	is.True(ask("late", 0))
}

// Entries that have met only those that asked the same control VM first are told of
// others, until they know as many as this control VM does.
func TestEntriesThatKnowTooFewOthersAreToldOfMore(t *testing.T) {
	is := is.New(t)
	c := &Control{options: newOptions(VM("c1")), watchers: make(map[string]*watcher)}
	now := c.options.Clock.Now()
	for i := range 40 {
		c.watchers[fmt.Sprint("e", i)] = &watcher{heard: now, members: 13, addr: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	is.Equal(len(c.peers("e0", c.watchers["e0"])), maxPeers)
	c.watchers["e0"].members = 40
	is.Equal(len(c.peers("e0", c.watchers["e0"])), 0)
}
