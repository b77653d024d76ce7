package ctrl

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
)

// Propose appends a ticket to the log, directly or through the leader, and waits
// until it is applied. After ErrOutcomeUnknown the ticket may or may not have been
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
	return c.proposeLocally(ctx, data)
}

// proposeLocally appends a proposal to the log on the leader. It retries while a
// new group is too small to accept proposals.
func (c *Control) proposeLocally(ctx context.Context, data []byte) (ledger.Outcome, error) {
	answer := make(chan ledger.Outcome, 1)
	proposeErr := ErrGroupTooSmall
	for proposeErr == ErrGroupTooSmall {
		if err := c.do(ctx, func() { proposeErr = c.propose(data, answer) }); err != nil {
			return ledger.Outcome{}, err
		}
		if proposeErr == ErrGroupTooSmall && !c.waitForRetry(ctx) {
			break
		}
	}
	if proposeErr != nil {
		return ledger.Outcome{}, proposeErr
	}
	select {
	case outcome, ok := <-answer:
		if !ok {
			return ledger.Outcome{}, errors.Wrap(ErrNotLeader, "proposal dropped before it was applied")
		}
		return outcome, nil
	case <-ctx.Done():
		return ledger.Outcome{}, ErrOutcomeUnknown
	case <-c.done:
		return ledger.Outcome{}, ErrOutcomeUnknown
	}
}

func (c *Control) propose(data []byte, answer chan ledger.Outcome) error {
	if c.forming(c.options.Clock.Now()) {
		return ErrGroupTooSmall
	}
	index, term, err := c.node.Propose(data)
	if err != nil {
		return err
	}
	c.pending[index] = pendingProposal{term: term, answer: answer}
	return nil
}

// waitForRetry waits for pollPeriod. It returns false if the caller should give up.
func (c *Control) waitForRetry(ctx context.Context) bool {
	select {
	case <-time.After(pollPeriod):
		return true
	case <-ctx.Done():
		return false
	case <-c.done:
		return false
	}
}

// Current is a linearizable read: it returns a state that includes every ticket
// accepted before the call. A follower requests a confirmed index from the leader
// and waits until it has applied the log up to that index.
func (c *Control) Current(ctx context.Context) (ledger.Ledger, error) {
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return ledger.Ledger{}, err
	}
	if leader == c.options.VM {
		_, err := c.confirmReadIndex(ctx)
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

// confirmReadIndex returns an index that includes every ticket accepted before the
// call, once a majority has confirmed that this replica leads. This replica has
// applied the log up to that index.
func (c *Control) confirmReadIndex(ctx context.Context) (uint64, error) {
	answer := make(chan quorum.ConfirmedRead, 1)
	var readErr error
	var token uint64
	err := c.do(ctx, func() {
		c.readToken++
		token = c.readToken
		readErr = c.node.ReadIndex(token)
		if readErr == nil {
			c.pendingReads[token] = answer
		}
	})
	if err != nil {
		return 0, err
	}
	if readErr != nil {
		return 0, readErr
	}
	select {
	case read := <-answer:
		return read.Index, nil
	case <-ctx.Done():
		c.enqueue(func() { delete(c.pendingReads, token) })
		return 0, ErrNotLeader
	case <-c.done:
		return 0, ErrStopped
	}
}

// completeRead completes a read that a majority has confirmed.
func (c *Control) completeRead(r quorum.ConfirmedRead) {
	if r.Token == c.beaconToken {
		c.setBeacon(r)
		return
	}
	answer, ok := c.pendingReads[r.Token]
	if !ok {
		return
	}
	delete(c.pendingReads, r.Token)
	answer <- r
}

// WaitInForce waits until no entry serves from a state older than index.
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
		case <-time.After(inForcePollPeriod):
		}
	}
}

const inForcePollPeriod = 20 * time.Millisecond
