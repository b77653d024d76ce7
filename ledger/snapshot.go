package ledger

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Snapshot returns the ledger as snapshot data.
func (l Ledger) Snapshot() ([]byte, error) {
	objects, err := state.RecordsToWire(l.state.Records())
	if err != nil {
		return nil, err
	}
	image := &wire.Image{
		Index: l.state.Index(), RemovalsSince: l.state.CompactedIndex(),
		Objects: objects, Forgotten: l.forgotten,
		PlanVersion: l.plan.Version, PlanSource: l.plan.Source, PlanIndex: l.plan.Index,
	}
	for _, number := range l.numbers {
		o, _ := l.outcomes.Get(number)
		image.Outcomes = append(image.Outcomes, &wire.Outcome{
			Number: o.TicketNumber, Digest: o.Digest[:], Index: o.Index, Author: o.Author,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(image)
}

// FromSnapshot reads snapshot data.
func FromSnapshot(data []byte, window int) (Ledger, error) {
	l := New(window)
	if len(data) == 0 {
		return l, nil
	}
	var image wire.Image
	if err := proto.Unmarshal(data, &image); err != nil {
		return l, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	records, err := state.RecordsFromWire(image.GetObjects())
	if err != nil {
		return l, errors.Wrap(ErrInvalidSnapshot, err.Error())
	}
	l.state = state.Load(image.GetIndex(), image.GetRemovalsSince(), records)
	l.forgotten = image.GetForgotten()
	l.plan = Plan{Version: image.GetPlanVersion(), Source: image.GetPlanSource(), Index: image.GetPlanIndex()}
	edit := l.outcomes.Builder()
	for _, m := range image.GetOutcomes() {
		o := Outcome{TicketNumber: m.GetNumber(), Verdict: Accepted, Index: m.GetIndex(), Author: m.GetAuthor()}
		copy(o.Digest[:], m.GetDigest())
		edit.Set(o.TicketNumber, o)
		l.numbers = append(l.numbers, o.TicketNumber)
	}
	l.outcomes = edit.Map()
	return l, nil
}
