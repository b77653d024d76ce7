package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// tickPeriod is the time between two signs of life to a neighbour.
	tickPeriod = 500 * time.Millisecond
	// silenceLimit is the silence after which a neighbour is suspected.
	silenceLimit = 1600 * time.Millisecond
	// suspectLimit is the time that a suspected member has to object.
	suspectLimit = 2 * time.Second
	// pauseLimit is the time between two ticks after which this process has
	// been paused itself and cannot judge others.
	pauseLimit = 1500 * time.Millisecond
	// sumsEvery is the number of ticks between two comparisons with a neighbour.
	sumsEvery = 4
	// askEvery is the number of ticks after which an entry without neighbours
	// asks its seeds again.
	askEvery = 2
)

// gossip is a message of the core.
type gossip struct {
	items []Item
	index uint64
	sums  []uint64
	want  []uint32
}

// outgoing is a message and its receiver.
type outgoing struct {
	to      string
	message gossip
}

// effects is what the rim has to do.
type effects struct {
	send    []outgoing
	changed []Item
}

// core is the membership and the spreading of items, without input or output.
type core struct {
	self    Member
	index   uint64
	seeds   []string
	board   *board
	members map[string]Member
	suspect map[string]time.Time

	neighbours map[string]*neighbour
	ticks      uint64
	lastTick   time.Time
	pending    map[string][]Item
	out        effects
	// changed says that members have come or gone since neighbours were chosen.
	changed bool
	now     time.Time
}

// neighbour is what is known of a member beside this one.
type neighbour struct {
	heard time.Time
	index uint64
}

func newCore(self Member, seeds []string, now time.Time) *core {
	c := &core{
		self:       self,
		seeds:      seeds,
		board:      newBoard(),
		members:    make(map[string]Member),
		suspect:    make(map[string]time.Time),
		neighbours: make(map[string]*neighbour),
		pending:    make(map[string][]Item),
		lastTick:   now,
	}
	c.put(self.item(), "", now)
	return c
}

// effects returns what is to be done since the last call.
func (c *core) effects() effects {
	if c.changed {
		c.changed = false
		c.arrange(c.now)
	}
	for to, items := range c.pending {
		c.out.send = append(c.out.send, outgoing{to, gossip{items: items, index: c.index}})
	}
	clear(c.pending)
	out := c.out
	c.out = effects{}
	return out
}

// put takes an item that is new, spreads it and reports whether it was new.
func (c *core) put(item Item, from string, now time.Time) bool {
	c.now = now
	if !c.board.put(item, now) {
		return false
	}
	if item.Key.Kind == KindMember {
		c.noteMember(item, now)
	}
	for vm := range c.neighbours {
		if vm != from {
			c.pending[vm] = append(c.pending[vm], item)
		}
	}
	c.out.changed = append(c.out.changed, item)
	return true
}

// addSeed learns of an entry, and asks it for the others if it is no member yet: it may
// belong to a part of the fleet that this one has not met.
func (c *core) addSeed(vm string) {
	if !slices.Contains(c.seeds, vm) {
		c.seeds = append(c.seeds, vm)
	}
	if _, member := c.members[vm]; !member {
		c.askSeed(vm)
	}
}

func (c *core) askSeed(vm string) {
	c.reply(vm, gossip{items: []Item{c.self.item()}, index: c.index, sums: slices.Clone(c.board.sums[:])})
}

// setIndex notes which configuration this entry holds. Its first one is told to the
// neighbours at once: they may be waiting for theirs.
func (c *core) setIndex(index uint64) {
	first := c.index == 0 && index > 0
	c.index = index
	if !first {
		return
	}
	for vm := range c.neighbours {
		c.reply(vm, gossip{index: index})
	}
}

// receive handles a message of another entry.
func (c *core) receive(from string, g gossip, now time.Time) {
	if n, ok := c.neighbours[from]; ok {
		n.heard = now
		n.index = g.index
	}
	for _, item := range g.items {
		c.put(item, from, now)
	}
	if len(g.want) > 0 {
		c.reply(from, gossip{items: c.board.inBuckets(g.want), index: c.index})
	}
	if differing := c.board.differing(g.sums); len(differing) > 0 {
		c.reply(from, gossip{items: c.board.inBuckets(differing), index: c.index, want: differing})
	}
}

func (c *core) reply(to string, g gossip) {
	c.out.send = append(c.out.send, outgoing{to, g})
}

// noteMember learns of a member's condition, and objects to a false one of
// this member.
func (c *core) noteMember(item Item, now time.Time) {
	m, ok := memberOf(item)
	if !ok {
		return
	}
	if m.VM == c.self.VM {
		c.defend(m, now)
		return
	}
	_, known := c.members[m.VM]
	delete(c.suspect, m.VM)
	if m.Condition == Suspect {
		c.suspect[m.VM] = now
	}
	if m.Active() {
		c.members[m.VM] = m
	} else {
		delete(c.members, m.VM)
	}
	c.changed = c.changed || known != m.Active()
}

// defend answers a statement about this member that it did not make.
func (c *core) defend(m Member, now time.Time) {
	if m.Boot == c.self.Boot && m.Incarnation == c.self.Incarnation && m.Condition == c.self.Condition {
		c.members[m.VM] = c.self
		c.changed = true
		return
	}
	c.self.Boot = max(c.self.Boot, m.Boot)
	c.self.Incarnation = m.Incarnation + 1
	c.put(c.self.item(), "", now)
}

// arrange makes the neighbours match the members.
func (c *core) arrange(now time.Time) {
	vms := c.vms()
	next := neighboursOf(c.self.VM, vms)
	for vm := range c.neighbours {
		if !slices.Contains(next, vm) {
			delete(c.neighbours, vm)
			delete(c.pending, vm)
		}
	}
	for _, vm := range next {
		if c.neighbours[vm] == nil {
			c.neighbours[vm] = &neighbour{heard: now}
			c.reply(vm, gossip{index: c.index, sums: slices.Clone(c.board.sums[:])})
		}
	}
}

// vms returns the names of all members that take part, in order.
func (c *core) vms() []string {
	return slices.Sorted(maps.Keys(c.members))
}

// tick sends signs of life and judges silent neighbours.
func (c *core) tick(now time.Time) {
	c.ticks++
	paused := now.Sub(c.lastTick) > pauseLimit
	c.lastTick = now
	if paused {
		for _, n := range c.neighbours {
			n.heard = now
		}
		for vm := range c.suspect {
			c.suspect[vm] = now
		}
	}
	c.judge(now)
	c.greet()
	c.board.expire(now)
}

// greet sends every neighbour a sign of life, and one of them the sums.
func (c *core) greet() {
	if len(c.neighbours) == 0 && c.ticks%askEvery == 1 {
		for _, seed := range c.seeds {
			c.askSeed(seed)
		}
		return
	}
	compare := c.compareWith()
	for vm := range c.neighbours {
		g := gossip{items: c.pending[vm], index: c.index}
		delete(c.pending, vm)
		if vm == compare {
			g.sums = slices.Clone(c.board.sums[:])
		}
		c.reply(vm, g)
	}
}

// compareWith returns the neighbour whose items are compared at this tick, if any.
func (c *core) compareWith() string {
	if c.ticks%sumsEvery != 0 || len(c.neighbours) == 0 {
		return ""
	}
	list := slices.Sorted(maps.Keys(c.neighbours))
	return list[int(c.ticks/sumsEvery)%len(list)]
}

// judge suspects silent neighbours, and gives up suspects that did not object.
func (c *core) judge(now time.Time) {
	for _, vm := range slices.Sorted(maps.Keys(c.neighbours)) {
		n, m := c.neighbours[vm], c.members[vm]
		if n != nil && m.Condition == Alive && now.Sub(n.heard) > silenceLimit {
			c.put(m.WithCondition(Suspect).item(), "", now)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(c.suspect)) {
		since, ok := c.suspect[vm]
		if ok && now.Sub(since) > suspectLimit {
			c.put(c.members[vm].WithCondition(Dead).item(), "", now)
		}
	}
}

// leave says that this member goes on purpose.
func (c *core) leave(now time.Time) {
	c.self = c.self.WithCondition(Left)
	c.board.put(c.self.item(), now)
	for vm := range c.neighbours {
		c.pending[vm] = append(c.pending[vm], c.self.item())
	}
}
