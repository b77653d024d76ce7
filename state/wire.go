package state

import (
	"github.com/dottereldeal/dottereldeal/wire"
)

// ToWire encodes a record as a message.
func (r Record) ToWire() (*wire.Object, error) {
	o := &wire.Object{Kind: string(r.Ref.Kind), Name: r.Ref.Name, Number: r.TicketNumber, Index: r.Index, Removed: r.Object == nil}
	if r.Object == nil {
		return o, nil
	}
	body, err := Encode(r.Object)
	o.Body = body
	return o, err
}

// RecordFromWire decodes a record from a message.
func RecordFromWire(o *wire.Object) (Record, error) {
	r := Record{
		Ref:          Ref{Kind: Kind(o.GetKind()), Name: o.GetName()},
		TicketNumber: o.GetNumber(),
		Index:        o.GetIndex(),
	}
	if o.GetRemoved() {
		return r, nil
	}
	object, err := Decode(r.Ref.Kind, o.GetBody())
	if err != nil {
		return r, err
	}
	r.Object = object
	return r, nil
}

// RecordsToWire encodes records as messages.
func RecordsToWire(records []Record) ([]*wire.Object, error) {
	objects := make([]*wire.Object, len(records))
	for i, r := range records {
		o, err := r.ToWire()
		if err != nil {
			return nil, err
		}
		objects[i] = o
	}
	return objects, nil
}

// RecordsFromWire decodes records from messages.
func RecordsFromWire(objects []*wire.Object) ([]Record, error) {
	records := make([]Record, len(objects))
	for i, o := range objects {
		r, err := RecordFromWire(o)
		if err != nil {
			return nil, err
		}
		records[i] = r
	}
	return records, nil
}
