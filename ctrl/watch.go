package ctrl

import (
	"fmt"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// pushTimeout is the silence after which no more updates are pushed to an entry.
	pushTimeout = 5 * time.Second
	// pushInterval is the shortest time between two pushes to the entries, and pushIntervalPerEntry
	// what it grows by with each of them. Changes that are committed meanwhile, such as the
	// registrations of a starting pool, are sent together.
	pushInterval         = 50 * time.Millisecond
	pushIntervalPerEntry = 500 * time.Microsecond
	// maxPushInterval bounds the delay of a change, whatever the number of entries.
	maxPushInterval = 400 * time.Millisecond
	// beaconPeriod is the interval between the leader's beacons.
	beaconPeriod = time.Second
	// controlsPeriod is the interval at which an entry is sent the list of control
	// VMs again, in case the last message was lost.
	controlsPeriod = 5 * time.Second
	// maxLargeDeltas is the number of entries that receive a large delta at the same
	// time.
	maxLargeDeltas = 4
	// largeDeltaTimeout is how long an entry occupies a large delta slot without
	// requesting another part.
	largeDeltaTimeout = time.Second
	// reportTimeout is how long an entry's report of whether it serves is valid.
	reportTimeout = time.Second
	// resendTimeout is how long an update is taken to be on its way to an entry that has not
	// acknowledged it.
	resendTimeout = 700 * time.Millisecond
	// maxPeers is the number of peers sent at a time to an entry that knows too few.
	maxPeers = 4
	// watcherTimeout is the silence after which an entry is removed from the list.
	watcherTimeout = 10 * time.Minute
)

// watcher is the state of an entry that receives its configuration from this replica.
type watcher struct {
	index uint64
	// sentIndex is the index of the last state that was sent. Since underWaySince the entry has
	// acknowledged nothing of what it was sent.
	sentIndex     uint64
	underWaySince time.Time
	boot          uint64
	// startToken is the last read that was issued before the entry's first request since its start.
	startToken uint64
	lastHeard  time.Time
	serving    bool
	leaving    bool
	members    int
	dataCentre string
	addr       string
	// to and part identify the part of a large delta that the entry needs next.
	to    uint64
	part  uint32
	brief bool
	// unpacks is set if the entry understands compressed deltas.
	unpacks bool
	// largeDeltaAt is when the entry was last sent a part of a large delta.
	largeDeltaAt time.Time
	// sentGroup is the group of control VMs last sent to the entry, at sentGroupAt.
	sentGroup   string
	sentGroupAt time.Time
}

// handleWatch processes an entry's acknowledgement and sends the changes that it lacks.
func (c *Control) handleWatch(from string, m *wire.Watch) {
	w, ok := c.watchers[from]
	if !ok {
		w = &watcher{}
		c.watchers[from] = w
	}
	if !ok || m.GetBoot() != w.boot || m.GetIndex() == 0 && w.index > 0 {
		w.startToken = c.readToken
	}
	now, current := c.options.Clock.Now(), c.Ledger().State().Index()
	acknowledges := ok && w.index > 0 && m.GetIndex() > w.index && m.GetBoot() == w.boot
	isReceived := m.GetIndex() > w.index || m.GetIndex() >= current
	// What was sent is on its way. On a full link another copy would only delay it.
	underWay := ok && m.GetBoot() == w.boot && m.GetIndex() > 0 && m.GetIndex() < w.sentIndex && m.GetPart() == 0 && now.Sub(w.underWaySince) < resendTimeout
	if m.GetIndex() > w.index {
		w.underWaySince = now
	}
	w.index = m.GetIndex()
	if !underWay {
		w.sentIndex = m.GetIndex()
	}
	w.boot = m.GetBoot()
	w.lastHeard = now
	w.serving = m.GetServing()
	w.leaving = m.GetLeaving()
	w.members = int(m.GetMembers())
	w.dataCentre = m.GetDataCentre()
	w.addr = m.GetAddr()
	w.to, w.part, w.brief, w.unpacks = m.GetTo(), m.GetPart(), m.GetBrief(), m.GetUnpacks()
	c.confirmStart(w, w.lastHeard)
	if isReceived {
		w.largeDeltaAt = time.Time{}
	}
	if ok && c.pushScheduled && w.index >= c.pushedIndex && !w.brief && w.part == 0 {
		return // the scheduled push contains all that this entry lacks
	}
	if acknowledges && w.sentIndex == current && !w.brief && w.part == 0 && c.isStartConfirmed(w) {
		return // there is nothing to send; a beacon comes with the answer to the next request
	}
	if w.index == 0 && !w.brief {
		// The entry must know soon that a large answer is on its way, lest it ask others.
		c.sendPart(from, w, &wire.Delta{})
	}
	c.sendDelta(from, w)
}

// missingPeers returns a few peers for an entry that knows fewer than this control
// VM. It has just started, or its part of the fleet has not met the others yet.
func (c *Control) missingPeers(vm string, w *watcher) []*wire.Peer {
	if w.members >= c.presentEntries {
		return nil
	}
	now := c.options.Clock.Now()
	var list []*wire.Peer
	for other, known := range c.watchers {
		if other != vm && known.present(now) {
			list = append(list, &wire.Peer{Vm: other, Addr: known.addr})
		}
		if len(list) == maxPeers {
			break
		}
	}
	return list
}

// present reports whether the entry has reported lately that it is part of the fleet.
func (w *watcher) present(now time.Time) bool {
	return !w.leaving && now.Sub(w.lastHeard) <= reportTimeout
}

// receivesLargeDelta reports whether the entry occupies a large delta slot.
func (w *watcher) receivesLargeDelta(now time.Time) bool {
	return now.Sub(w.largeDeltaAt) < largeDeltaTimeout
}

// newControls returns the addresses of all control VMs, as the settings of an entry
// may name others. It returns nil if the list was sent within controlsPeriod.
func (c *Control) newControls(w *watcher) []*wire.Peer {
	group := c.status.Load().Group
	now := c.options.Clock.Now()
	if name := group.String(); name != w.sentGroup || now.Sub(w.sentGroupAt) > controlsPeriod {
		w.sentGroup, w.sentGroupAt = name, now
	} else {
		return nil
	}
	var list []*wire.Peer
	for _, r := range group.Replicas() {
		list = append(list, &wire.Peer{Vm: r.VM, Addr: r.Addr})
	}
	return list
}

// schedulePush pushes new state to the watchers, or leaves that to a later tick if the last
// push was a short time ago.
func (c *Control) schedulePush(now time.Time) {
	if c.unpushedSince.IsZero() {
		c.unpushedSince = now
	}
	interval := min(pushInterval+time.Duration(len(c.watchers))*pushIntervalPerEntry, maxPushInterval)
	c.pushScheduled = now.Sub(c.lastPush) < interval
	if !c.pushScheduled {
		c.pushDeltas()
	}
}

// pushDeltas sends new state to the watchers that use this control VM. One that is receiving a
// large delta requests the next part itself; the first part of another one would end that.
func (c *Control) pushDeltas() {
	now := c.options.Clock.Now()
	index := c.Ledger().State().Index()
	c.lastPush, c.pushedIndex = now, index
	if c.pushDelay != nil && !c.unpushedSince.IsZero() {
		c.pushDelay.Observe(now.Sub(c.unpushedSince).Seconds())
	}
	c.unpushedSince = time.Time{}
	for vm, w := range c.watchers {
		if w.sentIndex < index && !w.brief && now.Sub(w.lastHeard) < pushTimeout && !w.receivesLargeDelta(now) {
			c.sendDelta(vm, w)
		}
	}
}

// sendDelta sends the changes that a watcher lacks. Only a few entries receive a large
// delta from here at the same time; the others get it from their peers.
func (c *Control) sendDelta(vm string, w *watcher) {
	current := c.Ledger().State()
	parts, large, err := c.deltaCache.Parts(current, w.sentIndex, w.to, w.part, w.unpacks, c.options.Clock.Now())
	if err != nil {
		c.options.EventLog.Record(event.DeltaFailed, vm, fmt.Sprintf("from index %d: %s", w.sentIndex, err))
		return
	}
	underWay := w.part > 0 && w.to == current.Index()
	if large && (w.brief || !underWay && !c.acquireLargeDelta(w)) {
		parts = []*wire.Delta{{From: w.sentIndex, To: w.sentIndex}}
	}
	for _, part := range parts {
		c.sendPart(vm, w, part)
	}
	if to := parts[len(parts)-1].GetTo(); !large && to > w.sentIndex {
		if w.sentIndex == w.index {
			w.underWaySince = c.options.Clock.Now()
		}
		w.sentIndex = to
	}
}

// sendPart sends a part of a delta, or only what comes with each.
func (c *Control) sendPart(vm string, w *watcher, part *wire.Delta) {
	c.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_Delta{Delta: c.withFleetInfo(part, vm, w)}})
}

// withFleetInfo returns a copy of part with the beacon, the leader, peers and control
// VMs.
func (c *Control) withFleetInfo(part *wire.Delta, vm string, w *watcher) *wire.Delta {
	return &wire.Delta{
		From: part.GetFrom(), To: part.GetTo(), RemovalsSince: part.GetRemovalsSince(),
		Objects: part.GetObjects(), Packed: part.GetPacked(), More: part.GetMore(), Part: part.GetPart(),
		Digest: part.GetDigest(),
		Beacon: c.beaconFor(w), Leader: c.leaderVM(*c.status.Load()),
		Peers: c.missingPeers(vm, w), Controls: c.newControls(w),
	}
}

// acquireLargeDelta reports whether a large delta slot is free, and reserves it.
func (c *Control) acquireLargeDelta(w *watcher) bool {
	now := c.options.Clock.Now()
	busy := 0
	for _, other := range c.watchers {
		if other != w && other.receivesLargeDelta(now) {
			busy++
		}
	}
	if busy >= maxLargeDeltas {
		return false
	}
	w.largeDeltaAt = now
	return true
}

// beaconFor returns the leader's beacon, with the state that the leader has now, or nil while
// leadership has not been confirmed since the entry started. The entry takes the beacon as evidence
// that nothing newer than its state is accepted.
func (c *Control) beaconFor(w *watcher) *wire.Beacon {
	if c.beacon == nil || !c.isStartConfirmed(w) {
		return nil
	}
	s := c.Ledger().State()
	return &wire.Beacon{Term: c.beacon.GetTerm(), Seq: c.beacon.GetSeq(), Index: s.Index(), Digest: s.Digest()}
}

// isStartConfirmed reports whether a read that was issued after the entry's start is confirmed.
func (c *Control) isStartConfirmed(w *watcher) bool { return c.confirmedToken > w.startToken }

// confirmStart lets an entry that has started wait for a read. Entries that start within a tick share
// one, which a later tick repeats if it is lost.
func (c *Control) confirmStart(w *watcher, now time.Time) {
	if !c.isStartConfirmed(w) && c.status.Load().Role == quorum.Leader {
		c.startsUnconfirmed = true
		c.readForStarts(now)
	}
}

// readForStarts issues the read that entries which have started wait for, once a tick at most.
func (c *Control) readForStarts(now time.Time) {
	if now.Sub(c.lastStartRead) < tickPeriod {
		return
	}
	if _, err := c.issueRead(); err == nil {
		c.lastStartRead = now
	}
}

// sendBeaconToStarted sends the beacon to the entries that waited for a confirmed read.
func (c *Control) sendBeaconToStarted(previousToken uint64) {
	if !c.startsUnconfirmed {
		return
	}
	c.startsUnconfirmed = false
	now := c.options.Clock.Now()
	for vm, w := range c.watchers {
		switch {
		case !c.isStartConfirmed(w):
			c.startsUnconfirmed = true
		case w.startToken >= previousToken && w.present(now):
			c.sendPart(vm, w, &wire.Delta{From: w.sentIndex, To: w.sentIndex})
		}
	}
}

// tickWatchers pushes scheduled changes, renews the leader's beacon and removes entries that
// went silent.
func (c *Control) tickWatchers(now time.Time) {
	if c.pushScheduled {
		c.schedulePush(now)
	}
	c.noteDelivered(now)
	c.presentEntries = 0
	for vm, w := range c.watchers {
		if now.Sub(w.lastHeard) > watcherTimeout {
			delete(c.watchers, vm)
		}
		if w.present(now) {
			c.presentEntries++
		}
	}
	if c.status.Load().Role != quorum.Leader {
		c.beacon = nil
		return
	}
	if c.startsUnconfirmed {
		c.readForStarts(now)
	}
	if now.Sub(c.lastBeacon) < beaconPeriod {
		return
	}
	// A leader that has committed nothing yet cannot confirm a read. Entries do not serve
	// before the first beacon, so the next tick tries again.
	if token, err := c.issueRead(); err == nil {
		c.lastBeacon, c.beaconToken = now, token
	}
}

// renewBeacon renews the leader's beacon with a committed entry of its own term: a majority has
// just followed this leader. After an election entries need not wait for another round then.
func (c *Control) renewBeacon(committed quorum.Entry, now time.Time) {
	if now.Sub(c.lastBeacon) < beaconPeriod {
		return
	}
	s := c.node.Status()
	if s.Role != quorum.Leader || committed.Term != s.Term {
		return
	}
	c.readToken++
	c.lastBeacon = now
	c.setBeacon(quorum.ConfirmedRead{Term: s.Term, Token: c.readToken})
}

// setBeacon stores a beacon that proves recent leadership. Watchers receive it with
// the next delta, which adds the state.
func (c *Control) setBeacon(r quorum.ConfirmedRead) {
	c.beacon = &wire.Beacon{Term: r.Term, Seq: r.Token}
}
