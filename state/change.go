package state

import "fmt"

// Change is the set of updates of one ticket, applied at one log index.
type Change struct {
	Index        uint64
	TicketNumber uint64
	Set          []Object
	Remove       []Ref
}

// ProblemKind is the reason why a change is rejected.
type ProblemKind string

// Reasons to reject a change.
const (
	// Dangling means that a reference names an object that does not exist.
	Dangling ProblemKind = "dangling"
	// Stale means that a ticket with a higher number has changed the object.
	Stale ProblemKind = "stale"
	// KeyInUse means that a key already belongs to another workspace.
	KeyInUse ProblemKind = "taken"
	// Invalid means that an object has an invalid value, or may not follow the present one.
	Invalid ProblemKind = "invalid"
)

// Problem describes why a change is rejected.
type Problem struct {
	Kind ProblemKind
	Ref  Ref
	Text string
}

// Check validates a change against the state and returns all problems. The change
// can be applied if there are none.
func (s State) Check(c Change) []Problem {
	after := s.overlay(c)
	problems := s.checkStale(c)
	for _, o := range c.Set {
		problems = append(problems, after.checkObject(o)...)
	}
	return append(problems, after.checkRemovals(c)...)
}

// WithChange returns the state with the change applied. If the change is invalid, it
// returns the unchanged state and the problems.
func (s State) WithChange(c Change) (State, []Problem) {
	if problems := s.Check(c); len(problems) > 0 {
		return s, problems
	}
	records := make([]Record, 0, len(c.Set)+len(c.Remove))
	for _, o := range c.Set {
		records = append(records, Record{Ref: o.Ref(), Object: o, TicketNumber: c.TicketNumber, Index: c.Index})
	}
	for _, ref := range c.Remove {
		records = append(records, Record{Ref: ref, TicketNumber: c.TicketNumber, Index: c.Index})
	}
	return s.WithRecords(c.Index, records), nil
}

// WithRecords returns the state at an index with the given records merged in. A
// record that is older than the existing one of the same object is ignored.
func (s State) WithRecords(index uint64, records []Record) State {
	builder := s.records.Builder()
	keyBuilder := s.keys.Builder()
	refs := make([]Ref, 0, len(records))
	for _, record := range records {
		old, ok := builder.Get(record.Ref)
		if ok && old.Index > record.Index {
			continue
		}
		removeKeys(keyBuilder, old.Object)
		s.digest ^= old.digest() ^ record.digest()
		builder.Set(record.Ref, record)
		refs = append(refs, record.Ref)
	}
	// Keys are added after all removals, because a key may move between workspaces.
	for _, ref := range refs {
		record, _ := builder.Get(ref)
		addKeys(keyBuilder, record.Object)
	}
	s.records = builder.Map()
	s.keys = keyBuilder.Map()
	s.index = max(s.index, index)
	s.journal = s.journal.append(s.index, refs)
	return s
}

// Load returns a state that consists of exactly the given records, which include the
// tombstones of all removals after compactedIndex.
func Load(index, compactedIndex uint64, records []Record) State {
	s := State{}.WithRecords(index, records)
	s.compactedIndex = compactedIndex
	s.journal = nil
	return s
}

// WithoutTombstones returns the state without the tombstones of objects that were
// removed by tickets with numbers up to upTo.
func (s State) WithoutTombstones(upTo uint64) State {
	builder := s.records.Builder()
	for ref, record := range s.records.All() {
		if record.Object != nil || record.TicketNumber > upTo {
			continue
		}
		builder.Delete(ref)
		s.compactedIndex = max(s.compactedIndex, record.Index)
	}
	s.records = builder.Map()
	return s
}

func removeKeys(keys *MapBuilder[KeyDigest, *Workspace], o Object) {
	w, ok := o.(Workspace)
	if !ok {
		return
	}
	for _, d := range w.KeyDigests {
		if owner, ok := keys.Get(d); ok && owner.Name == w.Name {
			keys.Delete(d)
		}
	}
}

func addKeys(keys *MapBuilder[KeyDigest, *Workspace], o Object) {
	w, ok := o.(Workspace)
	if !ok {
		return
	}
	for _, d := range w.KeyDigests {
		keys.Set(d, &w)
	}
}

// overlay is the view of a state as it would be after a change.
type overlay struct {
	state   State
	changed map[Ref]Object
	owners  map[KeyDigest]string
}

func (s State) overlay(c Change) overlay {
	o := overlay{state: s, changed: make(map[Ref]Object), owners: make(map[KeyDigest]string)}
	for _, object := range c.Set {
		o.changed[object.Ref()] = object
		w, ok := object.(Workspace)
		if !ok {
			continue
		}
		for _, d := range w.KeyDigests {
			o.owners[d] = w.Name
		}
	}
	for _, ref := range c.Remove {
		o.changed[ref] = nil
	}
	return o
}

func (o overlay) exists(ref Ref) bool {
	if object, ok := o.changed[ref]; ok {
		return object != nil
	}
	record, ok := o.state.records.Get(ref)
	return ok && record.Object != nil
}

func (s State) checkStale(c Change) []Problem {
	var problems []Problem
	check := func(ref Ref) {
		record, ok := s.records.Get(ref)
		if !ok || record.TicketNumber <= c.TicketNumber {
			return
		}
		text := fmt.Sprintf("%s was last changed by ticket %d, which is higher than %d", ref, record.TicketNumber, c.TicketNumber)
		problems = append(problems, Problem{Stale, ref, text})
	}
	for _, o := range c.Set {
		check(o.Ref())
	}
	for _, ref := range c.Remove {
		check(ref)
	}
	return problems
}

func (o overlay) checkObject(object Object) []Problem {
	switch object := object.(type) {
	case Route:
		var problems []Problem
		for _, pool := range object.Pools() {
			if !o.exists(Ref{KindPool, pool}) {
				text := fmt.Sprintf("route %q refers to pool %q, which does not exist", object.Name, pool)
				problems = append(problems, Problem{Dangling, object.Ref(), text})
			}
		}
		return problems
	case Workspace:
		return o.checkKeys(object)
	case Rollout:
		return o.checkRollout(object)
	default:
		return nil
	}
}

func (o overlay) checkRollout(r Rollout) []Problem {
	if !o.exists(Ref{KindPool, r.Pool}) {
		return []Problem{{Dangling, r.Ref(), fmt.Sprintf("pool %q of the roll-out does not exist", r.Pool)}}
	}
	present, exists := Get[Rollout](o.state, r.Pool)
	if text := r.problem(present, exists); text != "" {
		return []Problem{{Invalid, r.Ref(), fmt.Sprintf("roll-out of pool %q to version %q: %s", r.Pool, r.Version, text)}}
	}
	return nil
}

func (o overlay) checkKeys(w Workspace) []Problem {
	var problems []Problem
	for _, d := range w.KeyDigests {
		owner, ok := o.owner(d)
		if !ok || owner == w.Name {
			continue
		}
		text := fmt.Sprintf("key %s belongs to workspace %q", d, owner)
		problems = append(problems, Problem{KeyInUse, w.Ref(), text})
	}
	return problems
}

// owner returns the workspace that owns a key after the change.
func (o overlay) owner(d KeyDigest) (string, bool) {
	current, ok := o.state.keys.Get(d)
	if ok {
		_, changed := o.changed[current.Ref()]
		if !changed {
			return current.Name, true
		}
	}
	name, ok := o.owners[d]
	return name, ok
}

func (o overlay) checkRemovals(c Change) []Problem {
	var problems []Problem
	removedPools := make(map[string]bool)
	for _, ref := range c.Remove {
		record, ok := o.state.records.Get(ref)
		if !ok || record.Object == nil {
			problems = append(problems, Problem{Dangling, ref, ref.String() + " does not exist"})
		}
		if ref.Kind == KindPool {
			removedPools[ref.Name] = true
		}
	}
	if len(removedPools) == 0 {
		return problems
	}
	for _, route := range List[Route](o.state) {
		_, changed := o.changed[route.Ref()]
		for _, pool := range route.Pools() {
			if changed || !removedPools[pool] {
				continue
			}
			text := fmt.Sprintf("pool %q is still in use by route %q", pool, route.Name)
			problems = append(problems, Problem{Dangling, Ref{KindPool, pool}, text})
		}
	}
	return problems
}
