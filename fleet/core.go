package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// tickInterval is the interval between heartbeats to a neighbour.
	tickInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time without a message after which a neighbour is
	// suspected.
	heartbeatTimeout = 1600 * time.Millisecond
	// suspicionTimeout is the time that a suspected member has to refute the suspicion.
	suspicionTimeout = 2 * time.Second
	// maxTickGap is the gap between two ticks above which this process was itself
	// paused, so that missing messages say nothing about its neighbours.
	maxTickGap = 1500 * time.Millisecond
	// antiEntropyTicks is the number of ticks between two checksum comparisons with a
	// neighbour.
	antiEntropyTicks = 4
	// flushInterval is the shortest time between two messages with new items to a neighbour.
	// While hundreds of members join within a second, what arrives meanwhile is sent together;
	// an item after a pause is passed on at once.
	flushInterval = 50 * time.Millisecond
	// choiceIntervalPerMember is what the shortest time between two choices of neighbours grows
	// by with each member. New neighbours exchange all items that one of them lacks, which is
	// most of them while the fleet starts.
	choiceIntervalPerMember = time.Millisecond
	// seedInterval is the shortest time between two contacts with new seeds while there are neighbours.
	seedInterval = time.Second
	// seedRetryTicks is the number of ticks after which an entry without neighbours
	// contacts its seeds again.
	seedRetryTicks = 2
)

// gossip is a message between two cores. Checksums are those of the sender's buckets,
// and want lists the buckets whose items the sender requests.
type gossip struct {
	items     []Item
	index     uint64
	checksums []uint64
	want      []uint32
}

// outgoing is a message with its receiver.
type outgoing struct {
	to      string
	message gossip
}

// effects are the messages to send and the changed items to publish after a step. If
// deferred is set, more messages are due flushInterval later.
type effects struct {
	send     []outgoing
	changed  []Item
	deferred bool
}

// core is the membership and gossip protocol as a state machine that performs no
// input or output, so that tests run it with simulated time and messages.
type core struct {
	self        Member
	stateIndex  uint64
	seeds       []string
	store       *store
	members     map[string]Member
	suspectedAt map[string]time.Time

	neighbours map[string]*neighbour
	ticks      uint64
	lastTick   time.Time
	// pending holds the items to be sent to each neighbour.
	pending map[string][]Item
	// sent counts the items that were sent, by kind.
	sent   map[Kind]ItemTraffic
	queued effects
	// exchangeBudget is the number of items that may be sent because checksums differ, as of budgetAt.
	exchangeBudget float64
	budgetAt       time.Time
	// seedContactedAt is when a new seed was last contacted.
	seedContactedAt time.Time
	// membersChanged is set if members joined or left since neighbours were chosen, at
	// neighboursChosenAt.
	membersChanged     bool
	neighboursChosenAt time.Time
}

// neighbour is the state that is kept for a neighbouring member.
type neighbour struct {
	lastHeard  time.Time
	stateIndex uint64
	// flooded is set if new items are passed on to the neighbour.
	flooded bool
	// compare is set until the checksums have been sent to a new neighbour.
	compare bool
	// flushedAt is when the neighbour was last sent new items.
	flushedAt time.Time
}

func newCore(self Member, seeds []string, now time.Time) *core {
	c := &core{
		self:        self,
		seeds:       seeds,
		store:       newStore(),
		members:     make(map[string]Member),
		suspectedAt: make(map[string]time.Time),
		neighbours:  make(map[string]*neighbour),
		pending:     make(map[string][]Item),
		sent:        make(map[Kind]ItemTraffic),
		lastTick:    now,

		exchangeBudget: exchangeBurst,
		budgetAt:       now,
	}
	c.put(self.item(), "", now)
	return c
}

// effects returns the effects that have accumulated since the last call.
func (c *core) effects(now time.Time) effects {
	deferred := false
	if c.membersChanged {
		interval := max(flushInterval, time.Duration(len(c.members))*choiceIntervalPerMember)
		if len(c.neighbours) == 0 || now.Sub(c.neighboursChosenAt) >= interval {
			c.membersChanged = false
			c.neighboursChosenAt = now
			c.updateNeighbours(now)
		} else {
			deferred = true
		}
	}
	for to, items := range c.pending {
		n := c.neighbours[to]
		if n != nil && now.Sub(n.flushedAt) < flushInterval {
			deferred = true
			continue
		}
		if n != nil {
			n.flushedAt = now
		}
		c.queued.send = append(c.queued.send, outgoing{to, gossip{items: items, index: c.stateIndex}})
		delete(c.pending, to)
	}
	out := c.queued
	out.deferred = deferred
	c.countSent(out.send)
	c.queued = effects{}
	return out
}

// countSent counts the items of messages.
func (c *core) countSent(messages []outgoing) {
	for _, o := range messages {
		for _, item := range o.message.items {
			t := c.sent[item.Key.Kind]
			t.Items++
			t.Bytes += uint64(len(item.Key.Name) + len(item.Body))
			c.sent[item.Key.Kind] = t
		}
	}
}

// put stores an item and passes it on to all neighbours but the sender, if it is new.
// It reports whether it was new.
func (c *core) put(item Item, from string, now time.Time) bool {
	if !c.store.put(item, now) {
		return false
	}
	if item.Key.Kind == KindMember {
		c.applyMember(item, now)
	}
	for vm, n := range c.neighbours {
		if n.flooded && vm != from {
			c.pending[vm] = append(c.pending[vm], item)
		}
	}
	c.queued.changed = append(c.queued.changed, item)
	return true
}

// addSeed adds a seed, and contacts it if it is not a member: it may belong to a part of
// the fleet with which this entry has had no contact. While hundreds of entries start it is one
// that neighbours will tell of, so one is contacted at a time.
func (c *core) addSeed(vm string, now time.Time) {
	if !slices.Contains(c.seeds, vm) {
		c.seeds = append(c.seeds, vm)
	}
	_, member := c.members[vm]
	if member || len(c.neighbours) > 0 && now.Sub(c.seedContactedAt) < seedInterval {
		return
	}
	c.seedContactedAt = now
	c.contactSeed(vm)
}

// contactSeed sends a seed this member's record and the checksums, which the seed answers
// with the items that differ.
func (c *core) contactSeed(vm string) {
	c.reply(vm, gossip{items: []Item{c.self.item()}, index: c.stateIndex, checksums: slices.Clone(c.store.checksums[:])})
}

// setStateIndex sets the index of the configuration that this entry holds. The first
// one is sent to the neighbours at once, as they may have none yet.
func (c *core) setStateIndex(index uint64) {
	isFirst := c.stateIndex == 0 && index > 0
	c.stateIndex = index
	if !isFirst {
		return
	}
	for vm := range c.neighbours {
		c.reply(vm, gossip{index: index})
	}
}

// receive handles a message from another entry.
func (c *core) receive(from string, g gossip, now time.Time) {
	if n, ok := c.neighbours[from]; ok {
		n.lastHeard = now
		n.stateIndex = g.index
	}
	for _, item := range g.items {
		c.put(item, from, now)
	}
	if len(g.want) > 0 {
		items := c.store.itemsInBuckets(g.want)
		c.spend(items)
		c.reply(from, gossip{items: items, index: c.stateIndex})
	}
	if differing := c.store.differingBuckets(g.checksums); len(differing) > 0 {
		c.exchange(from, differing, now)
	}
}

func (c *core) reply(to string, g gossip) {
	c.queued.send = append(c.queued.send, outgoing{to, g})
}

// applyMember updates the members from an item, and refutes a wrong record of this
// member.
func (c *core) applyMember(item Item, now time.Time) {
	m, ok := decodeMember(item)
	if !ok {
		return
	}
	if m.VM == c.self.VM {
		c.refute(m, now)
		return
	}
	_, known := c.members[m.VM]
	delete(c.suspectedAt, m.VM)
	if m.Condition == Suspect {
		c.suspectedAt[m.VM] = now
	}
	if m.Active() {
		c.members[m.VM] = m
	} else {
		delete(c.members, m.VM)
	}
	c.membersChanged = c.membersChanged || known != m.Active()
}

// refute overrides a record of this member that it did not publish itself, by publishing
// one with a higher incarnation.
func (c *core) refute(m Member, now time.Time) {
	if m.Boot == c.self.Boot && m.Incarnation == c.self.Incarnation && m.Condition == c.self.Condition {
		c.members[m.VM] = c.self
		c.membersChanged = true
		return
	}
	c.self.Boot = max(c.self.Boot, m.Boot)
	c.self.Incarnation = m.Incarnation + 1
	c.put(c.self.item(), "", now)
}

// updateNeighbours recomputes the neighbours from the members.
func (c *core) updateNeighbours(now time.Time) {
	vms := c.vms()
	next, flooded := neighboursOf(c.self.VM, vms)
	for vm := range c.neighbours {
		if !slices.Contains(next, vm) {
			delete(c.neighbours, vm)
			delete(c.pending, vm)
		}
	}
	isFirst := len(c.neighbours) == 0
	for _, vm := range next {
		if c.neighbours[vm] == nil {
			c.neighbours[vm] = &neighbour{lastHeard: now, compare: !isFirst}
			g := gossip{index: c.stateIndex}
			if isFirst {
				g.checksums = slices.Clone(c.store.checksums[:])
				isFirst = false
			}
			c.reply(vm, g)
		}
		c.neighbours[vm].flooded = slices.Contains(flooded, vm)
	}
}

// vms returns the sorted names of all active members.
func (c *core) vms() []string {
	return slices.Sorted(maps.Keys(c.members))
}

// tick sends heartbeats, runs the failure detector and deletes old tombstones.
func (c *core) tick(now time.Time) {
	c.ticks++
	paused := now.Sub(c.lastTick) > maxTickGap
	c.lastTick = now
	if paused {
		for _, n := range c.neighbours {
			n.lastHeard = now
		}
		for vm := range c.suspectedAt {
			c.suspectedAt[vm] = now
		}
	}
	c.detectFailures(now)
	c.sendHeartbeats(now)
	c.store.expire(now)
}

// sendHeartbeats sends a heartbeat to every neighbour, with the checksums to the one
// chosen for anti-entropy. Without neighbours it contacts the seeds.
func (c *core) sendHeartbeats(now time.Time) {
	if len(c.neighbours) == 0 && c.ticks%seedRetryTicks == 1 {
		for _, seed := range c.seeds {
			c.contactSeed(seed)
		}
		return
	}
	peer := c.antiEntropyPeer()
	for vm, n := range c.neighbours {
		if vm != peer && len(c.pending[vm]) == 0 && now.Sub(n.flushedAt) < tickInterval {
			continue // the items that were sent meanwhile are a sign of life as well
		}
		g := gossip{items: c.pending[vm], index: c.stateIndex}
		delete(c.pending, vm)
		if vm == peer {
			g.checksums = slices.Clone(c.store.checksums[:])
		}
		c.reply(vm, g)
	}
}

// antiEntropyPeer returns the neighbour to compare checksums with at this tick, if any: new
// ones first, one at a tick. While a fleet starts, neighbours differ in nearly all items and
// change often, and what they lack is on its way.
func (c *core) antiEntropyPeer() string {
	vms := slices.Sorted(maps.Keys(c.neighbours))
	for _, vm := range vms {
		if c.neighbours[vm].compare {
			c.neighbours[vm].compare = false
			return vm
		}
	}
	if c.ticks%antiEntropyTicks != 0 || len(vms) == 0 {
		return ""
	}
	return vms[int(c.ticks/antiEntropyTicks)%len(vms)]
}

// detectFailures suspects neighbours whose heartbeats are overdue, and declares suspects
// dead that did not refute the suspicion in time.
func (c *core) detectFailures(now time.Time) {
	for _, vm := range slices.Sorted(maps.Keys(c.neighbours)) {
		n, m := c.neighbours[vm], c.members[vm]
		if n != nil && m.Condition == Alive && now.Sub(n.lastHeard) > heartbeatTimeout {
			c.put(m.WithCondition(Suspect).item(), "", now)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(c.suspectedAt)) {
		since, ok := c.suspectedAt[vm]
		if ok && now.Sub(since) > suspicionTimeout {
			c.put(c.members[vm].WithCondition(Dead).item(), "", now)
		}
	}
}

// leave announces to the neighbours that this member leaves the fleet.
func (c *core) leave(now time.Time) {
	c.self = c.self.WithCondition(Left)
	c.store.put(c.self.item(), now)
	for vm := range c.neighbours {
		c.pending[vm] = append(c.pending[vm], c.self.item())
	}
}
