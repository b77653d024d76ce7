package ctrl

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Propose appends a ticket to the log, directly or through the leader, and waits
// until it is applied. After ErrOutcomeUnknown the ticket may or may not have been
// accepted; after ErrOvertaken it has not.
func (c *Control) Propose(ctx context.Context, p ledger.Proposal, conditions ...condition) (ledger.Outcome, error) {
	data, err := ledger.EncodeProposal(p)
	if err != nil {
		return ledger.Outcome{}, err
	}
	ask := &wire.ProposalAsk{Data: data}
	for _, set := range conditions {
		set(ask)
	}
	leader, err := c.awaitLeader(ctx)
	if err != nil {
		return ledger.Outcome{}, err
	}
	if leader != c.options.VM {
		return c.forwardProposal(ctx, leader, ask)
	}
	return c.proposeLocally(ctx, ask)
}

// condition restricts when a proposal takes effect.
type condition func(*wire.ProposalAsk)

// unchangedSince drops a proposal if one of its objects has changed after a state index. The
// leader checks it before it appends the proposal, so that the log holds nothing that replicas
// of other versions would judge differently. A leader of a version without conditions ignores it.
func unchangedSince(index uint64) condition {
	return func(ask *wire.ProposalAsk) { ask.UnchangedSince = &index }
}

// proposeLocally appends a proposal to the log on the leader. It retries while a
// new group is too small to accept proposals, and while a registration that it depends on is not
// applied yet.
func (c *Control) proposeLocally(ctx context.Context, ask *wire.ProposalAsk) (ledger.Outcome, error) {
	answer := make(chan ledger.Outcome, 1)
	received := c.options.Clock.Now()
	proposal, err := ledger.DecodeProposal(ask.GetData())
	if err != nil {
		return ledger.Outcome{}, err
	}
	var proposeErr error
	for {
		if err := c.do(ctx, func() { proposeErr = c.propose(ask, answer) }); err != nil {
			return ledger.Outcome{}, err
		}
		if proposeErr != ErrGroupTooSmall && proposeErr != errRivalInFlight || !c.wait(ctx, pollPeriod) {
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
		if outcome.Verdict == ledger.Accepted && !outcome.Repeated && restricts(proposal) {
			c.awaitDelivery(ctx, outcome.Index, received.Add(deliveryTimeout))
		}
		return outcome, nil
	case <-ctx.Done():
		return ledger.Outcome{}, ErrOutcomeUnknown
	case <-c.done:
		return ledger.Outcome{}, ErrOutcomeUnknown
	}
}

func (c *Control) propose(ask *wire.ProposalAsk, answer chan ledger.Outcome) error {
	if c.forming(c.options.Clock.Now()) {
		return ErrGroupTooSmall
	}
	if ask.UnchangedSince != nil {
		if err := c.checkUnchanged(ask.GetData(), ask.GetUnchangedSince()); err != nil {
			return err
		}
	}
	announced, err := announcements(ask.GetData())
	if err != nil {
		return err
	}
	if err := c.checkAnnouncements(announced); err != nil {
		return err
	}
	index, term, err := c.node.Propose(ask.GetData())
	if err != nil {
		return err
	}
	c.pending[index] = pendingProposal{term: term, answer: answer, announced: announced}
	return nil
}

// checkUnchanged returns ErrOvertaken if an object that a proposal changes has changed after a
// state index, or is changed by an entry of the log that is not applied yet.
func (c *Control) checkUnchanged(data []byte, since uint64) error {
	p, err := ledger.DecodeProposal(data)
	if err != nil {
		return err
	}
	refs := p.Ticket.Refs()
	for _, ref := range refs {
		if record, ok := c.Ledger().State().Record(ref); ok && record.Index > since {
			return ErrOvertaken
		}
	}
	for _, entry := range c.node.ProposedAfter(c.appliedIndex) {
		if entry.Kind != quorum.DataEntry {
			continue
		}
		pending, err := ledger.DecodeProposal(entry.Data)
		if err != nil {
			return errors.Wrapf(err, "log index %d", entry.Index)
		}
		for _, ref := range pending.Ticket.Refs() {
			if slices.Contains(refs, ref) {
				return ErrOvertaken
			}
		}
	}
	return nil
}

// wait waits for d. It returns false if the caller should give up.
func (c *Control) wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
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
		token, readErr = c.issueRead()
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

// issueRead requests a read under a token of its own.
func (c *Control) issueRead() (token uint64, err error) {
	c.readToken++
	return c.readToken, c.node.ReadIndex(c.readToken)
}

// completeRead completes a read that a majority has confirmed.
func (c *Control) completeRead(r quorum.ConfirmedRead) {
	if r.Token == c.beaconToken {
		c.setBeacon(r)
	}
	if previous := c.confirmedToken; r.Token > previous {
		c.confirmedToken = r.Token
		c.sendBeaconToStarted(previous)
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
