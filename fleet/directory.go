package fleet

import (
	"maps"
	"slices"
	"strings"

	"github.com/dottereldeal/dottereldeal/event"
)

// Directory is an immutable snapshot of the known backend servers, by pool.
type Directory struct {
	pools map[string][]Target // each sorted by name
}

// Pool returns the backend servers of a pool, sorted by name.
func (d *Directory) Pool(name string) []Target { return d.pools[name] }

// Pools returns the sorted names of all pools that have backend servers.
func (d *Directory) Pools() []string { return slices.Sorted(maps.Keys(d.pools)) }

// Target returns a backend server of a pool by name.
func (d *Directory) Target(pool, name string) (Target, bool) {
	targets := d.pools[pool]
	at, found := slices.BinarySearchFunc(targets, name, func(t Target, name string) int { return strings.Compare(t.Name, name) })
	if !found {
		return Target{}, false
	}
	return targets[at], true
}

// Len returns the number of backend servers.
func (d *Directory) Len() int {
	n := 0
	for _, pool := range d.pools {
		n += len(pool)
	}
	return n
}

// with returns a copy of the directory with a target added or replaced.
func (d *Directory) with(t Target) *Directory { return d.replace([]Target{t}, []Target{t}) }

// without returns a copy of the directory without a target.
func (d *Directory) without(name string) *Directory { return d.replace([]Target{{Name: name}}, nil) }

// replace returns a copy of the directory in which one set of targets is replaced by
// another. Its cost grows with the number of targets, not with its square.
func (d *Directory) replace(old, added []Target) *Directory {
	removed := make(map[string]bool, len(old)+len(added))
	for _, t := range slices.Concat(old, added) {
		removed[t.Name] = true
	}
	isRemoved := func(t Target) bool { return removed[t.Name] }
	next := &Directory{pools: make(map[string][]Target, len(d.pools)+1)}
	for pool, targets := range d.pools {
		if slices.ContainsFunc(targets, isRemoved) {
			targets = slices.DeleteFunc(slices.Clone(targets), isRemoved)
		}
		if len(targets) > 0 {
			next.pools[pool] = targets
		}
	}
	modified := make(map[string]bool)
	for _, t := range added {
		if !modified[t.Pool] {
			modified[t.Pool] = true
			next.pools[t.Pool] = slices.Clone(next.pools[t.Pool])
		}
		next.pools[t.Pool] = append(next.pools[t.Pool], t)
	}
	for pool := range modified {
		slices.SortFunc(next.pools[pool], func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	}
	return next
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
	for _, pool := range after.pools {
		for _, t := range pool {
			f.recordPhase(before, t)
		}
	}
	for name, pool := range before.pools {
		for _, t := range pool {
			if _, present := after.Target(name, t.Name); !present {
				f.options.EventLog.Record(event.TargetExpired, t.Name, "pool "+name)
			}
		}
	}
}

// recordPhase records a new backend server or a change of its phase in the event log.
func (f *Fleet) recordPhase(before *Directory, t Target) {
	old, _ := before.Target(t.Pool, t.Name)
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
