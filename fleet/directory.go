package fleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/dottereldeal/dottereldeal/event"
)

// Directory is an immutable snapshot of the known backend servers, by pool.
type Directory struct {
	pools  map[string][]Target
	byName map[string]Target
}

// newDirectory returns a directory of targets. A later target replaces an earlier one of
// the same name.
func newDirectory(lists ...[]Target) *Directory {
	size := 0
	for _, list := range lists {
		size += len(list)
	}
	d := &Directory{pools: make(map[string][]Target), byName: make(map[string]Target, size)}
	for _, list := range lists {
		for _, t := range list {
			d.byName[t.Name] = t
		}
	}
	for _, t := range d.byName {
		d.pools[t.Pool] = append(d.pools[t.Pool], t)
	}
	for _, pool := range d.pools {
		slices.SortFunc(pool, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	}
	return d
}

// Pool returns the backend servers of a pool, sorted by name.
func (d *Directory) Pool(name string) []Target { return d.pools[name] }

// Pools returns the sorted names of all pools that have backend servers.
func (d *Directory) Pools() []string { return slices.Sorted(maps.Keys(d.pools)) }

// Target returns a backend server by name.
func (d *Directory) Target(name string) (Target, bool) {
	t, ok := d.byName[name]
	return t, ok
}

// Len returns the number of backend servers.
func (d *Directory) Len() int { return len(d.byName) }

// all returns the backend servers except those of the given names, in no order.
func (d *Directory) all(except map[string]bool) []Target {
	list := make([]Target, 0, len(d.byName))
	for name, t := range d.byName {
		if !except[name] {
			list = append(list, t)
		}
	}
	return list
}

// with returns a copy of the directory with a target added or replaced.
func (d *Directory) with(t Target) *Directory { return newDirectory(d.all(nil), []Target{t}) }

// without returns a copy of the directory without a target.
func (d *Directory) without(name string) *Directory {
	return newDirectory(d.all(map[string]bool{name: true}))
}

// replace returns a copy of the directory in which one set of targets is replaced by
// another. Its cost grows with the number of targets, not with its square.
func (d *Directory) replace(old, next []Target) *Directory {
	removed := make(map[string]bool, len(old))
	for _, t := range old {
		removed[t.Name] = true
	}
	return newDirectory(d.all(removed), next)
}

// SetRegistered replaces the set of backend servers that are registered with the
// control plane. A backend server that also announced itself to the entries counts
// as registered.
func (f *Fleet) SetRegistered(targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(targets, f.registered) {
		return
	}
	before := f.directory.Load()
	next := before.replace(f.registered, targets)
	f.registered = targets
	f.directory.Store(next)
	f.recordDirectoryChanges(before, next)
}

// recordDirectoryChanges records the differences between two directories in the
// event log.
func (f *Fleet) recordDirectoryChanges(before, after *Directory) {
	for _, t := range after.byName {
		f.recordPhase(before, t)
	}
	for name, t := range before.byName {
		if _, present := after.byName[name]; !present {
			f.options.EventLog.Record(event.TargetExpired, t.Name, "pool "+t.Pool)
		}
	}
}

// recordPhase records a new backend server or a change of its phase in the event log.
func (f *Fleet) recordPhase(before *Directory, t Target) {
	old := before.byName[t.Name]
	if old.Phase == t.Phase {
		return
	}
	kinds := map[Phase]event.Kind{Cold: event.TargetCold, Warm: event.TargetWarm, Leaving: event.TargetLeaving}
	if old.Name == "" {
		f.options.EventLog.Record(event.TargetJoined, t.Name, "pool "+t.Pool+", "+string(t.Phase))
		return
	}
	f.options.EventLog.Record(kinds[t.Phase], t.Name, "pool "+t.Pool)
}
