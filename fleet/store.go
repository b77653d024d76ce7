package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// boardBuckets is the number of sums that neighbours compare.
	boardBuckets = 64
	// removalLimit is how long the removal of an item is remembered.
	removalLimit = 10 * time.Minute
	// maxItems bounds the items of one board.
	maxItems = 100_000
	// maxBodyBytes bounds the body of one item.
	maxBodyBytes = 16 << 10
)

// board holds the newest item of every key.
type board struct {
	items    map[Key]Item
	removals map[Key]time.Time
	sums     [boardBuckets]uint64
}

func newBoard() *board {
	return &board{items: make(map[Key]Item), removals: make(map[Key]time.Time)}
}

func bucketOf(k Key) int { return int(xxhash.Sum64String(k.Name) % boardBuckets) }

// put stores an item if it is newer than the one held, and reports whether it was.
func (b *board) put(item Item, now time.Time) bool {
	old, ok := b.items[item.Key]
	if ok && !item.Version.Newer(old.Version) {
		return false
	}
	if !ok && len(b.items) >= maxItems || len(item.Body) > maxBodyBytes {
		return false
	}
	if item.Key.Kind.lasting() {
		bucket := bucketOf(item.Key)
		if ok {
			b.sums[bucket] ^= old.sum()
		}
		b.sums[bucket] ^= item.sum()
	}
	b.items[item.Key] = item
	delete(b.removals, item.Key)
	if item.Removed {
		b.removals[item.Key] = now
	}
	return true
}

// expire forgets removals that every entry has heard of.
func (b *board) expire(now time.Time) {
	for key, at := range b.removals {
		if now.Sub(at) < removalLimit {
			continue
		}
		b.sums[bucketOf(key)] ^= b.items[key].sum()
		delete(b.items, key)
		delete(b.removals, key)
	}
}

// differing returns the buckets whose sums are not the given ones.
func (b *board) differing(sums []uint64) []uint32 {
	if len(sums) != boardBuckets {
		return nil
	}
	var buckets []uint32
	for i, sum := range sums {
		if b.sums[i] != sum {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// inBuckets returns the lasting items of some buckets.
func (b *board) inBuckets(buckets []uint32) []Item {
	wanted := make(map[int]bool, len(buckets))
	for _, bucket := range buckets {
		wanted[int(bucket)] = true
	}
	var list []Item
	for key, item := range b.items {
		if key.Kind.lasting() && wanted[bucketOf(key)] {
			list = append(list, item)
		}
	}
	return list
}
