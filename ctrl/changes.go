package ctrl

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// ProposePlan replaces the whole configuration with a plan, unless the current plan
// has the same or a higher version.
func (c *Control) ProposePlan(ctx context.Context, plan ticket.Ticket, author string) (ledger.Outcome, error) {
	digest, err := plan.Digest()
	if err != nil {
		return ledger.Outcome{}, err
	}
	return c.Propose(ctx, ledger.Proposal{Ticket: plan, Digest: digest, Author: author})
}

// SetDataCentreState sets whether a data centre takes new work. ErrCallerLeft means that ctx was
// cancelled before the order was proposed.
func (c *Control) SetDataCentreState(ctx context.Context, name string, s state.DataCentreState, author string) error {
	return c.proposeOrder(ctx, author, func(current state.State) state.Object {
		dataCentre, _ := state.Get[state.DataCentre](current, name)
		dataCentre.Name, dataCentre.State = name, s
		return dataCentre
	})
}

// Register stores the announcement of a backend server. It returns once the
// announcement is accepted, or at once if it changes nothing.
func (c *Control) Register(ctx context.Context, t state.Target) error {
	if !c.Ledger().AcceptsRegistration(t) {
		return nil
	}
	return c.proposeObject(ctx, t, t.Name)
}

// Deregister records that a start of a backend server has left. boot identifies the start; at 0
// it is unknown, and the one that is registered is meant. A start that was replaced by a later
// one under the same name has already left.
func (c *Control) Deregister(ctx context.Context, name string, boot uint64) error {
	if boot == 0 {
		return c.proposeOrder(ctx, name, func(current state.State) state.Object {
			gone, _ := departure(current, name, 0)
			return gone
		})
	}
	current, err := c.Current(ctx)
	if err != nil {
		return err
	}
	gone, due := departure(current.State(), name, boot)
	if !due {
		c.options.EventLog.Record(event.OrderDropped, name, fmt.Sprintf("deregistration of start %d, which has left already", boot))
		return nil
	}
	return c.proposeObject(ctx, gone, name)
}

// departure returns the registration that marks a start of a server as gone, and whether that
// start may still be registered. boot is 0 for the start that is registered.
func departure(current state.State, name string, boot uint64) (state.Target, bool) {
	t, known := state.Get[state.Target](current, name)
	if boot != 0 && known && t.Boot > boot {
		return t, false
	}
	if boot != 0 {
		t.Boot = boot
	}
	t.Name, t.Phase, t.Count = name, state.TargetGone, state.LastCount
	return t, true
}

// Registered returns the last accepted registration of a backend server, and whether it
// exists. This replica may lag behind, so the read is confirmed by the leader.
func (c *Control) Registered(ctx context.Context, name string) (state.Target, bool, error) {
	current, err := c.Current(ctx)
	if err != nil {
		return state.Target{}, false, err
	}
	t, known := state.Get[state.Target](current.State(), name)
	return t, known, nil
}

// closeDelay is how long after an order the end of its caller's connection may arrive. An order
// that was held up on a link or at a process that stood still comes with that end behind it.
const closeDelay = 50 * time.Millisecond

// proposeOrder proposes the change of an object by an order that has no version of its own, so
// that nothing tells a late one from a new one. It therefore takes effect only if its caller was
// waiting at a time after which the object has not changed.
func (c *Control) proposeOrder(ctx context.Context, author string, change func(state.State) state.Object) error {
	c.wait(ctx, closeDelay)
	for {
		current, err := c.Current(ctx)
		if err == nil {
			err = ctx.Err()
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			err = ErrCallerLeft
		}
		if err != nil {
			c.options.EventLog.Record(event.OrderDropped, change(c.Ledger().State()).Ref().String(), err.Error())
			return err
		}
		o := change(current.State())
		err = c.proposeObject(ctx, o, author, unchangedSince(current.State().Index()))
		c.recordOrder(o, err)
		if !errors.Is(err, ErrOvertaken) {
			return err
		}
	}
}

func (c *Control) recordOrder(o state.Object, err error) {
	detail := "accepted"
	if err != nil {
		detail = err.Error()
	}
	c.options.EventLog.Record(event.OrderProposed, o.Ref().String(), detail)
}

// proposeObject proposes a change of one object, outside the operators' numbering of
// tickets.
func (c *Control) proposeObject(ctx context.Context, o state.Object, author string, conditions ...condition) error {
	change := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{o}}
	outcome, err := c.Propose(ctx, ledger.Proposal{Ticket: change, Author: author}, conditions...)
	if err != nil {
		return err
	}
	if outcome.Verdict == ledger.Refused {
		return &RefusedError{Problems: outcome.Problems}
	}
	return nil
}

// RefusedError means that a change conflicts with the current state.
type RefusedError struct {
	Problems []state.Problem
}

// Error implements error.
func (e *RefusedError) Error() string {
	text := "change conflicts with the current state"
	for _, p := range e.Problems {
		text += ": " + p.Text
	}
	return text
}
