package ctrl

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
)

// Propose puts a ticket into the log, on this replica or through the leader, and
// waits until it is applied. ErrOutcomeUnknown means that the ticket may or may not be
// accepted.
func (c *Control) Propose(ctx context.Context, p ledger.Proposal) (ledger.Outcome, error) {
	data, err := ledger.EncodeProposal(p)
	if err != nil {
		return ledger.Outcome{}, err
	}
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return ledger.Outcome{}, err
	}
	if leader != c.options.VM {
		return c.forwardProposal(ctx, leader, data)
	}
	return c.proposeHere(ctx, data)
}

// proposeHere puts a record into the log as its leader. While a new group grows,
// the record waits.
func (c *Control) proposeHere(ctx context.Context, data []byte) (ledger.Outcome, error) {
	answer := make(chan ledger.Outcome, 1)
	failed := ErrGroupTooSmall
	for failed == ErrGroupTooSmall {
		if err := c.do(ctx, func() { failed = c.propose(data, answer) }); err != nil {
			return ledger.Outcome{}, err
		}
		if failed == ErrGroupTooSmall && !c.pause(ctx) {
			break
		}
	}
	if failed != nil {
		return ledger.Outcome{}, failed
	}
	select {
	case outcome, ok := <-answer:
		if !ok {
			return ledger.Outcome{}, errors.Wrap(ErrNotLeader, "leadership changed")
		}
		return outcome, nil
	case <-ctx.Done():
		return ledger.Outcome{}, ErrOutcomeUnknown
	case <-c.done:
		return ledger.Outcome{}, ErrOutcomeUnknown
	}
}

func (c *Control) propose(data []byte, answer chan ledger.Outcome) error {
	if c.growing(c.options.Clock.Now()) {
		return ErrGroupTooSmall
	}
	index, term, err := c.core.Propose(data)
	if err != nil {
		return err
	}
	c.pending[index] = pendingTicket{term: term, answer: answer}
	return nil
}

// pause waits a little, and reports whether there is still a reason to wait.
func (c *Control) pause(ctx context.Context) bool {
	select {
	case <-time.After(leaderPoll):
		return true
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	}
}

// Current returns the state with every ticket accepted before the call. Another
// replica than the leader asks it for a confirmed index, and waits until it has
// applied that much.
func (c *Control) Current(ctx context.Context) (ledger.Ledger, error) {
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return ledger.Ledger{}, err
	}
	if leader == c.options.VM {
		_, err := c.confirm(ctx)
		return c.Ledger(), err
	}
	index, err := c.forwardRead(ctx, leader)
	if err != nil {
		return ledger.Ledger{}, err
	}
	if err := c.awaitApplied(ctx, index); err != nil {
		return ledger.Ledger{}, err
	}
	return c.Ledger(), nil
}

// confirm returns an index that includes every ticket accepted before the call,
// once a majority has confirmed that this replica leads. It is applied here.
func (c *Control) confirm(ctx context.Context) (uint64, error) {
	answer := make(chan quorum.ConfirmedRead, 1)
	var failed error
	var token uint64
	err := c.do(ctx, func() {
		c.token++
		token = c.token
		failed = c.core.ReadIndex(token)
		if failed == nil {
			c.reads[token] = answer
		}
	})
	if err != nil {
		return 0, err
	}
	if failed != nil {
		return 0, failed
	}
	select {
	case read := <-answer:
		return read.Index, nil
	case <-ctx.Done():
		c.enqueue(func() { delete(c.reads, token) })
		return 0, ErrNotLeader
	case <-c.done:
		return 0, ErrStopped
	}
}

// finishRead answers the read that a majority has confirmed.
func (c *Control) finishRead(r quorum.ConfirmedRead) {
	if r.Token == c.beaconToken {
		c.renewBeacon(r)
		return
	}
	answer, ok := c.reads[r.Token]
	if !ok {
		return
	}
	delete(c.reads, r.Token)
	answer <- r
}

// WaitInForce waits until the state at an index is in force everywhere.
func (c *Control) WaitInForce(ctx context.Context, index uint64) error {
	for {
		inForce := false
		err := c.do(ctx, func() { inForce = c.inForce(index) })
		if err != nil {
			return err
		}
		if inForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(inForcePoll):
		}
	}
}

const inForcePoll = 20 * time.Millisecond
