package state

import (
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/wire"
)

// ErrDeltaGap is returned for a delta whose base index is higher than the index of the
// current state, so that the changes in between would be lost.
var ErrDeltaGap = errors.New("base index of the delta is higher than the current index")

// ErrDigestMismatch is returned for a delta that leads to another state than the sender's:
// it lacks changes, or the current state does.
var ErrDigestMismatch = errors.New("delta leads to another state than that of its sender")

// partSizeBytes is the size of objects after which a delta continues in another part.
const partSizeBytes = 128 << 10

// DeltaParts returns the messages that update a follower from an index to the current
// state. There is always at least one. The delta holds the full state, with a base index
// of 0, if the follower is too old for an incremental one.
func DeltaParts(current State, from uint64) ([]*wire.Delta, error) {
	first := &wire.Delta{From: from, To: current.Index(), RemovalsSince: current.CompactedIndex(), Digest: current.Digest()}
	if from >= current.Index() {
		first.To = from
		return []*wire.Delta{first}, nil
	}
	records, complete := current.RecordsSince(from)
	if complete {
		// A full state holds no tombstones, so its receiver can update nobody who is behind it.
		first.From, first.RemovalsSince = 0, current.Index()
	}
	objects, err := RecordsToWire(records)
	if err != nil {
		return nil, err
	}
	return splitDelta(first, objects), nil
}

func splitDelta(first *wire.Delta, objects []*wire.Object) []*wire.Delta {
	parts := []*wire.Delta{first}
	size := 0
	for _, o := range objects {
		last := parts[len(parts)-1]
		if size > partSizeBytes {
			last.More = true
			last = &wire.Delta{
				From: first.GetFrom(), To: first.GetTo(), RemovalsSince: first.GetRemovalsSince(),
				Part: uint32(len(parts)), Digest: first.GetDigest(),
			}
			parts = append(parts, last)
			size = 0
		}
		last.Objects = append(last.Objects, o)
		size += len(o.GetBody()) + len(o.GetName())
	}
	return parts
}

// partsPerRequest is the maximum number of parts that are sent for one request.
const partsPerRequest = 4

// maxFullAge is how long a full state is reused although there have been changes. A follower
// receives the rest as the next delta, and must not act on an old state until then.
const maxFullAge = 250 * time.Millisecond

// maxFullTransfer is how long a follower may take for a full state that it has begun to receive,
// and maxFullsUnderWay the number of full states that are kept for that. Those that are not
// kept start again with the newest one, and would never end while the state goes on changing.
const (
	maxFullTransfer  = 5 * time.Second
	maxFullsUnderWay = 4
)

// DeltaCache builds deltas for followers and caches the last one, because many
// followers are usually at the same index, and the last full states. It is safe for
// concurrent use.
type DeltaCache struct {
	mu   sync.Mutex
	last cachedDelta
	full cachedDelta
	// replaced are earlier full states that followers may have received a part of, newest first.
	replaced []cachedDelta
}

// cachedDelta holds the parts of a delta, and the same parts compressed.
type cachedDelta struct {
	from, to uint64
	parts    []*wire.Delta
	packed   []*wire.Delta
	builtAt  time.Time
}

func newCachedDelta(current State, from uint64, now time.Time) (cachedDelta, error) {
	parts, err := DeltaParts(current, from)
	if err != nil {
		return cachedDelta{}, err
	}
	d := cachedDelta{from: from, to: current.Index(), parts: parts, builtAt: now}
	for _, part := range parts {
		packed, err := pack(part)
		if err != nil {
			return cachedDelta{}, err
		}
		d.packed = append(d.packed, packed)
	}
	return d, nil
}

// valid reports whether the delta serves a follower at index from.
func (d cachedDelta) valid(current State, from uint64, now time.Time) bool {
	if d.parts == nil || d.from != from || d.to > current.Index() {
		return false
	}
	isFull := from == 0 && d.to > 0
	return d.to == current.Index() || isFull && now.Sub(d.builtAt) < maxFullAge
}

// Parts returns the parts to send to a follower at index from, compressed if it can unpack
// them, and whether the delta has more parts than are sent for one request. A follower that
// has already received parts of the delta to index to resumes it at the given part.
func (c *DeltaCache) Parts(current State, from, to uint64, part uint32, unpacks bool, now time.Time) (parts []*wire.Delta, large bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, err := c.delta(current, from, to, part, now)
	if err != nil {
		return nil, false, err
	}
	parts = cached.parts
	if unpacks {
		parts = cached.packed
	}
	start := 0
	if to == cached.to && int(part) < len(parts) {
		start = int(part)
	}
	return parts[start:min(start+partsPerRequest, len(parts))], len(parts) > partsPerRequest, nil
}

// delta returns the delta to send to a follower. It must be called with the lock.
func (c *DeltaCache) delta(current State, from, to uint64, part uint32, now time.Time) (d cachedDelta, err error) {
	if from != 0 {
		if !c.last.valid(current, from, now) {
			c.last, err = newCachedDelta(current, from, now)
		}
		return c.last, err
	}
	for _, d := range append([]cachedDelta{c.full}, c.replaced...) {
		if part > 0 && to > 0 && d.to == to && to <= current.Index() && now.Sub(d.builtAt) < maxFullTransfer {
			return d, nil
		}
	}
	if c.full.valid(current, from, now) {
		return c.full, nil
	}
	if d, err = newCachedDelta(current, from, now); err != nil {
		return d, err
	}
	if len(c.full.parts) > partsPerRequest {
		c.replaced = append([]cachedDelta{c.full}, c.replaced[:min(len(c.replaced), maxFullsUnderWay-1)]...)
	}
	c.full = d
	return d, nil
}

// noPart marks that no delta is being received.
const noPart = math.MaxUint32

// Assembler reassembles the deltas of one sender from their parts. The zero value is
// ready for use.
type Assembler struct {
	from, to uint64
	next     uint32
	records  []Record
}

// NextPart returns the index to which the delta in progress leads and the number of
// the next expected part. It returns false if no delta is in progress.
func (a *Assembler) NextPart() (to uint64, part uint32, ok bool) {
	if a.to == 0 || a.next == noPart {
		return 0, 0, false
	}
	return a.to, a.next, true
}

// RequestDue reports whether the part is the last one received and the sender waits for
// another request before it sends more.
func (a *Assembler) RequestDue(part *wire.Delta) bool {
	_, next, ok := a.NextPart()
	return ok && part.GetMore() && next == part.GetPart()+1 && next%partsPerRequest == 0
}

// Add processes the next part. It returns the updated state and true once the delta is
// complete and newer than the current state. Parts must arrive in order: a delta with a
// missing part is discarded, and the follower's next watch requests it again.
func (a *Assembler) Add(current State, part *wire.Delta) (State, bool, error) {
	if part.GetTo() <= current.Index() {
		return current, false, nil // carries only a beacon
	}
	inProgress := part.GetFrom() == a.from && part.GetTo() == a.to && a.next != noPart
	if inProgress && part.GetPart() < a.next {
		return current, false, nil // duplicate
	}
	if part.GetPart() == 0 {
		*a = Assembler{from: part.GetFrom(), to: part.GetTo()}
	}
	if part.GetFrom() != a.from || part.GetTo() != a.to || part.GetPart() != a.next {
		*a = Assembler{next: noPart}
		return current, false, nil
	}
	a.next++
	objects, err := unpack(part)
	if err != nil {
		*a = Assembler{next: noPart}
		return current, false, err
	}
	records, err := RecordsFromWire(objects)
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
		// Earlier versions send a lower index of removals with a full state.
		next := Load(part.GetTo(), part.GetTo(), records)
		return next.verified(current, part)
	}
	if part.GetFrom() > current.Index() {
		return current, false, ErrDeltaGap
	}
	next := current.WithRecords(part.GetTo(), records)
	next.compactedIndex = max(next.compactedIndex, part.GetRemovalsSince())
	return next.verified(current, part)
}

// verified returns the state if it is the one that a delta leads to, and otherwise the current
// one. A delta of a version without digests is not checked.
func (s State) verified(current State, last *wire.Delta) (State, bool, error) {
	if last.GetDigest() != 0 && last.GetDigest() != s.digest {
		return current, false, ErrDigestMismatch
	}
	return s, true, nil
}
