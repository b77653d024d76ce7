package pool

import (
	"maps"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/pick"
)

// leavingServers holds the servers that have said in answers that they leave, with the boot in
// which they did. It is replaced, not modified.
//
// A server that leaves says so to control as well, but may be cut off from there, and its
// registration may say otherwise for some time. What an answer says holds at once on the entry that
// received it and for the holder that placed the request, and until the server's next start. The
// server is as good as gone: it is neither a failed one nor does it count towards the floor.
type leavingServers map[string]uint64

// has reports whether a server has said that it leaves.
func (l leavingServers) has(t fleet.Target) bool {
	boot, leaving := l[t.Name]
	return leaving && boot == t.Boot
}

// without returns the servers that have not said that they leave.
func (l leavingServers) without(targets []fleet.Target) []fleet.Target {
	if len(l) == 0 {
		return targets
	}
	kept := make([]fleet.Target, 0, len(targets))
	for _, t := range targets {
		if !l.has(t) {
			kept = append(kept, t)
		}
	}
	return kept
}

// markLeaving notes that a server has said that it leaves.
func (b *Balancer) markLeaving(pool, name string, boot uint64) {
	for {
		known := b.leaving.Load()
		if at, ok := (*known)[name]; ok && at >= boot {
			return
		}
		next := make(leavingServers, len(*known)+1)
		maps.Copy(next, *known)
		next[name] = boot
		if b.leaving.CompareAndSwap(known, &next) {
			b.options.EventLog.Record(event.TargetLeaving, name, "pool "+pool+", said in an answer")
			return
		}
	}
}

// checkStays returns an error once a server that was chosen must not be sent a request any more. The
// request may have waited since for a connection, for its body or for its turn on the link.
func (b *Balancer) checkStays(t fleet.Target) error {
	present, known := b.fleet.Directory().Target(t.Pool, t.Name)
	if !known || present.Addr != t.Addr || !pick.IsEligible(present, b.options.State()) || b.leaving.Load().has(present) {
		return pick.ErrDeparted
	}
	return nil
}

// maxLeaving bounds the servers that are remembered although they are no longer registered.
const maxLeaving = 1024

// forgetLeaving forgets servers that have started again, and, if they are too many, those that
// are gone.
func (b *Balancer) forgetLeaving() {
	known := b.leaving.Load()
	if len(*known) == 0 {
		return
	}
	next := maps.Clone(*known)
	present := make(map[string]bool)
	directory := b.fleet.Directory()
	for _, pool := range directory.Pools() {
		for _, t := range directory.Pool(pool) {
			present[t.Name] = true
			if boot, ok := next[t.Name]; ok && t.Boot > boot {
				delete(next, t.Name)
			}
		}
	}
	if len(next) > maxLeaving {
		maps.DeleteFunc(next, func(name string, _ uint64) bool { return !present[name] })
	}
	if len(next) < len(*known) {
		b.leaving.CompareAndSwap(known, &next)
	}
}

// leavingOf returns the servers of a cell that have said that they leave.
func (b *Balancer) leavingOf(cell string) leavingServers {
	known := b.leaving.Load()
	if len(*known) == 0 {
		return nil
	}
	var list leavingServers
	for _, t := range b.servers(b.options.State().PoolOfCell(cell)).leaving[cell] {
		if list == nil {
			list = make(leavingServers)
		}
		list[t.Name] = t.Boot
	}
	return list
}
