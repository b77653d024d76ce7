// Package state holds the replicated configuration: workspaces and their keys,
// pools, routes, data centres, lease voters and registered backend servers.
//
// A State is an immutable value. Applying a change returns a new State that shares
// all unchanged data with the old one, so requests can be checked against the old
// value while the new one is built. Every state has an index in the replicated log;
// a state is never replaced by one with a lower index.
//
// # Usage
//
//	next, problems := current.WithChange(state.Change{Index: 7, TicketNumber: 12, Set: objects})
//	workspace, ok := next.Workspace(state.HashKey(key))
//	changed, full := next.RecordsSince(5) // records to send to a follower at index 5
package state

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// journalLength is the minimum number of recent changes that RecordsSince finds
// without a scan of all records.
const journalLength = 1024

// Record is an object with the ticket number and log index of its last change. A
// record with a nil Object is a tombstone: it marks that the object was removed.
type Record struct {
	Ref          Ref
	Object       Object
	TicketNumber uint64
	Index        uint64
}

// State is the configuration at one log index. The zero value is empty.
type State struct {
	index          uint64
	compactedIndex uint64
	records        Map[Ref, Record]
	keys           Map[KeyDigest, *Workspace]
	journal        *journal
	digest         uint64
}

// journal is an immutable linked list of recent changes, newest first.
type journal struct {
	index  uint64
	refs   []Ref
	older  *journal
	length int
}

// Index returns the index of the last log entry that is included in the state.
func (s State) Index() uint64 { return s.index }

// CompactedIndex returns the lowest index from which a follower can be updated
// incrementally. Tombstones of earlier removals may have been dropped.
func (s State) CompactedIndex() uint64 { return s.compactedIndex }

// Digest returns a checksum of the objects and the indexes of their last changes. States
// with the same index have the same digest, or one of them lacks a change.
func (s State) Digest() uint64 { return s.digest }

// Len returns the number of records, including tombstones.
func (s State) Len() int { return s.records.Len() }

// Workspace returns the workspace that a key digest belongs to.
func (s State) Workspace(d KeyDigest) (*Workspace, bool) { return s.keys.Get(d) }

// Record returns the record of an object, which may be a tombstone.
func (s State) Record(r Ref) (Record, bool) { return s.records.Get(r) }

// Get returns the object of type T with the given name.
func Get[T Object](s State, name string) (T, bool) {
	var zero T
	kind := zero.Ref().Kind
	record, ok := s.records.Get(Ref{kind, name})
	if !ok || record.Object == nil {
		return zero, false
	}
	o, ok := record.Object.(T)
	return o, ok
}

// List returns all objects of type T, ordered by name.
func List[T Object](s State) []T { return Select(s, func(T) bool { return true }) }

// Select returns the objects of type T that match, ordered by name.
func Select[T Object](s State, matches func(T) bool) []T {
	var list []T
	for _, record := range s.records.All() {
		if o, ok := record.Object.(T); ok && matches(o) {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(a.Ref().Name, b.Ref().Name) })
	return list
}

// digest returns the part of the record in the digest of a state. Digests of records are
// combined by exclusive or, so that a change costs the same in a state of any size.
func (r Record) digest() uint64 {
	if r.Object == nil {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	var index [8]byte
	binary.LittleEndian.PutUint64(index[:], r.Index)
	for _, text := range []string{string(r.Ref.Kind), "\x00", r.Ref.Name, "\x00"} {
		digest.WriteString(text) // never fails
	}
	digest.Write(index[:])
	return digest.Sum64()
}

// Records returns all records, including tombstones, ordered by kind and name.
func (s State) Records() []Record {
	list := make([]Record, 0, s.records.Len())
	for _, record := range s.records.All() {
		list = append(list, record)
	}
	slices.SortFunc(list, compareRecords)
	return list
}

func compareRecords(a, b Record) int {
	if c := strings.Compare(string(a.Ref.Kind), string(b.Ref.Kind)); c != 0 {
		return c
	}
	return strings.Compare(a.Ref.Name, b.Ref.Name)
}

// ActiveVoters returns the VMs of which a majority is needed to grant a lease.
func (s State) ActiveVoters() []string {
	e, _ := Get[ActiveVoters](s, VotersName)
	return e.VMs
}

// IsDataCentreOut reports whether operators have taken a data centre out of service.
func (s State) IsDataCentreOut(dataCentre string) bool {
	d, ok := Get[DataCentre](s, dataCentre)
	return ok && d.State == DataCentreOut
}

// RecordsSince returns the records that changed after an index. If complete is true, it
// returns the full state without tombstones instead, because tombstones that the caller
// would need may have been dropped.
func (s State) RecordsSince(index uint64) (records []Record, complete bool) {
	if index == 0 || index < s.compactedIndex {
		return s.liveRecords(), true
	}
	if refs, ok := s.journal.since(index); ok {
		for _, ref := range refs {
			record, ok := s.records.Get(ref)
			if ok {
				records = append(records, record)
			}
		}
		return records, false
	}
	for _, record := range s.records.All() {
		if record.Index > index {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, compareRecords)
	return records, false
}

// ChangedSince returns the objects that were changed or removed after an index. It reports false if
// that is not known, as for a state that was loaded as a whole.
func (s State) ChangedSince(index uint64) ([]Ref, bool) { return s.journal.since(index) }

// liveRecords returns all records except tombstones.
func (s State) liveRecords() []Record {
	all := s.Records()
	return slices.DeleteFunc(all, func(r Record) bool { return r.Object == nil })
}

// since returns the objects that changed after an index, without duplicates, and
// whether the journal reaches back that far.
func (j *journal) since(index uint64) ([]Ref, bool) {
	var refs []Ref
	seen := make(map[Ref]struct{})
	for ; j != nil; j = j.older {
		if j.index <= index {
			return refs, true
		}
		for _, ref := range j.refs {
			if _, ok := seen[ref]; ok {
				continue
			}
			seen[ref] = struct{}{}
			refs = append(refs, ref)
		}
	}
	return refs, false
}

// append returns the journal with another change. At twice journalLength it is
// truncated to half.
func (j *journal) append(index uint64, refs []Ref) *journal {
	next := &journal{index: index, refs: refs, older: j, length: 1}
	if j != nil {
		next.length = j.length + 1
	}
	if next.length < 2*journalLength {
		return next
	}
	return next.truncate(journalLength)
}

// truncate returns a copy that holds the newest n changes.
func (j *journal) truncate(n int) *journal {
	if n == 0 || j == nil {
		return nil
	}
	entries := make([]*journal, 0, n)
	for ; j != nil && len(entries) < n; j = j.older {
		entries = append(entries, j)
	}
	var result *journal
	for i, e := range slices.Backward(entries) {
		result = &journal{index: e.index, refs: e.refs, older: result, length: len(entries) - i}
	}
	return result
}

// String returns a summary of the state.
func (s State) String() string {
	return fmt.Sprintf("state at index %d, %d records, %d keys, digest %016x", s.index, s.records.Len(), s.keys.Len(), s.digest)
}
