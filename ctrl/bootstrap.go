package ctrl

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/wire"
)

// tickBootstrap forms a new group or searches for an existing one to join. A
// replica with a blank data folder forms a group only after every founder has
// reported that it has none either. A replica that lost its disk therefore never
// votes with an empty log: the others already have a group, and the replica waits
// to be added under its new identity.
func (c *Control) tickBootstrap(now time.Time) {
	if c.identity.IsMember && !c.lostLeader(now) {
		return
	}
	if !c.identity.IsMember {
		c.bootstrapReplies[c.options.VM] = bootstrapReply{c.foundMessage(false), now}
	}
	for _, to := range c.bootstrapPeers() {
		if _, heard := c.bootstrapReplies[to]; !heard || c.selfManaged() {
			c.sendFound(to, true)
		}
	}
	if c.identity.IsMember || !c.mayFound() {
		return
	}
	missing := c.missingFounders(now)
	if len(missing) > 0 {
		c.foundersSince = time.Time{}
	} else if c.foundersSince.IsZero() {
		c.foundersSince = now
	}
	if len(missing) == 0 && c.isCoordinator(now) {
		missing = c.bootstrapGroup(now)
	}
	c.recordMissing(missing)
}

// foundReportTimeout is far more than the ticks at which replicas ask each other, so that
// a report is of the disk that its VM has now.
const foundReportTimeout = time.Second

// bootstrapReply is the report of a control VM that it has no group.
type bootstrapReply struct {
	*wire.Found
	at time.Time
}

func (r bootstrapReply) recent(now time.Time) bool { return now.Sub(r.at) <= foundReportTimeout }

// isCoordinator reports whether this replica chooses the members of a self-managed group: of the
// founders that may form it, the one with the lowest address. Two founders might choose others.
func (c *Control) isCoordinator(now time.Time) bool {
	if !c.isCoordinated(now) {
		return true
	}
	for _, m := range c.bootstrapReplies {
		addr, err := netip.ParseAddrPort(m.GetAddr())
		if err == nil && m.recent(now) && m.GetMayFound() && addr.Compare(c.options.Advertise) < 0 {
			return false
		}
	}
	return true
}

// isCoordinated reports whether one founder chooses the members of the first group. While one of
// them has a version that forms it of the founders alone, all do.
func (c *Control) isCoordinated(now time.Time) bool {
	if !c.selfManaged() {
		return false
	}
	for vm, m := range c.bootstrapReplies {
		if m.recent(now) && c.isFounder(vm, m.Found) && !m.GetCoordinated() {
			return false
		}
	}
	return true
}

// recordMissing logs which founders the first group waits for, once for each change.
func (c *Control) recordMissing(missing []string) {
	c.foundersMissing.Store(int64(len(missing)))
	text := strings.Join(missing, " ")
	if text != "" && text != c.lastMissing {
		c.options.EventLog.Record(event.FoundingWaits, c.options.VM, "no report yet from "+text)
	}
	c.lastMissing = text
}

// leaderTimeout is the time without a leader after which a member checks whether it
// is still in the group.
const leaderTimeout = 2 * time.Second

// lostLeader reports whether this member of a self-managed group has known no
// leader for leaderTimeout. It may have been replaced while it was offline.
func (c *Control) lostLeader(now time.Time) bool {
	if c.status.Load().Leader != 0 {
		c.lastLeader = now
	}
	return c.selfManaged() && now.Sub(c.lastLeader) > leaderTimeout
}

// bootstrapPeers returns the peers to ask for a group: VM names, or addresses of
// VMs whose names are not known yet.
func (c *Control) bootstrapPeers() []string {
	if !c.selfManaged() {
		return c.options.Replicas.Names()
	}
	var peers []string
	known := make(map[string]bool)
	for _, g := range []quorum.Group{*c.remoteGroup.Load(), c.node.Status().Group} {
		for _, r := range g.Replicas() {
			if !known[r.Addr] {
				known[r.Addr] = true
				peers = append(peers, r.VM)
			}
		}
	}
	for _, seed := range c.seeds {
		if !known[seed.String()] && seed != c.options.Advertise {
			peers = append(peers, seed.String())
		}
	}
	return peers
}

// SetSeeds replaces the addresses of control VMs that are asked for a group. It does
// not change the founders of the first start.
func (c *Control) SetSeeds(seeds []netip.AddrPort) {
	c.enqueue(func() { c.seeds = seeds })
}

// missingFounderCount returns the number of founders that the first group waits for, 0 once this
// replica is in a group.
func (c *Control) missingFounderCount() float64 {
	s := c.status.Load()
	if _, member := s.Group.Get(s.ID); member {
		return 0
	}
	return float64(c.foundersMissing.Load())
}

// missingFounders returns the founders that have not reported yet that they have no group:
// their addresses in a self-managed group, and their names otherwise.
func (c *Control) missingFounders(now time.Time) []string {
	var missing []string
	if !c.selfManaged() {
		for _, vm := range c.options.Replicas.Names() {
			if _, heard := c.bootstrapReplies[vm]; !heard {
				missing = append(missing, vm)
			}
		}
		return missing
	}
	replies := slices.Collect(maps.Values(c.bootstrapReplies))
	for _, seed := range c.options.Seeds {
		reported := func(m bootstrapReply) bool { return m.recent(now) && m.GetAddr() == seed.String() }
		if !slices.ContainsFunc(replies, reported) {
			missing = append(missing, seed.String())
		}
	}
	return missing
}

// mayFound reports whether this replica may form the first group. A founder of a self-managed
// group that was restarted before there was one still may, though it has the settings of a
// restart by then.
func (c *Control) mayFound() bool {
	if !c.selfManaged() {
		return true
	}
	return (c.options.Bootstrap || c.identity.MayFound) && slices.Contains(c.options.Seeds, c.options.Advertise)
}

// isFounder reports whether a replica may be in the initial group.
func (c *Control) isFounder(vm string, m *wire.Found) bool {
	if !c.selfManaged() {
		_, ok := c.options.Replicas[vm]
		return ok
	}
	addr, err := netip.ParseAddrPort(m.GetAddr())
	return err == nil && c.mayFound() && slices.Contains(c.options.Seeds, addr)
}

func (c *Control) sendFound(vm string, ask bool) {
	if vm == c.options.VM {
		return
	}
	c.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_Found{Found: c.foundMessage(ask)}})
}

func (c *Control) foundMessage(ask bool) *wire.Found {
	return &wire.Found{
		Id: uint64(c.identity.ID), Vm: c.options.VM, Ask: ask, Addr: c.options.Advertise.String(),
		Replicas: quorum.GroupToWire(c.node.Status().Group), MayFound: c.mayFound(), Coordinated: true,
	}
}

// handleFound processes another control VM's report of its group.
func (c *Control) handleFound(from string, m *wire.Found) {
	if m.GetVm() != from {
		return
	}
	if addr, err := netip.ParseAddrPort(m.GetAddr()); err == nil && c.selfManaged() {
		c.transport.SetPeer(from, addr)
	}
	if m.GetAsk() {
		c.recordJoining(from, m)
		c.sendFound(from, false)
	}
	group := quorum.GroupFromWire(m.GetReplicas())
	_, named := group.Get(c.identity.ID)
	if group.Len() > 0 && !named {
		c.setRemoteGroup(group)
	}
	founder := c.isFounder(from, m)
	if c.identity.IsMember || !founder && !c.selfManaged() {
		return
	}
	if group.Len() > 0 {
		delete(c.bootstrapReplies, from)
	}
	switch {
	case group.Len() == 0 && (founder || c.tracksReply(from)):
		c.bootstrapReplies[from] = bootstrapReply{m, c.options.Clock.Now()}
	case group.Len() > 0 && named && c.canAdopt(group):
		c.adoptGroup(group)
	case group.Len() > 0 && !named:
		c.setJoinError(group)
	}
}

// canAdopt reports whether this replica may start from a reported group that names it. A
// self-managed group names a replica with an empty log as a voter only if it was founded with
// it; others receive the group through the log. It is the same replica whatever its settings say
// by now: a lost disk loses the identity as well.
func (c *Control) canAdopt(g quorum.Group) bool {
	return !c.selfManaged() || g.IsVoter(c.identity.ID)
}

// setRemoteGroup stores a group that this replica is not a member of.
func (c *Control) setRemoteGroup(g quorum.Group) {
	c.remoteGroup.Store(&g)
	c.setPeers(g)
}

// setJoinError records that a group without this replica exists, and the command
// that adds it.
func (c *Control) setJoinError(g quorum.Group) {
	reason := fmt.Sprintf("control group (%s) has no replica with this identity: run \"dottereldeal replica add %s\"", g, c.options.VM)
	if old, ok := g.ByVM(c.options.VM); ok {
		reason = fmt.Sprintf("control group has VM %s under identity %s, but this data folder is new: run \"dottereldeal replica replace %s\"",
			c.options.VM, formatID(old.ID), c.options.VM)
	}
	c.joinError.Store(&reason)
}

// maxJoining limits the number of joining replicas that are tracked.
const maxJoining = 16

// recordJoining stores a replica that is not a member, so that it can be added.
func (c *Control) recordJoining(vm string, m *wire.Found) {
	if _, known := c.joining[vm]; !known && len(c.joining) >= maxJoining {
		return
	}
	c.joining[vm] = joiningReplica{ID: quorum.ID(m.GetId()), VM: vm, Addr: m.GetAddr(), lastHeard: c.options.Clock.Now()}
}

// joiningReplica is a replica that is not a member and asks to join.
type joiningReplica struct {
	ID        quorum.ID
	VM        string
	Addr      string
	lastHeard time.Time
}

func (r joiningReplica) replica() quorum.Replica {
	return quorum.Replica{ID: r.ID, VM: r.VM, Addr: r.Addr}
}

// tracksReply reports whether the report of a control VM that is no founder is stored.
func (c *Control) tracksReply(vm string) bool {
	_, known := c.bootstrapReplies[vm]
	return c.selfManaged() && (known || len(c.bootstrapReplies) < maxJoining)
}

// otherControlVM stands for a control VM beside the founders in the log of what a founding waits for.
const otherControlVM = "another-control-vm"

// bootstrapGroup forms a group of all founders that have reported. It waits for a time for other
// control VMs, and returns for whom, so that the group has its full size from the beginning: a group
// of the founders alone stands still for good if a majority of them loses its disks.
func (c *Control) bootstrapGroup(now time.Time) (missing []string) {
	var founders, others []quorum.Replica
	for vm, m := range c.bootstrapReplies {
		r := quorum.Replica{ID: quorum.ID(m.GetId()), VM: m.GetVm(), Addr: m.GetAddr()}
		switch {
		case c.selfManaged() && !m.recent(now):
		case c.isFounder(vm, m.Found):
			founders = append(founders, r)
		default:
			others = append(others, r)
		}
	}
	wanted := 0
	if c.isCoordinated(now) {
		wanted = max(0, c.options.fullSize()-len(founders))
	}
	if len(others) < wanted && now.Sub(c.foundersSince) < foundingTimeout {
		return slices.Repeat([]string{otherControlVM}, wanted-len(others))
	}
	slices.SortFunc(others, func(a, b quorum.Replica) int { return strings.Compare(a.VM, b.VM) })
	c.adoptGroup(quorum.NewGroup(append(founders, others[:min(wanted, len(others))]...)...))
	return nil
}

// adoptGroup makes this replica a founding member of a group.
func (c *Control) adoptGroup(g quorum.Group) {
	if c.node.Status().LastIndex > 0 {
		return
	}
	next := store.Identity{ID: c.identity.ID, VM: c.identity.VM, Founders: g, IsMember: true}
	if err := store.SaveIdentity(c.folder, next); err != nil {
		return
	}
	node, err := c.newNode(quorum.PersistedState{HardState: c.hardState, Snapshot: quorum.Snapshot{Group: g}})
	if err != nil {
		return
	}
	if c.isCoordinated(c.options.Clock.Now()) && g.VoterCount() < c.options.fullSize() {
		c.groupSince = c.options.Clock.Now().Add(-formationTimeout) // the founders have waited
	}
	c.identity, c.node = next, node
	c.setPeers(g)
	for _, r := range g.Replicas() {
		c.sendFound(r.VM, false)
	}
	c.options.EventLog.Record(event.ReplicaAdded, g.String(), "founded")
}

// saveMembership records in the data folder that this replica has joined a group.
func (c *Control) saveMembership() error {
	if c.identity.IsMember {
		return nil
	}
	if _, ok := c.node.Status().Group.Get(c.identity.ID); !ok {
		return nil
	}
	next := c.identity
	next.IsMember = true
	if err := store.SaveIdentity(c.folder, next); err != nil {
		return err
	}
	c.identity = next
	c.options.EventLog.Record(event.ReplicaAdded, c.options.VM, "joined as "+formatID(next.ID))
	return nil
}

// formatID returns an identity in the notation of logs and the operators' interface.
func formatID(id quorum.ID) string { return fmt.Sprintf("%016x", uint64(id)) }
