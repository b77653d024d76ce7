// Package ledger implements the deterministic state machine of the replicated log:
// the configuration and the outcomes of recent tickets.
//
// A ticket number belongs to the first ticket that is accepted with it. A resend
// with the same content returns the original outcome; different content is a
// conflict. Only the outcomes of the highest numbers are kept, in a deduplication
// window. A number below the window is refused, because it could be a resend that can
// no longer be recognised. Refused tickets are not recorded: their number stays free.
//
// Anybody can announce a backend server. Resolve decides which announcements are proposed, outside
// of Apply, so that replicas of other versions apply the log in the same way.
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

// ErrInvalidSnapshot means that snapshot data cannot be decoded.
var ErrInvalidSnapshot = errors.New("invalid snapshot")

// DefaultDedupWindow is the number of ticket outcomes that are kept to recognise resends.
const DefaultDedupWindow = 8192

// SystemNumber is the ticket number of changes that the control leader makes itself.
// Tickets of operators have higher numbers.
const SystemNumber = 0

// Verdict is the result of evaluating a ticket.
type Verdict string

// Verdicts of tickets.
const (
	// Accepted means that the ticket's change has been applied to the state.
	Accepted Verdict = "accepted"
	// Conflict means that the number belongs to a ticket with different content.
	Conflict Verdict = "conflict"
	// Stale means that a ticket with a higher number has changed one of the objects.
	Stale Verdict = "stale"
	// TooOld means that the number is below the deduplication window.
	TooOld Verdict = "too-old"
	// Refused means that the change is not valid in the current state.
	Refused Verdict = "refused"
)

// Proposal is a ticket as it is stored in the log.
type Proposal struct {
	Ticket ticket.Ticket
	Digest ticket.Digest
	Author string
}

// Outcome is the result of a ticket.
type Outcome struct {
	TicketNumber uint64
	Verdict      Verdict
	// Digest is the digest of the ticket that owns the number.
	Digest ticket.Digest
	// Index is the log index of the ticket, if it was accepted.
	Index uint64
	// Author is the author of the ticket that owns the number.
	Author string
	// Repeated means that the ticket had already been accepted.
	Repeated bool
	// Problems are the reasons for a Stale or Refused verdict.
	Problems []state.Problem
}

// Ledger is the state machine at one log index. It is an immutable value.
type Ledger struct {
	window         int
	state          state.State
	outcomes       state.Map[uint64, Outcome]
	numbers        []uint64 // numbers in the window, ascending
	highestEvicted uint64
	plan           Plan
}

// New returns an empty ledger with a deduplication window of the given size.
func New(window int) Ledger { return Ledger{window: window} }

// State returns the configuration.
func (l Ledger) State() state.State { return l.state }

// Numbers returns the ticket numbers in the deduplication window in ascending order.
func (l Ledger) Numbers() []uint64 { return slices.Clone(l.numbers) }

// HighestEvicted returns the highest ticket number that was evicted from the window, or 0.
func (l Ledger) HighestEvicted() uint64 { return l.highestEvicted }

// Outcome returns the outcome of the ticket with a number, if it is in the window.
func (l Ledger) Outcome(number uint64) (Outcome, bool) { return l.outcomes.Get(number) }

// Evaluate returns the outcome that a proposal would have in the current state.
func (l Ledger) Evaluate(index uint64, p Proposal) Outcome {
	number := p.Ticket.Number
	if number == SystemNumber {
		return l.evaluateSystem(index, p)
	}
	if first, found := l.outcomes.Get(number); found {
		if first.Digest == p.Digest {
			first.Repeated = true
			return first
		}
		return Outcome{TicketNumber: number, Verdict: Conflict, Digest: first.Digest, Index: first.Index, Author: first.Author}
	}
	outcome := Outcome{TicketNumber: number, Verdict: Accepted, Digest: p.Digest, Index: index, Author: p.Author}
	if number <= l.highestEvicted {
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

// evaluateSystem evaluates a change that the control leader makes itself.
func (l Ledger) evaluateSystem(index uint64, p Proposal) Outcome {
	if problems := l.state.Check(p.Ticket.Change(index)); len(problems) > 0 {
		return Outcome{Verdict: Refused, Problems: problems}
	}
	return Outcome{Verdict: Accepted, Index: index, Author: p.Author}
}

// Apply applies the proposal at a log index and returns the new ledger.
func (l Ledger) Apply(index uint64, p Proposal) (Ledger, Outcome) {
	if p.Ticket.Plan != nil {
		return l.applyPlan(index, p)
	}
	p.Ticket.Set = l.resolveRegistrations(p.Ticket.Set)
	p.Ticket.Remove = l.withRollouts(p.Ticket.Remove)
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

// withOutcome adds an outcome to the window and evicts the lowest number if there are
// more than the window holds.
func (l Ledger) withOutcome(o Outcome) Ledger {
	builder := l.outcomes.Builder()
	builder.Set(o.TicketNumber, o)
	position, _ := slices.BinarySearch(l.numbers, o.TicketNumber)
	l.numbers = slices.Insert(slices.Clone(l.numbers), position, o.TicketNumber)
	if len(l.numbers) > l.window {
		l.highestEvicted = l.numbers[0]
		builder.Delete(l.highestEvicted)
		l.numbers = l.numbers[1:]
		l.state = l.state.WithoutTombstones(l.highestEvicted)
	}
	l.outcomes = builder.Map()
	return l
}

// EncodeProposal encodes a proposal as log data.
func EncodeProposal(p Proposal) ([]byte, error) {
	canonical, err := p.Ticket.Canonical()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&wire.Proposal{
		Number: p.Ticket.Number, Digest: p.Digest[:], Ticket: canonical, Author: p.Author,
	})
}

// DecodeProposal decodes a proposal from log data.
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
