package fleet

import "time"

// expiryTracker expires the targets whose home is this entry. The home of a
// target is the entry that received its first announcement; if that entry is no
// longer a member, one chosen by rendezvous hashing takes over. Announcements
// that only renew the lifetime go to the home alone, not to the whole fleet.
type expiryTracker struct {
	vm        string
	lastHeard map[string]time.Time
}

func newExpiryTracker(vm string) *expiryTracker {
	return &expiryTracker{vm: vm, lastHeard: make(map[string]time.Time)}
}

// homeOf returns the entry that tracks the lifetime of a target.
func homeOf(t Target, c *core) string {
	if _, active := c.members[t.Home]; active {
		return t.Home
	}
	return Rendezvous(t.Name, c.vms())
}

// expired returns tombstones for the targets that have not renewed their
// announcement within their lifetime.
func (e *expiryTracker) expired(now time.Time, c *core) []Item {
	var tombstones []Item
	for key, item := range c.store.items {
		if key.Kind != KindTarget || item.Removed {
			continue
		}
		t, ok := decodeTarget(item)
		if !ok || homeOf(t, c) != e.vm {
			delete(e.lastHeard, key.Name)
			continue
		}
		last, known := e.lastHeard[key.Name]
		if !known {
			e.lastHeard[key.Name] = now
			continue
		}
		if now.Sub(last) > t.Lifetime {
			delete(e.lastHeard, key.Name)
			tombstones = append(tombstones, t.item(true))
		}
	}
	return tombstones
}
