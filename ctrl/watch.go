package ctrl

import (
	"time"

	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// watcherLimit is the silence after which an entry gets no more pushes.
	watcherLimit = 5 * time.Second
	// beaconPeriod is the time between two beacons of the leader.
	beaconPeriod = time.Second
	// tellAgain is the time after which an entry is told again which control VMs there
	// are, in case the last time was lost.
	tellAgain = 5 * time.Second
	// maxBulk is the number of entries that get a large delta at the same time.
	maxBulk = 4
	// bulkLimit is how long an entry holds such a place without asking for more.
	bulkLimit = time.Second
	// silentWatcher is the silence after which an entry's last word on whether it
	// serves no longer counts.
	silentWatcher = time.Second
	// maxPeers is the number of other entries told at a time to one that lacks some.
	maxPeers = 4
	// forgetWatcher is the silence after which an entry is no longer listed.
	forgetWatcher = 10 * time.Minute
)

// watcher is what this replica knows of an entry.
type watcher struct {
	index   uint64
	sent    uint64
	boot    uint64
	heard   time.Time
	serving bool
	leaving bool
	members int
	centre  string
	addr    string
	// to and part say what the entry needs next of a large delta.
	to    uint64
	part  uint32
	brief bool
	// bulkAt is when it was last sent a part of a large delta.
	bulkAt time.Time
	// told is the group of control VMs that the entry was told of last, at toldAt.
	told   string
	toldAt time.Time
}

// handleWatch notes an entry's acknowledgement and sends what it lacks.
func (c *Control) handleWatch(from string, m *wire.Watch) {
	w, ok := c.watchers[from]
	if !ok {
		w = &watcher{}
		c.watchers[from] = w
	}
	w.index, w.sent = m.GetIndex(), m.GetIndex()
	w.boot = m.GetBoot()
	w.heard = c.options.Clock.Now()
	w.serving = m.GetServing()
	w.leaving = m.GetLeaving()
	w.members = int(m.GetMembers())
	w.centre = m.GetDataCentre()
	w.addr = m.GetAddr()
	w.to, w.part, w.brief = m.GetTo(), m.GetPart(), m.GetBrief()
	if w.index >= c.Ledger().State().Index() {
		w.bulkAt = time.Time{} // it has all of a large delta
	}
	c.sendDelta(from, w)
}

// peers returns a few entries for one that knows fewer than this control VM: it has
// just started, or belongs to a part of the fleet that has not met the others yet.
func (c *Control) peers(vm string, w *watcher) []*wire.Peer {
	now := c.options.Clock.Now()
	var list []*wire.Peer
	present := 0
	for other, known := range c.watchers {
		if known.leaving || now.Sub(known.heard) > silentWatcher {
			continue
		}
		present++
		if other != vm && len(list) < maxPeers {
			list = append(list, &wire.Peer{Vm: other, Addr: known.addr})
		}
	}
	if w.members >= present {
		return nil
	}
	return list
}

// controls returns the addresses of all control VMs, for entries whose settings
// name others. An entry that has heard it lately is not told again.
func (c *Control) controls(w *watcher) []*wire.Peer {
	group := c.status.Load().Group
	now := c.options.Clock.Now()
	if name := group.String(); name != w.told || now.Sub(w.toldAt) > tellAgain {
		w.told, w.toldAt = name, now
	} else {
		return nil
	}
	var list []*wire.Peer
	for _, r := range group.Replicas() {
		list = append(list, &wire.Peer{Vm: r.VM, Addr: r.Addr})
	}
	return list
}

// pushDeltas sends new state at once to all watchers that use this control VM.
func (c *Control) pushDeltas() {
	now := c.options.Clock.Now()
	index := c.Ledger().State().Index()
	for vm, w := range c.watchers {
		if w.sent < index && !w.brief && now.Sub(w.heard) < watcherLimit {
			c.sendDelta(vm, w)
		}
	}
}

// sendDelta sends what the watcher lacks. Only a few entries get a large delta
// from here at the same time; the others get it from their neighbours.
func (c *Control) sendDelta(vm string, w *watcher) {
	current := c.Ledger().State()
	parts, large, err := c.feed.Next(current, w.sent, w.to, w.part)
	if err != nil {
		return
	}
	underWay := w.part > 0 && w.to == current.Index()
	if large && (w.brief || !underWay && !c.mayBulk(w)) {
		parts = []*wire.Delta{{From: w.sent, To: w.sent}}
	}
	for _, part := range parts {
		c.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_Delta{Delta: c.annotate(part, vm, w)}})
	}
	if !large {
		w.sent = current.Index()
	}
}

// annotate returns a part with what else the entry should know.
func (c *Control) annotate(part *wire.Delta, vm string, w *watcher) *wire.Delta {
	return &wire.Delta{
		From: part.GetFrom(), To: part.GetTo(), RemovalsSince: part.GetRemovalsSince(),
		Objects: part.GetObjects(), More: part.GetMore(), Part: part.GetPart(),
		Beacon: c.beacon, Leader: c.leaderVM(*c.status.Load()),
		Peers: c.peers(vm, w), Controls: c.controls(w),
	}
}

// mayBulk reports whether an entry may have a large delta now, and notes it.
func (c *Control) mayBulk(w *watcher) bool {
	now := c.options.Clock.Now()
	busy := 0
	for _, other := range c.watchers {
		if other != w && now.Sub(other.bulkAt) < bulkLimit {
			busy++
		}
	}
	if busy >= maxBulk {
		return false
	}
	w.bulkAt = now
	return true
}

// tickWatchers renews the leader's beacon and forgets entries that went silent.
func (c *Control) tickWatchers(now time.Time) {
	for vm, w := range c.watchers {
		if now.Sub(w.heard) > forgetWatcher {
			delete(c.watchers, vm)
		}
	}
	if c.status.Load().Role != quorum.Leader {
		c.beacon = nil
		return
	}
	if now.Sub(c.lastBeacon) < beaconPeriod {
		return
	}
	c.lastBeacon = now
	c.token++
	token := c.token
	if c.core.ReadIndex(token) == nil {
		c.beaconToken = token
	}
}

// renewBeacon notes that this leader was in charge just now. Watchers get it
// with the next answer.
func (c *Control) renewBeacon(r quorum.ConfirmedRead) {
	c.beacon = &wire.Beacon{Term: r.Term, Seq: r.Token, Index: c.Ledger().State().Index()}
}
