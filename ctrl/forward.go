package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// leaderPoll is the time between two looks for a leader or for an applied index.
	leaderPoll = 10 * time.Millisecond
	// maxForwarded bounds the requests that the leader serves for other replicas
	// at the same time.
	maxForwarded = 256
	// forwardTimeout bounds the work of the leader for another replica.
	forwardTimeout = 5 * time.Second
)

// asks are the questions to the leader that wait for their answers.
type asks struct {
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *wire.Envelope
	serving int
}

// open returns the number of a new question and the channel of its answer.
func (a *asks) open() (uint64, <-chan *wire.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = make(map[uint64]chan *wire.Envelope)
	}
	a.seq++
	answer := make(chan *wire.Envelope, 1)
	a.waiting[a.seq] = answer
	return a.seq, answer
}

func (a *asks) close(seq uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, seq)
}

// deliver hands an answer to whoever waits for it.
func (a *asks) deliver(seq uint64, e *wire.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer, ok := a.waiting[seq]; ok {
		answer <- e
		delete(a.waiting, seq)
	}
}

// begin takes one of the places for forwarded requests.
func (a *asks) begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.serving >= maxForwarded {
		return false
	}
	a.serving++
	return true
}

func (a *asks) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serving--
}

// awaitLeader returns the VM that leads, waiting for an election to end.
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
		case <-time.After(leaderPoll):
		}
	}
}

// ask sends a question to the leader and waits for the answer.
func (c *Control) ask(ctx context.Context, leader string, question func(seq uint64) *wire.Envelope) (*wire.Envelope, error) {
	seq, answer := c.asks.open()
	defer c.asks.close(seq)
	c.link.Send(leader, question(seq))
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		return nil, ErrOutcomeUnknown
	case <-c.done:
		return nil, ErrOutcomeUnknown
	}
}

func (c *Control) forwardProposal(ctx context.Context, leader string, data []byte) (ledger.Outcome, error) {
	e, err := c.ask(ctx, leader, func(seq uint64) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_ProposalAsk{ProposalAsk: &wire.ProposalAsk{Seq: seq, Data: data}}}
	})
	if err != nil {
		return ledger.Outcome{}, err
	}
	m := e.GetProposalAnswer()
	if m.GetError() != "" {
		return ledger.Outcome{}, errors.Wrap(ErrOutcomeUnknown, m.GetError())
	}
	return outcomeOf(m), nil
}

func (c *Control) forwardRead(ctx context.Context, leader string) (uint64, error) {
	e, err := c.ask(ctx, leader, func(seq uint64) *wire.Envelope {
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

// awaitApplied waits until this replica has applied an index.
func (c *Control) awaitApplied(ctx context.Context, index uint64) error {
	for {
		var applied uint64
		if err := c.do(ctx, func() { applied = c.applied }); err != nil {
			return err
		}
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrOutcomeUnknown
		case <-time.After(leaderPoll):
		}
	}
}

// serveProposal proposes for another replica, as the leader.
func (c *Control) serveProposal(from string, m *wire.ProposalAsk) {
	c.serveForwarded(from, func(ctx context.Context) *wire.Envelope {
		answer := &wire.ProposalAnswer{}
		outcome, err := c.proposeHere(ctx, m.GetData())
		if err != nil {
			answer.Error = err.Error()
		} else {
			answer = outcomeToWire(outcome)
		}
		answer.Seq = m.GetSeq()
		return &wire.Envelope{Body: &wire.Envelope_ProposalAnswer{ProposalAnswer: answer}}
	})
}

// serveRead confirms an index for another replica, as the leader.
func (c *Control) serveRead(from string, m *wire.ReadAsk) {
	c.serveForwarded(from, func(ctx context.Context) *wire.Envelope {
		answer := &wire.ReadAnswer{Seq: m.GetSeq()}
		index, err := c.confirm(ctx)
		if err != nil {
			// An index of 0 says that this replica could not confirm that it leads.
			c.options.Line.Record(event.ReadRefused, from, err.Error())
		}
		answer.Index = index
		return &wire.Envelope{Body: &wire.Envelope_ReadAnswer{ReadAnswer: answer}}
	})
}

// serveForwarded does a replica's work in a goroutine. Requests beyond the bound
// are dropped; the replica that asks gives up in time.
func (c *Control) serveForwarded(from string, work func(context.Context) *wire.Envelope) {
	if !c.isControl(from) || !c.asks.begin() {
		return
	}
	go func() {
		defer c.asks.end()
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		c.link.Send(from, work(ctx))
	}()
}

func outcomeToWire(o ledger.Outcome) *wire.ProposalAnswer {
	m := &wire.ProposalAnswer{
		Number: o.Number, Verdict: string(o.Verdict), Digest: o.Digest[:], Index: o.Index,
		Author: o.Author, Repeated: o.Repeated,
	}
	for _, p := range o.Problems {
		m.Problems = append(m.Problems, &wire.Problem{
			Kind: string(p.Kind), RefKind: string(p.Ref.Kind), RefName: p.Ref.Name, Text: p.Text,
		})
	}
	return m
}

func outcomeOf(m *wire.ProposalAnswer) ledger.Outcome {
	o := ledger.Outcome{
		Number: m.GetNumber(), Verdict: ledger.Verdict(m.GetVerdict()), Index: m.GetIndex(),
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
