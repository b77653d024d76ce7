package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of checksums that neighbours compare.
	bucketCount = 64
	// tombstoneTTL is how long a removed item is retained as a tombstone.
	tombstoneTTL = 10 * time.Minute
	// maxItems bounds the number of items in the store.
	maxItems = 100_000
	// maxBodyBytes bounds the size of an item's body.
	maxBodyBytes = 16 << 10
)

// store holds the newest version of every item, and a checksum for each bucket of
// reconciled items.
type store struct {
	items      map[Key]Item
	tombstones map[Key]time.Time
	checksums  [bucketCount]uint64
}

func newStore() *store {
	return &store{items: make(map[Key]Item), tombstones: make(map[Key]time.Time)}
}

func bucketIndex(k Key) int { return int(xxhash.Sum64String(k.Name) % bucketCount) }

// put stores an item if its version is newer than the stored one, and reports
// whether it did.
func (s *store) put(item Item, now time.Time) bool {
	old, ok := s.items[item.Key]
	if ok && !item.Version.Newer(old.Version) {
		return false
	}
	if !ok && len(s.items) >= maxItems || len(item.Body) > maxBodyBytes {
		return false
	}
	if item.Key.Kind.reconciled() {
		bucket := bucketIndex(item.Key)
		if ok {
			s.checksums[bucket] ^= old.checksum()
		}
		s.checksums[bucket] ^= item.checksum()
	}
	s.items[item.Key] = item
	delete(s.tombstones, item.Key)
	if item.Removed {
		s.tombstones[item.Key] = now
	}
	return true
}

// expire deletes tombstones that are old enough to have reached every entry.
func (s *store) expire(now time.Time) {
	for key, removedAt := range s.tombstones {
		if now.Sub(removedAt) < tombstoneTTL {
			continue
		}
		s.checksums[bucketIndex(key)] ^= s.items[key].checksum()
		delete(s.items, key)
		delete(s.tombstones, key)
	}
}

// differingBuckets returns the buckets whose checksums differ from the given ones.
func (s *store) differingBuckets(checksums []uint64) []uint32 {
	if len(checksums) != bucketCount {
		return nil
	}
	var buckets []uint32
	for i, checksum := range checksums {
		if s.checksums[i] != checksum {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// itemsInBuckets returns the reconciled items of the given buckets.
func (s *store) itemsInBuckets(buckets []uint32) []Item {
	selected := make(map[int]bool, len(buckets))
	for _, bucket := range buckets {
		selected[int(bucket)] = true
	}
	var items []Item
	for key, item := range s.items {
		if key.Kind.reconciled() && selected[bucketIndex(key)] {
			items = append(items, item)
		}
	}
	return items
}
