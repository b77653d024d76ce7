package state

import (
	"hash/maphash"
	"iter"
)

// mapBuckets is the number of buckets of a Map. An update copies the list of buckets
// and each bucket that it changes.
const mapBuckets = 1024

// Map is an immutable hash map. An updated map shares all unchanged buckets with the
// map that it was built from. The zero value is an empty map.
type Map[K comparable, V any] struct {
	seed    maphash.Seed
	buckets []map[K]V
	size    int
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int { return m.size }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.size == 0 {
		var zero V
		return zero, false
	}
	v, ok := m.buckets[m.bucket(key)][key]
	return v, ok
}

// All iterates over all keys and values in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, bucket := range m.buckets {
			for k, v := range bucket {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Builder returns a builder that starts with the content of the map.
func (m Map[K, V]) Builder() *MapBuilder[K, V] {
	b := &MapBuilder[K, V]{current: m, copied: make(map[uint64]struct{})}
	if m.buckets == nil {
		b.current.seed = maphash.MakeSeed()
	}
	buckets := make([]map[K]V, mapBuckets)
	copy(buckets, m.buckets)
	b.current.buckets = buckets
	return b
}

func (m Map[K, V]) bucket(key K) uint64 {
	return maphash.Comparable(m.seed, key) % mapBuckets
}

// MapBuilder builds an updated Map. It copies each bucket at most once, so that a batch
// of updates is cheaper than the same updates one by one.
type MapBuilder[K comparable, V any] struct {
	current Map[K, V]
	copied  map[uint64]struct{}
}

// Get returns the value of a key, including the updates made so far.
func (b *MapBuilder[K, V]) Get(key K) (V, bool) { return b.current.Get(key) }

// Set stores the value of a key.
func (b *MapBuilder[K, V]) Set(key K, value V) {
	bucket := b.writable(b.current.bucket(key))
	if _, ok := bucket[key]; !ok {
		b.current.size++
	}
	bucket[key] = value
}

// Delete removes a key.
func (b *MapBuilder[K, V]) Delete(key K) {
	if _, ok := b.current.Get(key); !ok {
		return
	}
	delete(b.writable(b.current.bucket(key)), key)
	b.current.size--
}

// Map returns the updated map. The builder must not be used afterwards.
func (b *MapBuilder[K, V]) Map() Map[K, V] { return b.current }

// writable returns a bucket that is not shared with another map, copying it if necessary.
func (b *MapBuilder[K, V]) writable(n uint64) map[K]V {
	bucket := b.current.buckets[n]
	if _, ok := b.copied[n]; ok {
		return bucket
	}
	copied := make(map[K]V, len(bucket)+1)
	for k, v := range bucket {
		copied[k] = v
	}
	b.current.buckets[n] = copied
	b.copied[n] = struct{}{}
	return copied
}
