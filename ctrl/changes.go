package ctrl

import (
	"context"
	"fmt"
	"math"

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

// SetDataCentreState sets whether a data centre takes new work, unless that has been set after
// the state index since, which the caller read before it gave the order.
func (c *Control) SetDataCentreState(ctx context.Context, name string, s state.DataCentreState, author string, since uint64) error {
	return c.proposeOrder(ctx, author, since, func(current state.State) state.Object {
		dataCentre, _ := state.Get[state.DataCentre](current, name)
		dataCentre.Name, dataCentre.State = name, s
		return dataCentre
	})
}

// Deregister records that a start of a backend server has left. A start that was replaced by a
// later one under the same name has already left.
func (c *Control) Deregister(ctx context.Context, name string, boot uint64) error {
	current, err := c.Current(ctx)
	if err != nil {
		return err
	}
	c.held.drop(name, boot)
	gone := departure(current.State(), name, boot)
	if !current.AcceptsRegistration(gone) {
		c.options.EventLog.Record(event.OrderDropped, name, fmt.Sprintf("deregistration of start %d, which has left already", boot))
		return nil
	}
	return c.proposeObject(ctx, gone, name)
}

// DeregisterPresent records that the start of a backend server that is registered has left, unless
// its registration has changed after the state index since, which the caller read before.
func (c *Control) DeregisterPresent(ctx context.Context, name string, since uint64) error {
	c.held.drop(name, math.MaxUint64)
	return c.proposeOrder(ctx, name, since, func(current state.State) state.Object {
		t, _ := state.Get[state.Target](current, name)
		return departure(current, name, t.Boot)
	})
}

// departure returns the registration that marks a start of a server as gone. The ledger judges
// whether that start may still be registered.
func departure(current state.State, name string, boot uint64) state.Target {
	t, _ := state.Get[state.Target](current, name)
	t.Name, t.Boot, t.Phase, t.Count = name, boot, state.TargetGone, state.LastCount
	return t
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

// proposeOrder proposes the change of an object by an order that has no version of its own, so
// that nothing in it tells a late one from a new one. Its caller has read the state index since
// before it gave the order; ErrOvertaken means that the object has changed after that index.
func (c *Control) proposeOrder(ctx context.Context, author string, since uint64, change func(state.State) state.Object) error {
	o, err := c.dueOrder(ctx, since, change)
	if err != nil {
		c.options.EventLog.Record(event.OrderDropped, change(c.Ledger().State()).Ref().String(), err.Error())
		return err
	}
	err = c.proposeObject(ctx, o, author, unchangedSince(since))
	c.recordOrder(o, err)
	return err
}

// dueOrder returns the object that an order sets. The leader checks since again; a leader of a
// version without conditions does not.
func (c *Control) dueOrder(ctx context.Context, since uint64, change func(state.State) state.Object) (state.Object, error) {
	current, err := c.Current(ctx)
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, ErrCallerLeft
	}
	if err != nil {
		return nil, err
	}
	o := change(current.State())
	record, known := current.State().Record(o.Ref())
	if known && record.Index > since || since > current.State().Index() {
		return nil, ErrOvertaken
	}
	return o, nil
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
