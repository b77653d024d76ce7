// Package state is the configuration that operators' tickets have built:
// workspaces and their keys, pools, routes, data centres and lease voters.
//
// A State is an immutable value. A change gives a new State that shares all
// unchanged parts with the old one, so that request checks go on against the
// old value while the new one is built. Every state has an index in the
// replicated log; a state is never replaced by one with a lower index.
//
// # Usage
//
//	next, problems := current.WithChange(state.Change{Index: 7, Number: 12, Set: objects})
//	workspace, ok := next.Workspace(state.DigestOf(key))
//	changed := next.Since(5) // what a follower at index 5 lacks
package state

import (
	"fmt"
	"slices"
	"strings"
)

// journalLength is the number of recent changes that Since finds without
// scanning all objects.
const journalLength = 1024

// Record is one object with the ticket and the index that last touched it.
// Object is nil if the object was removed.
type Record struct {
	Ref          Ref
	Object       Object
	TicketNumber uint64
	Index        uint64
}

// State is the configuration at one index. The zero value is empty.
type State struct {
	index         uint64
	removalsSince uint64
	records       Map[Ref, Record]
	keys          Map[KeyDigest, *Workspace]
	journal       *journal
}

// journal is a list of what changed, newest first.
type journal struct {
	index  uint64
	refs   []Ref
	older  *journal
	length int
}

// Index returns the log index that the state includes.
func (s State) Index() uint64 { return s.index }

// CompactedIndex returns the index from which on removals are remembered.
func (s State) CompactedIndex() uint64 { return s.removalsSince }

// Len returns the number of records, removed ones included.
func (s State) Len() int { return s.records.Len() }

// Workspace returns the workspace that a key digest belongs to.
func (s State) Workspace(d KeyDigest) (*Workspace, bool) { return s.keys.Get(d) }

// Record returns the record of an object, removed ones included.
func (s State) Record(r Ref) (Record, bool) { return s.records.Get(r) }

// Get returns a typed object by name.
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

// List returns all objects of a type, ordered by name.
func List[T Object](s State) []T {
	var list []T
	for _, record := range s.records.All() {
		if o, ok := record.Object.(T); ok {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b T) int { return strings.Compare(a.Ref().Name, b.Ref().Name) })
	return list
}

// Records returns all records, ordered by kind and name.
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

// ActiveVoters returns the VMs whose majority grants leases.
func (s State) ActiveVoters() []string {
	e, _ := Get[ActiveVoters](s, VotersName)
	return e.VMs
}

// IsDataCentreOut reports whether operators have taken a data centre out.
func (s State) IsDataCentreOut(dataCentre string) bool {
	d, ok := Get[DataCentre](s, dataCentre)
	return ok && d.State == DataCentreOut
}

// RecordsSince returns the records touched after an index. If complete is true, they
// are the whole state, because removals before index are no longer known.
func (s State) RecordsSince(index uint64) (records []Record, complete bool) {
	if index == 0 || index < s.removalsSince {
		return s.live(), true
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

func (s State) live() []Record {
	all := s.Records()
	return slices.DeleteFunc(all, func(r Record) bool { return r.Object == nil })
}

// since returns the objects touched after an index, each once, and whether the
// journal reaches back that far.
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

// with returns the journal with one more change. It is cut to half once it is
// twice as long as needed.
func (j *journal) with(index uint64, refs []Ref) *journal {
	next := &journal{index: index, refs: refs, older: j, length: 1}
	if j != nil {
		next.length = j.length + 1
	}
	if next.length < 2*journalLength {
		return next
	}
	return next.cut(journalLength)
}

// cut returns a copy of the newest n changes.
func (j *journal) cut(n int) *journal {
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

// String summarizes the state.
func (s State) String() string {
	return fmt.Sprintf("state at index %d, %d records, %d keys", s.index, s.records.Len(), s.keys.Len())
}
