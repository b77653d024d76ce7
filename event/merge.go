package event

import "slices"

// Merge merges event logs into causal order. Events of one process keep their
// order; events of different processes sort by timestamp, then by VM name.
func Merge(logs ...[]Event) []Event {
	var all []Event
	for _, log := range logs {
		all = append(all, log...)
	}
	slices.SortStableFunc(all, compareEvents)
	return all
}

func compareEvents(a, b Event) int {
	switch {
	case a.At.Before(b.At):
		return -1
	case b.At.Before(a.At):
		return 1
	case a.VM < b.VM:
		return -1
	case a.VM > b.VM:
		return 1
	default:
		return int(int64(a.Seq) - int64(b.Seq))
	}
}

// Filter selects events. A zero field matches every event.
type Filter struct {
	Kind   Kind
	VM     string
	Object string
	// FromMillis and ToMillis are inclusive bounds of the wall-clock time.
	FromMillis int64
	ToMillis   int64
}

// Match reports whether e passes the filter.
func (f Filter) Match(e Event) bool {
	if f.Kind != "" && e.Kind != f.Kind {
		return false
	}
	if f.VM != "" && e.VM != f.VM {
		return false
	}
	if f.Object != "" && e.Object != f.Object {
		return false
	}
	if f.FromMillis != 0 && e.At.WallMillis < f.FromMillis {
		return false
	}
	return f.ToMillis == 0 || e.At.WallMillis <= f.ToMillis
}
