package state

import (
	"hash/maphash"
	"iter"
)

// tableBuckets is the number of buckets of a Table. A change copies one bucket
// and the list of buckets.
const tableBuckets = 1024

// Map is an immutable map. A changed table shares all unchanged buckets with
// the one that it came from. The zero value is empty.
type Map[K comparable, V any] struct {
	seed    maphash.Seed
	buckets []map[K]V
	size    int
}

// Len returns the number of keys.
func (t Map[K, V]) Len() int { return t.size }

// Get returns the value of a key.
func (t Map[K, V]) Get(key K) (V, bool) {
	if t.size == 0 {
		var zero V
		return zero, false
	}
	v, ok := t.buckets[t.bucket(key)][key]
	return v, ok
}

// All iterates over all keys and values in no particular order.
func (t Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, bucket := range t.buckets {
			for k, v := range bucket {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// Builder returns an editor that starts with the content of the table.
func (t Map[K, V]) Builder() *MapBuilder[K, V] {
	e := &MapBuilder[K, V]{table: t, copied: make(map[uint64]struct{})}
	if t.buckets == nil {
		e.table.seed = maphash.MakeSeed()
	}
	buckets := make([]map[K]V, tableBuckets)
	copy(buckets, t.buckets)
	e.table.buckets = buckets
	return e
}

func (t Map[K, V]) bucket(key K) uint64 {
	return maphash.Comparable(t.seed, key) % tableBuckets
}

// MapBuilder builds a changed Table. Each bucket is copied at most once, so that
// many changes cost little more than their number.
type MapBuilder[K comparable, V any] struct {
	table  Map[K, V]
	copied map[uint64]struct{}
}

// Get returns the value of a key as edited so far.
func (e *MapBuilder[K, V]) Get(key K) (V, bool) { return e.table.Get(key) }

// Set stores a value.
func (e *MapBuilder[K, V]) Set(key K, value V) {
	bucket := e.own(e.table.bucket(key))
	if _, ok := bucket[key]; !ok {
		e.table.size++
	}
	bucket[key] = value
}

// Delete removes a key.
func (e *MapBuilder[K, V]) Delete(key K) {
	if _, ok := e.table.Get(key); !ok {
		return
	}
	delete(e.own(e.table.bucket(key)), key)
	e.table.size--
}

// Map returns the edited table. The editor must not be used afterwards.
func (e *MapBuilder[K, V]) Map() Map[K, V] { return e.table }

// own returns a bucket that no other table shares.
func (e *MapBuilder[K, V]) own(n uint64) map[K]V {
	bucket := e.table.buckets[n]
	if _, ok := e.copied[n]; ok {
		return bucket
	}
	fresh := make(map[K]V, len(bucket)+1)
	for k, v := range bucket {
		fresh[k] = v
	}
	e.table.buckets[n] = fresh
	e.copied[n] = struct{}{}
	return fresh
}
