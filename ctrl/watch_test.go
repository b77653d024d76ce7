package ctrl

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

// After a power loss all entries ask for a large configuration at the same time. Only a
// few get it from one control VM at once, and the next as soon as one of them has it.
func TestEntriesThatHaveALargeDeltaMakeRoomForOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	var set []state.Object
	for i := range 30_000 {
		set = append(set, state.Workspace{Name: fmt.Sprint("workspace-", i), Rate: 10, Burst: 10})
	}
	c.propose(0, ticket.NewPlan(7, []byte("large"), set...))
	is.Equal(c.read(0), uint64(7))
	node := c.nodes[0]
	ask := func(vm string, index uint64) (placed bool) {
		err := node.do(context.Background(), func() {
			node.handleWatch(vm, &wire.Watch{Index: index, DataCentre: "d"})
			placed = !node.watchers[vm].bulkAt.IsZero()
		})
		is.NoErr(err)
		return placed
	}
	for i := range maxBulk {
		is.True(ask(fmt.Sprint("e", i), 0))
	}
	is.True(!ask("late", 0))
	ask("e0", node.Ledger().State().Index()) // e0 has it now
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
