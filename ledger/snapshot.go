package ledger

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Snapshot encodes the ledger as snapshot data.
func (l Ledger) Snapshot() ([]byte, error) {
	objects, err := state.RecordsToWire(l.state.Records())
	if err != nil {
		return nil, err
	}
	snapshot := &wire.Image{
		Index: l.state.Index(), RemovalsSince: l.state.CompactedIndex(),
		Objects: objects, Forgotten: l.highestEvicted,
		PlanVersion: l.plan.Version, PlanSource: l.plan.Source, PlanIndex: l.plan.Index,
	}
	for _, number := range l.numbers {
		o, _ := l.outcomes.Get(number)
		snapshot.Outcomes = append(snapshot.Outcomes, &wire.Outcome{
			Number: o.TicketNumber, Digest: o.Digest[:], Index: o.Index, Author: o.Author,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
}

// FromSnapshot decodes a ledger from snapshot data. Empty data gives an empty ledger.
func FromSnapshot(data []byte, window int) (Ledger, error) {
	l := New(window)
	if len(data) == 0 {
		return l, nil
	}
	var snapshot wire.Image
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return l, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	records, err := state.RecordsFromWire(snapshot.GetObjects())
	if err != nil {
		return l, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	l.state = state.Load(snapshot.GetIndex(), snapshot.GetRemovalsSince(), records)
	l.highestEvicted = snapshot.GetForgotten()
	l.plan = Plan{Version: snapshot.GetPlanVersion(), Source: snapshot.GetPlanSource(), Index: snapshot.GetPlanIndex()}
	builder := l.outcomes.Builder()
	for _, m := range snapshot.GetOutcomes() {
		o := Outcome{TicketNumber: m.GetNumber(), Verdict: Accepted, Index: m.GetIndex(), Author: m.GetAuthor()}
		copy(o.Digest[:], m.GetDigest())
		builder.Set(o.TicketNumber, o)
		l.numbers = append(l.numbers, o.TicketNumber)
	}
	l.outcomes = builder.Map()
	return l, nil
}
