package fleet

import (
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Announce handles an announcement that a backend server sent to this entry. It
// reports false if a newer one is known already.
func (f *Fleet) Announce(t Target) bool {
	accepted := true
	home := ""
	f.step(func(now time.Time) {
		known, ok := f.target(t.Name)
		if ok && known.Newer(t) {
			accepted = false
			return
		}
		if ok && known.equivalent(t) {
			home = homeOf(known, f.core)
		}
		if home == f.options.Self.VM {
			f.expiry.lastHeard[t.Name] = now
			return
		}
		if home == "" {
			f.expiry.lastHeard[t.Name] = now
			f.core.put(t.WithHome(f.options.Self.VM).item(false), "", now)
		}
	})
	if accepted && home != "" && home != f.options.Self.VM {
		refresh := &wire.Refresh{Name: t.Name, Boot: t.Boot, Count: t.Count, Target: t.wire()}
		f.transport.Send(home, &wire.Envelope{Body: &wire.Envelope_Refresh{Refresh: refresh}})
	}
	return accepted
}

// Withdraw removes the announcement of a backend server at its own request. It
// reports false if the target is unknown or a newer version exists.
func (f *Fleet) Withdraw(name string, boot, count uint64) bool {
	accepted := false
	f.step(func(now time.Time) {
		known, ok := f.target(name)
		if !ok {
			return
		}
		known.Boot, known.Count = boot, count
		accepted = f.core.put(known.item(true), "", now)
	})
	return accepted
}

// target returns the current announcement of a target.
func (f *Fleet) target(name string) (Target, bool) {
	item, ok := f.core.store.items[Key{KindTarget, name}]
	if !ok || item.Removed {
		return Target{}, false
	}
	return decodeTarget(item)
}

// receiveRefresh handles an announcement that another entry forwarded because
// this entry is the target's home.
func (f *Fleet) receiveRefresh(m *wire.Refresh) {
	t := targetFromWire(m.GetName(), m.GetBoot(), m.GetCount(), m.GetTarget())
	f.step(func(now time.Time) {
		known, ok := f.target(t.Name)
		if ok && known.equivalent(t) {
			f.expiry.lastHeard[t.Name] = now
			return
		}
		f.expiry.lastHeard[t.Name] = now
		f.core.put(t.WithHome(f.options.Self.VM).item(false), "", now)
	})
}

// applyTarget updates the directory from a target item.
func (f *Fleet) applyTarget(item Item) {
	t, ok := decodeTarget(item)
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
