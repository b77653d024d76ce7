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
// another. Pools without any of them are shared.
func (d *Directory) replace(old, added []Target) *Directory {
	next := &Directory{pools: maps.Clone(d.pools)}
	if next.pools == nil {
		next.pools = make(map[string][]Target)
	}
	removed := make(map[string]bool, len(old)+len(added))
	for _, t := range slices.Concat(old, added) {
		removed[t.Name] = true
	}
	arriving := make(map[string][]Target)
	for _, t := range added {
		arriving[t.Pool] = append(arriving[t.Pool], t)
	}
	for pool, targets := range d.pools {
		if len(arriving[pool]) == 0 && !d.hasAny(pool, removed) {
			continue
		}
		next.pools[pool] = slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return removed[t.Name] })
	}
	for pool, targets := range arriving {
		merged := append(slices.Clip(next.pools[pool]), targets...)
		slices.SortFunc(merged, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
		next.pools[pool] = merged
	}
	maps.DeleteFunc(next.pools, func(_ string, targets []Target) bool { return len(targets) == 0 })
	return next
}

// has reports whether a pool has a backend server of a name.
func (d *Directory) has(pool, name string) bool {
	_, found := d.Target(pool, name)
	return found
}

// hasAny reports whether a pool has any of the named backend servers.
func (d *Directory) hasAny(pool string, names map[string]bool) bool {
	for name := range names {
		if d.has(pool, name) {
			return true
		}
	}
	return false
}

// SetRegistered replaces the set of backend servers that are registered with the
// control plane. A backend server that also announced itself to the entries counts
// as registered.
func (f *Fleet) SetRegistered(targets []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := make(map[string]bool, len(targets))
	for _, t := range targets {
		next[t.Name] = true
	}
	var removed []string
	for name := range f.registered {
		if !next[name] {
			removed = append(removed, name)
		}
	}
	f.updateRegistered(targets, removed)
}

// UpdateRegistered changes some of the backend servers that are registered with the control plane, and
// removes others. Its cost grows with the pools that these are in.
func (f *Fleet) UpdateRegistered(changed []Target, removed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateRegistered(changed, removed)
}

// updateRegistered must be called with the lock.
func (f *Fleet) updateRegistered(changed []Target, removed []string) {
	var old, added []Target
	for _, t := range changed {
		if known, ok := f.registered[t.Name]; ok && known == t {
			continue
		} else if ok {
			old = append(old, known)
		}
		added = append(added, t)
	}
	for _, name := range removed {
		if known, ok := f.registered[name]; ok {
			old = append(old, known)
		}
	}
	if len(old)+len(added) == 0 {
		return
	}
	if f.registered == nil {
		f.registered = make(map[string]Target)
	}
	for _, t := range old {
		delete(f.registered, t.Name)
	}
	for _, t := range added {
		f.registered[t.Name] = t
	}
	before := f.directory.Load()
	next := before.replace(old, added)
	f.directory.Store(next)
	f.recordDirectoryChanges(before, next, slices.Concat(old, added))
}

// recordDirectoryChanges records in the event log what has become of targets.
func (f *Fleet) recordDirectoryChanges(before, after *Directory, targets []Target) {
	recorded := make(map[string]bool, len(targets))
	for _, t := range targets {
		if recorded[t.Name] {
			continue
		}
		recorded[t.Name] = true
		for _, pool := range before.poolsOf(t.Name) {
			if !after.has(pool, t.Name) {
				f.options.EventLog.Record(event.TargetExpired, t.Name, "pool "+pool)
			}
		}
		for _, pool := range after.poolsOf(t.Name) {
			present, _ := after.Target(pool, t.Name)
			f.recordPhase(before, present)
		}
	}
}

// poolsOf returns the pools that have a backend server of a name.
func (d *Directory) poolsOf(name string) []string {
	var pools []string
	for pool := range d.pools {
		if d.has(pool, name) {
			pools = append(pools, pool)
		}
	}
	return pools
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
