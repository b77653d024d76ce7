package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Directory is an immutable list of the backend servers by pool.
type Directory struct {
	pools map[string][]Target
}

// Pool returns the backend servers of a pool, ordered by name.
func (d *Directory) Pool(name string) []Target { return d.pools[name] }

// Pools returns the names of all pools with backend servers, in order.
func (d *Directory) Pools() []string { return slices.Sorted(maps.Keys(d.pools)) }

// Len returns the number of backend servers.
func (d *Directory) Len() int {
	n := 0
	for _, pool := range d.pools {
		n += len(pool)
	}
	return n
}

// with returns the directory with a target added or replaced.
func (d *Directory) with(t Target) *Directory {
	next := d.without(t.Name)
	pool := append(slices.Clone(next.pools[t.Pool]), t)
	slices.SortFunc(pool, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	next.pools[t.Pool] = pool
	return next
}

// without returns the directory without a target.
func (d *Directory) without(name string) *Directory {
	next := &Directory{pools: make(map[string][]Target, len(d.pools)+1)}
	for pool, targets := range d.pools {
		named := func(t Target) bool { return t.Name == name }
		if slices.ContainsFunc(targets, named) {
			targets = slices.DeleteFunc(slices.Clone(targets), named)
		}
		if len(targets) > 0 {
			next.pools[pool] = targets
		}
	}
	return next
}

// SetRegistered replaces the backend servers that registered with control. One
// that announced itself to the entries too counts as registered.
func (f *Fleet) SetRegistered(list []Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(list, f.registered) {
		return
	}
	before := f.directory.Load()
	next := before
	for _, t := range f.registered {
		next = next.without(t.Name)
	}
	next = next.withAll(list)
	f.registered = list
	f.directory.Store(next)
	f.recordRegistered(before, next)
}

// recordRegistered notes on the time line what changed between two directories.
func (f *Fleet) recordRegistered(before, after *Directory) {
	for _, pool := range after.pools {
		for _, t := range pool {
			f.recordPhase(before, t)
		}
	}
	for name, pool := range before.pools {
		for _, t := range pool {
			same := func(o Target) bool { return o.Name == t.Name }
			if !slices.ContainsFunc(after.pools[name], same) {
				f.options.EventLog.Record(event.TargetExpired, t.Name, "pool "+name)
			}
		}
	}
}

// withAll returns the directory with some targets added.
func (d *Directory) withAll(list []Target) *Directory {
	next := &Directory{pools: maps.Clone(d.pools)}
	if next.pools == nil {
		next.pools = make(map[string][]Target)
	}
	touched := make(map[string]bool)
	for _, t := range list {
		if !touched[t.Pool] {
			touched[t.Pool] = true
			next.pools[t.Pool] = slices.Clone(next.pools[t.Pool])
		}
		next.pools[t.Pool] = append(next.pools[t.Pool], t)
	}
	for pool := range touched {
		slices.SortFunc(next.pools[pool], func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	}
	return next
}

// Announce takes an announcement that a backend server made to this entry. It
// reports false if a newer one is known.
func (f *Fleet) Announce(t Target) bool {
	fresh := true
	home := ""
	f.step(func(now time.Time) {
		known, ok := f.target(t.Name)
		if ok && known.Newer(t) {
			fresh = false
			return
		}
		if ok && known.sameAs(t) {
			home = responsible(known, f.core)
		}
		if home == f.options.Self.VM {
			f.homes.heard[t.Name] = now
			return
		}
		if home == "" {
			f.homes.heard[t.Name] = now
			f.core.put(t.WithHome(f.options.Self.VM).item(false), "", now)
		}
	})
	if fresh && home != "" && home != f.options.Self.VM {
		refresh := &wire.Refresh{Name: t.Name, Boot: t.Boot, Count: t.Count, Target: t.wire()}
		f.link.Send(home, &wire.Envelope{Body: &wire.Envelope_Refresh{Refresh: refresh}})
	}
	return fresh
}

// Withdraw takes a backend server's word that it is gone.
func (f *Fleet) Withdraw(name string, boot, count uint64) bool {
	fresh := false
	f.step(func(now time.Time) {
		known, ok := f.target(name)
		if !ok {
			return
		}
		known.Boot, known.Count = boot, count
		fresh = f.core.put(known.item(true), "", now)
	})
	return fresh
}

// target returns the announcement known under a name.
func (f *Fleet) target(name string) (Target, bool) {
	item, ok := f.core.board.items[Key{KindTarget, name}]
	if !ok || item.Removed {
		return Target{}, false
	}
	return targetOf(item)
}

// receiveRefresh notes that a target whose home is here announced itself elsewhere.
func (f *Fleet) receiveRefresh(m *wire.Refresh) {
	t := targetOfWire(m.GetName(), m.GetBoot(), m.GetCount(), m.GetTarget())
	f.step(func(now time.Time) {
		known, ok := f.target(t.Name)
		if ok && known.sameAs(t) {
			f.homes.heard[t.Name] = now
			return
		}
		f.homes.heard[t.Name] = now
		f.core.put(t.WithHome(f.options.Self.VM).item(false), "", now)
	})
}

// noteTarget brings the directory up to date.
func (f *Fleet) noteTarget(item Item) {
	t, ok := targetOf(item)
	if !ok {
		return
	}
	before := f.directory.Load()
	if item.Removed {
		f.directory.Store(before.without(t.Name))
		f.options.EventLog.Record(event.TargetExpired, t.Name, "")
		return
	}
	f.directory.Store(before.with(t))
	f.recordPhase(before, t)
}

// recordPhase notes a new backend server or a new phase on the time line.
func (f *Fleet) recordPhase(before *Directory, t Target) {
	old := Target{}
	for _, known := range before.Pool(t.Pool) {
		if known.Name == t.Name {
			old = known
		}
	}
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
