package fleet

// SameList reports whether two lists are the same one, not only equal. Lists of members and of targets are
// replaced, not modified, when they change.
func SameList[T any](a, b []T) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// Derived is a value that is computed from the members of the fleet, and kept until they change. It is
// not safe for concurrent use.
type Derived[T any] struct {
	compute func([]Member) T
	from    []Member
	known   bool
	value   T
}

// NewDerived returns a value that compute returns for a list of members.
func NewDerived[T any](compute func([]Member) T) Derived[T] { return Derived[T]{compute: compute} }

// Of returns the value for a list of members, which is replaced, not modified, when they change.
func (d *Derived[T]) Of(members []Member) T {
	if !d.known || !SameList(members, d.from) {
		d.value, d.from, d.known = d.compute(members), members, true
	}
	return d.value
}
