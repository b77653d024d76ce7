package state

import (
	"math"
	"sync"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/wire"
)

// ErrDeltaGap means that a delta starts after the state that it is meant for.
var ErrDeltaGap = errors.New("delta starts after the state that it is meant for")

// deltaBytes is the size from which on a delta is sent in parts.
const deltaBytes = 256 << 10

// DeltaParts returns the messages that bring a follower from an index to the
// current state. There is always at least one.
func DeltaParts(current State, from uint64) ([]*wire.Delta, error) {
	first := &wire.Delta{From: from, To: current.Index(), RemovalsSince: current.CompactedIndex()}
	if from >= current.Index() {
		first.To = from
		return []*wire.Delta{first}, nil
	}
	records, complete := current.RecordsSince(from)
	if complete {
		first.From = 0
	}
	objects, err := RecordsToWire(records)
	if err != nil {
		return nil, err
	}
	return split(first, objects), nil
}

func split(first *wire.Delta, objects []*wire.Object) []*wire.Delta {
	parts := []*wire.Delta{first}
	size := 0
	for _, o := range objects {
		last := parts[len(parts)-1]
		if size > deltaBytes {
			last.More = true
			last = &wire.Delta{
				From: first.GetFrom(), To: first.GetTo(), RemovalsSince: first.GetRemovalsSince(),
				Part: uint32(len(parts)),
			}
			parts = append(parts, last)
			size = 0
		}
		last.Objects = append(last.Objects, o)
		size += len(o.GetBody()) + len(o.GetName())
	}
	return parts
}

// burstParts is the number of parts that are sent for one request.
const burstParts = 4

// DeltaCache gives followers the parts of deltas. It keeps the last delta, because
// many followers lack the same. It is safe for concurrent use.
type DeltaCache struct {
	mu       sync.Mutex
	from, to uint64
	parts    []*wire.Delta
}

// Parts returns the parts to send to a follower at an index, and whether there
// are more than one request brings. A follower that has some parts of the
// delta up to an index says so and gets the following ones.
func (f *DeltaCache) Parts(current State, from, to uint64, part uint32) (parts []*wire.Delta, large bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.parts == nil || f.from != from || f.to != current.Index() {
		f.parts, err = DeltaParts(current, from)
		if err != nil {
			return nil, false, err
		}
		f.from, f.to = from, current.Index()
	}
	start := 0
	if to == f.to && int(part) < len(f.parts) {
		start = int(part)
	}
	return f.parts[start:min(start+burstParts, len(f.parts))], len(f.parts) > burstParts, nil
}

// noPart is the number of no part.
const noPart = math.MaxUint32

// Assembler puts the parts of one sender's deltas together. The zero value is
// ready for use.
type Assembler struct {
	from, to uint64
	next     uint32
	records  []Record
}

// NextPart returns the delta that is being received and the part needed next, and
// false if none is being received.
func (a *Assembler) NextPart() (to uint64, part uint32, ok bool) {
	if a.to == 0 || a.next == noPart {
		return 0, 0, false
	}
	return a.to, a.next, true
}

// RequestDue reports whether this part was taken just now and the sender waits for a
// request after it.
func (a *Assembler) RequestDue(part *wire.Delta) bool {
	_, next, ok := a.NextPart()
	return ok && part.GetMore() && next == part.GetPart()+1 && next%burstParts == 0
}

// Add takes the next part. It returns the changed state once the delta is
// whole and newer than the current state. Parts must come in order; a delta
// that lacks a part is dropped and asked for again by the follower's next watch.
func (a *Assembler) Add(current State, part *wire.Delta) (State, bool, error) {
	if part.GetTo() <= current.Index() {
		return current, false, nil // brings a beacon only
	}
	known := part.GetFrom() == a.from && part.GetTo() == a.to && a.next != noPart
	if known && part.GetPart() < a.next {
		return current, false, nil // sent twice
	}
	if part.GetPart() == 0 {
		*a = Assembler{from: part.GetFrom(), to: part.GetTo()}
	}
	if part.GetFrom() != a.from || part.GetTo() != a.to || part.GetPart() != a.next {
		*a = Assembler{next: noPart}
		return current, false, nil
	}
	a.next++
	records, err := RecordsFromWire(part.GetObjects())
	if err != nil {
		*a = Assembler{next: noPart}
		return current, false, err
	}
	a.records = append(a.records, records...)
	if part.GetMore() {
		return current, false, nil
	}
	records = a.records
	*a = Assembler{next: noPart}
	if part.GetTo() <= current.Index() {
		return current, false, nil
	}
	if part.GetFrom() == 0 {
		return Load(part.GetTo(), part.GetRemovalsSince(), records), true, nil
	}
	if part.GetFrom() > current.Index() {
		return current, false, ErrDeltaGap
	}
	next := current.WithRecords(part.GetTo(), records)
	next.removalsSince = max(next.removalsSince, part.GetRemovalsSince())
	return next, true, nil
}
