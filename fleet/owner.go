package fleet

import (
	"time"
)

// homes watches over the lifetimes of the targets whose home is this entry.
// The home of a target is the entry that it announced itself to first. If that
// entry is gone, a live one chosen by hash takes over. Repeated announcements
// that change nothing go to the home only, not to the whole fleet.
type homes struct {
	vm    string
	heard map[string]time.Time
}

func newHomes(vm string) *homes {
	return &homes{vm: vm, heard: make(map[string]time.Time)}
}

// responsible returns the entry that watches over a target.
func responsible(t Target, c *core) string {
	if _, here := c.members[t.Home]; here {
		return t.Home
	}
	return Rendezvous(t.Name, c.vms())
}

// expired returns the removals of targets that were silent for their lifetime.
func (h *homes) expired(now time.Time, c *core) []Item {
	var removals []Item
	for key, item := range c.board.items {
		if key.Kind != KindTarget || item.Removed {
			continue
		}
		t, ok := targetOf(item)
		if !ok || responsible(t, c) != h.vm {
			delete(h.heard, key.Name)
			continue
		}
		last, known := h.heard[key.Name]
		if !known {
			h.heard[key.Name] = now
			continue
		}
		if now.Sub(last) > t.Lifetime {
			delete(h.heard, key.Name)
			removals = append(removals, t.item(true))
		}
	}
	return removals
}
