package ctrl

import (
	"context"

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

// SetDataCentreState sets whether a data centre takes new work.
func (c *Control) SetDataCentreState(ctx context.Context, name string, s state.DataCentreState, author string) error {
	dataCentre, _ := state.Get[state.DataCentre](c.Ledger().State(), name)
	dataCentre.Name, dataCentre.State = name, s
	return c.proposeObject(ctx, dataCentre, author)
}

// Register stores the announcement of a backend server. It returns once the
// announcement is accepted, or at once if it changes nothing.
func (c *Control) Register(ctx context.Context, t state.Target) error {
	if !c.Ledger().AcceptsRegistration(t) {
		return nil
	}
	return c.proposeObject(ctx, t, t.Name)
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

// proposeObject proposes a change of one object, outside the operators' numbering of
// tickets.
func (c *Control) proposeObject(ctx context.Context, o state.Object, author string) error {
	change := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{o}}
	outcome, err := c.Propose(ctx, ledger.Proposal{Ticket: change, Author: author})
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
