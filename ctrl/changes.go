package ctrl

import (
	"context"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// ProposePlan makes a plan the whole configuration, unless a version at least as
// high is held.
func (c *Control) ProposePlan(ctx context.Context, plan ticket.Ticket, author string) (ledger.Outcome, error) {
	digest, err := plan.Digest()
	if err != nil {
		return ledger.Outcome{}, err
	}
	return c.Propose(ctx, ledger.Proposal{Ticket: plan, Digest: digest, Author: author})
}

// SetDataCentreState sets whether a data centre takes new work.
func (c *Control) SetDataCentreState(ctx context.Context, name string, s state.CentreState, author string) error {
	centre, _ := state.Get[state.DataCentre](c.Ledger().State(), name)
	centre.Name, centre.State = name, s
	return c.proposeObject(ctx, centre, author)
}

// Register takes the word of a backend server. It returns once the word is
// accepted and on its way to all entries, or at once if it is not news.
func (c *Control) Register(ctx context.Context, t state.Target) error {
	if !c.Ledger().Admits(t) {
		return nil
	}
	return c.proposeObject(ctx, t, t.Name)
}

// Registered returns what is known of a backend server.
func (c *Control) Registered(name string) (state.Target, bool) {
	return state.Get[state.Target](c.Ledger().State(), name)
}

// proposeObject proposes one object outside the operators' numbers.
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

// RefusedError is a change that does not fit the state.
type RefusedError struct {
	Problems []state.Problem
}

// Error implements error.
func (e *RefusedError) Error() string {
	text := "the change does not fit the state"
	for _, p := range e.Problems {
		text += ": " + p.Text
	}
	return text
}
