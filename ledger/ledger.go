// Package ledger is the deterministic state machine behind the replicated log:
// the configuration and what became of each ticket number.
//
// A number belongs to the first ticket accepted under it. The same content sent
// again gets the first answer; other content is a conflict. Numbers are
// remembered in a window of the highest ones. A number below the window can no
// longer be proved to be a resend and is refused. Refused tickets leave no trace:
// their number stays free.
//
// # Usage
//
//	next, outcome := current.Apply(index, proposal)
//	if outcome.Verdict == ledger.Accepted { ... }
package ledger

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

// ErrInvalidSnapshot means that a snapshot cannot be read.
var ErrInvalidSnapshot = errors.New("snapshot cannot be read")

// DefaultDedupWindow is the number of ticket numbers that are remembered.
const DefaultDedupWindow = 8192

// SystemNumber is the number of changes that the control leader makes itself.
// Operators' tickets have higher ones.
const SystemNumber = 0

// Verdict is the answer to a ticket.
type Verdict string

// The verdicts.
const (
	// Accepted means that the ticket's change is part of the state.
	Accepted Verdict = "accepted"
	// Conflict means that another ticket holds the number.
	Conflict Verdict = "conflict"
	// Stale means that a higher ticket has touched one of the objects.
	Stale Verdict = "stale"
	// TooOld means that the number is below the remembered window.
	TooOld Verdict = "too-old"
	// Refused means that the change does not fit the state.
	Refused Verdict = "refused"
)

// Proposal is a ticket as it stands in the log.
type Proposal struct {
	Ticket ticket.Ticket
	Digest ticket.Digest
	Author string
}

// Outcome is what became of a ticket.
type Outcome struct {
	TicketNumber uint64
	Verdict      Verdict
	// Digest is the content that holds the number.
	Digest ticket.Digest
	// Index is the state index that includes the ticket, if accepted.
	Index uint64
	// Author sent the ticket that holds the number.
	Author string
	// Repeated says that the ticket had been accepted before.
	Repeated bool
	// Problems are the reasons of a Stale or Refused verdict.
	Problems []state.Problem
}

// Ledger is an immutable value.
type Ledger struct {
	window    int
	state     state.State
	outcomes  state.Map[uint64, Outcome]
	numbers   []uint64 // remembered numbers in order
	forgotten uint64
	plan      Plan
}

// New returns an empty ledger that remembers a number of tickets.
func New(window int) Ledger { return Ledger{window: window} }

// State returns the configuration.
func (l Ledger) State() state.State { return l.state }

// Numbers returns the remembered ticket numbers in order.
func (l Ledger) Numbers() []uint64 { return slices.Clone(l.numbers) }

// HighestEvicted returns the highest number below the window.
func (l Ledger) HighestEvicted() uint64 { return l.forgotten }

// Outcome returns what became of a number.
func (l Ledger) Outcome(number uint64) (Outcome, bool) { return l.outcomes.Get(number) }

// Evaluate returns the outcome that a proposal would have now.
func (l Ledger) Evaluate(index uint64, p Proposal) Outcome {
	number := p.Ticket.Number
	if number == SystemNumber {
		return l.judgeSystem(index, p)
	}
	if first, held := l.outcomes.Get(number); held {
		if first.Digest == p.Digest {
			first.Repeated = true
			return first
		}
		return Outcome{TicketNumber: number, Verdict: Conflict, Digest: first.Digest, Index: first.Index, Author: first.Author}
	}
	outcome := Outcome{TicketNumber: number, Verdict: Accepted, Digest: p.Digest, Index: index, Author: p.Author}
	if number <= l.forgotten {
		return Outcome{TicketNumber: number, Verdict: TooOld}
	}
	problems := l.state.Check(p.Ticket.Change(index))
	if len(problems) == 0 {
		return outcome
	}
	verdict := Refused
	for _, problem := range problems {
		if problem.Kind == state.Stale {
			verdict = Stale
		}
	}
	return Outcome{TicketNumber: number, Verdict: verdict, Digest: p.Digest, Problems: problems}
}

// judgeSystem judges a change by the control leader itself.
func (l Ledger) judgeSystem(index uint64, p Proposal) Outcome {
	if problems := l.state.Check(p.Ticket.Change(index)); len(problems) > 0 {
		return Outcome{Verdict: Refused, Problems: problems}
	}
	return Outcome{Verdict: Accepted, Index: index, Author: p.Author}
}

// Apply applies the proposal at a log index.
func (l Ledger) Apply(index uint64, p Proposal) (Ledger, Outcome) {
	if p.Ticket.Plan != nil {
		return l.applyPlan(index, p)
	}
	p.Ticket.Set = l.registrations(p.Ticket.Set)
	if p.Ticket.Number == SystemNumber && len(p.Ticket.Set)+len(p.Ticket.Remove) == 0 {
		return l, Outcome{Verdict: Stale}
	}
	outcome := l.Evaluate(index, p)
	if outcome.Verdict != Accepted || outcome.Repeated {
		return l, outcome
	}
	next, problems := l.state.WithChange(p.Ticket.Change(index))
	if len(problems) > 0 {
		return l, Outcome{TicketNumber: p.Ticket.Number, Verdict: Refused, Problems: problems}
	}
	l.state = next
	if outcome.TicketNumber == SystemNumber {
		return l, outcome
	}
	return l.withOutcome(outcome), outcome
}

// withOutcome remembers an outcome and forgets the lowest number if there are
// too many.
func (l Ledger) withOutcome(o Outcome) Ledger {
	edit := l.outcomes.Builder()
	edit.Set(o.TicketNumber, o)
	at, _ := slices.BinarySearch(l.numbers, o.TicketNumber)
	l.numbers = slices.Insert(slices.Clone(l.numbers), at, o.TicketNumber)
	if len(l.numbers) > l.window {
		l.forgotten = l.numbers[0]
		edit.Delete(l.forgotten)
		l.numbers = l.numbers[1:]
		l.state = l.state.WithoutTombstones(l.forgotten)
	}
	l.outcomes = edit.Map()
	return l
}

// EncodeProposal returns the log data of a proposal.
func EncodeProposal(p Proposal) ([]byte, error) {
	form, err := p.Ticket.Canonical()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Proposal{
		Number: p.Ticket.Number, Digest: p.Digest[:], Ticket: form, Author: p.Author,
	})
}

// DecodeProposal reads the log data of a proposal.
func DecodeProposal(data []byte) (Proposal, error) {
	var m wire.Proposal
	if err := proto.Unmarshal(data, &m); err != nil {
		return Proposal{}, err
	}
	t, err := ticket.Decode(m.GetTicket())
	if err != nil {
		return Proposal{}, err
	}
	p := Proposal{Ticket: t, Author: m.GetAuthor()}
	copy(p.Digest[:], m.GetDigest())
	return p, nil
}
