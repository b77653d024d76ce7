package ctrl

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

func TestReplicaIsSteadyOnceItWasHeardForTheLifeOfAnOrder(t *testing.T) {
	is := is.New(t)
	c := make(contacts)
	start := time.Unix(1000, 0)
	now := start
	is.True(!c.steady("c1", now)) // a new leader has heard nothing
	beat := func(until time.Time) {
		for ; now.Before(until); now = now.Add(tickPeriod) {
			c.heard("c1", now)
		}
	}
	beat(start.Add(orderLife))
	is.True(!c.steady("c1", now.Add(-tickPeriod)))
	c.heard("c1", now)
	is.True(c.steady("c1", now))
	is.True(!c.steady("c2", now))
	is.True(c.steady("c1", now.Add(maxSilence)))
	woken := now.Add(maxSilence + 1)
	is.True(!c.steady("c1", woken)) // its order comes before its first answer
	c.heard("c1", woken)
	is.True(!c.steady("c1", woken)) // or after it
	is.True(!c.steady("c1", woken.Add(tickPeriod)))
	now = woken
	beat(woken.Add(orderLife))
	c.heard("c1", now)
	is.True(c.steady("c1", now))
}

// Guards against an order that a replica of an earlier version carries out when it wakes, long
// after its caller has left: such a replica sends no condition (EVAC).
func TestOrderWithoutConditionFromAReplicaThatWasSilentIsDropped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, follower := newCompleteGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	send := func(o state.Object) error {
		data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{o}}})
		is.NoErr(err)
		_, err = g.nodes[follower].forwardProposal(ctx, g.vm(leader), &wire.ProposalAsk{Data: data})
		return err
	}
	// The leader takes the follower for one that has just been silent.
	wake := func() {
		is.NoErr(g.nodes[leader].do(ctx, func() { delete(g.nodes[leader].contacts, g.vm(follower)) }))
	}
	is.NoErr(g.order(ctx, leader, state.DataCentreOut))
	in := state.DataCentre{Name: dataCentre, State: state.DataCentreIn}
	is.NoErr(g.nodes[leader].Register(ctx, newServer(3, 1)))
	gone := newServer(3, 2).WithPhase(state.TargetGone)
	wake()
	is.True(send(in) != nil)
	is.True(g.out(ctx, leader))
	is.True(send(gone) != nil)
	is.NoErr(send(newServer(3, 4))) // announcements have a count
	g.await("steady follower", 4*time.Second, func() bool { return send(in) == nil })
	is.True(!g.out(ctx, leader))
	is.NoErr(send(gone))
}
