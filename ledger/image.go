package ledger

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Image returns the ledger as snapshot data.
func (l Ledger) Image() ([]byte, error) {
	objects, err := state.WireAll(l.state.Records())
	if err != nil {
		return nil, err
	}
	image := &wire.Image{
		Index: l.state.Index(), RemovalsSince: l.state.RemovalsSince(),
		Objects: objects, Forgotten: l.forgotten,
		PlanVersion: l.plan.Version, PlanSource: l.plan.Source, PlanIndex: l.plan.Index,
	}
	for _, number := range l.numbers {
		o, _ := l.outcomes.Get(number)
		image.Outcomes = append(image.Outcomes, &wire.Outcome{
			Number: o.Number, Digest: o.Digest[:], Index: o.Index, Author: o.Author,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(image)
}

// FromImage reads snapshot data.
func FromImage(data []byte, window int) (Ledger, error) {
	l := New(window)
	if len(data) == 0 {
		return l, nil
	}
	var image wire.Image
	if err := proto.Unmarshal(data, &image); err != nil {
		return l, errors.Wrap(ErrImage, err.Error())
	}
	records, err := state.RecordsOf(image.GetObjects())
	if err != nil {
		return l, errors.Wrap(ErrImage, err.Error())
	}
	l.state = state.Load(image.GetIndex(), image.GetRemovalsSince(), records)
	l.forgotten = image.GetForgotten()
	l.plan = Plan{Version: image.GetPlanVersion(), Source: image.GetPlanSource(), Index: image.GetPlanIndex()}
	edit := l.outcomes.Edit()
	for _, m := range image.GetOutcomes() {
		o := Outcome{Number: m.GetNumber(), Verdict: Accepted, Index: m.GetIndex(), Author: m.GetAuthor()}
		copy(o.Digest[:], m.GetDigest())
		edit.Set(o.Number, o)
		l.numbers = append(l.numbers, o.Number)
	}
	l.outcomes = edit.Table()
	return l, nil
}
