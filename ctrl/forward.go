package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// pollPeriod is the interval at which waiting requests check for a leader, for
	// an applied index, or whether a new group accepts proposals.
	pollPeriod = 10 * time.Millisecond
	// maxForwarded limits the concurrent requests that the leader serves for other
	// replicas.
	maxForwarded = 256
	// forwardTimeout limits the time that the leader spends on a forwarded request.
	forwardTimeout = 5 * time.Second
)

// requestTable tracks the requests sent to the leader that await an answer, and
// counts the forwarded requests being served here.
type requestTable struct {
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *wire.Envelope
	active  int
}

// add registers a new request and returns its sequence number and answer channel.
func (t *requestTable) add() (uint64, <-chan *wire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = make(map[uint64]chan *wire.Envelope)
		t.seq = link.FirstNumber()
	}
	t.seq++
	answer := make(chan *wire.Envelope, 1)
	t.waiting[t.seq] = answer
	return t.seq, answer
}

func (t *requestTable) remove(seq uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, seq)
}

// complete passes an answer to the request with a sequence number. Answers to
// unknown requests are dropped.
func (t *requestTable) complete(seq uint64, e *wire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answer, ok := t.waiting[seq]; ok {
		answer <- e
		delete(t.waiting, seq)
	}
}

// acquire reserves a slot for a forwarded request, and reports whether one was free.
func (t *requestTable) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active >= maxForwarded {
		return false
	}
	t.active++
	return true
}

func (t *requestTable) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
}

// awaitLeader returns the VM of the leader. While none is known, it waits for an
// election to finish.
func (c *Control) awaitLeader(ctx context.Context) (string, error) {
	for {
		s := c.status.Load()
		if s.Role == quorum.Leader {
			return c.options.VM, nil
		}
		if vm := c.leaderVM(*s); vm != "" {
			return vm, nil
		}
		select {
		case <-ctx.Done():
			return "", ErrNotLeader
		case <-c.done:
			return "", ErrStopped
		case <-time.After(pollPeriod):
		}
	}
}

// request sends a request to the leader and waits for the answer.
func (c *Control) request(ctx context.Context, leader string, newRequest func(seq uint64) *wire.Envelope) (*wire.Envelope, error) {
	seq, answer := c.requests.add()
	defer c.requests.remove(seq)
	c.transport.Send(leader, newRequest(seq))
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-c.done:
		return nil, ErrOutcomeUnknown
	}
}

func (c *Control) forwardProposal(ctx context.Context, leader string, ask *wire.ProposalAsk) (ledger.Outcome, error) {
	e, err := c.request(ctx, leader, func(seq uint64) *wire.Envelope {
		ask.Seq = seq
		return &wire.Envelope{Body: &wire.Envelope_ProposalAsk{ProposalAsk: ask}}
	})
	if err != nil {
		return ledger.Outcome{}, err
	}
	m := e.GetProposalAnswer()
	if m.GetOvertaken() {
		return ledger.Outcome{}, ErrOvertaken
	}
	if m.GetError() != "" {
		return ledger.Outcome{}, errors.Wrap(ErrOutcomeUnknown, m.GetError())
	}
	return outcomeFromWire(m), nil
}

func (c *Control) forwardRead(ctx context.Context, leader string) (uint64, error) {
	e, err := c.request(ctx, leader, func(seq uint64) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_ReadAsk{ReadAsk: &wire.ReadAsk{Seq: seq}}}
	})
	if err != nil {
		return 0, err
	}
	if index := e.GetReadAnswer().GetIndex(); index > 0 {
		return index, nil
	}
	return 0, ErrNotLeader
}

// awaitApplied waits until this replica has applied the log up to index.
func (c *Control) awaitApplied(ctx context.Context, index uint64) error {
	for {
		var applied uint64
		if err := c.do(ctx, func() { applied = c.appliedIndex }); err != nil {
			return err
		}
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(pollPeriod):
		}
	}
}

// serveProposal handles a proposal forwarded by another replica.
func (c *Control) serveProposal(from string, m *wire.ProposalAsk) {
	c.serveForwarded(from, func(ctx context.Context) *wire.Envelope {
		answer := &wire.ProposalAnswer{}
		var outcome ledger.Outcome
		err := c.checkForwarded(ctx, from, m)
		if err == nil {
			outcome, err = c.proposeLocally(ctx, m)
		}
		if err != nil {
			answer.Error, answer.Overtaken = err.Error(), errors.Is(err, ErrOvertaken)
		} else {
			answer = outcomeToWire(outcome)
		}
		answer.Seq = m.GetSeq()
		return &wire.Envelope{Body: &wire.Envelope_ProposalAnswer{ProposalAnswer: answer}}
	})
}

// serveRead handles a read request forwarded by another replica.
func (c *Control) serveRead(from string, m *wire.ReadAsk) {
	c.serveForwarded(from, func(ctx context.Context) *wire.Envelope {
		answer := &wire.ReadAnswer{Seq: m.GetSeq()}
		index, err := c.confirmReadIndex(ctx)
		if err != nil {
			// An index of 0 tells the caller that leadership could not be confirmed.
			c.options.EventLog.Record(event.ReadRefused, from, err.Error())
		}
		answer.Index = index
		return &wire.Envelope{Body: &wire.Envelope_ReadAnswer{ReadAnswer: answer}}
	})
}

// serveForwarded handles a forwarded request in a goroutine. Requests over the
// limit are dropped; the caller's deadline ends them.
func (c *Control) serveForwarded(from string, work func(context.Context) *wire.Envelope) {
	if !c.isControl(from) || !c.requests.acquire() {
		return
	}
	go func() {
		defer c.requests.release()
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		c.transport.Send(from, work(ctx))
	}()
}

func outcomeToWire(o ledger.Outcome) *wire.ProposalAnswer {
	m := &wire.ProposalAnswer{
		Number: o.TicketNumber, Verdict: string(o.Verdict), Digest: o.Digest[:], Index: o.Index,
		Author: o.Author, Repeated: o.Repeated,
	}
	for _, p := range o.Problems {
		m.Problems = append(m.Problems, &wire.Problem{
			Kind: string(p.Kind), RefKind: string(p.Ref.Kind), RefName: p.Ref.Name, Text: p.Text,
		})
	}
	return m
}

func outcomeFromWire(m *wire.ProposalAnswer) ledger.Outcome {
	o := ledger.Outcome{
		TicketNumber: m.GetNumber(), Verdict: ledger.Verdict(m.GetVerdict()), Index: m.GetIndex(),
		Author: m.GetAuthor(), Repeated: m.GetRepeated(),
	}
	var digest ticket.Digest
	copy(digest[:], m.GetDigest())
	o.Digest = digest
	for _, p := range m.GetProblems() {
		o.Problems = append(o.Problems, state.Problem{
			Kind: state.ProblemKind(p.GetKind()), Text: p.GetText(),
			Ref: state.Ref{Kind: state.Kind(p.GetRefKind()), Name: p.GetRefName()},
		})
	}
	return o
}
