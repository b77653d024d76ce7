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
		c.bootstrapReplies[c.options.VM] = c.foundMessage(false)
	}
	for _, to := range c.bootstrapPeers() {
		if _, heard := c.bootstrapReplies[to]; !heard || c.selfManaged() {
			c.sendFound(to, true)
		}
	}
	if c.identity.IsMember || !c.mayFound() {
		return
	}
	missing := c.missingFounders()
	if len(missing) == 0 {
		c.bootstrapGroup()
	}
	c.recordMissing(missing)
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
func (c *Control) missingFounders() []string {
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
		reported := func(m *wire.Found) bool { return m.GetAddr() == seed.String() }
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
		Replicas: quorum.GroupToWire(c.node.Status().Group),
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
	switch {
	case group.Len() == 0 && founder:
		c.bootstrapReplies[from] = m
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

// bootstrapGroup forms a group of all founders that have reported.
func (c *Control) bootstrapGroup() {
	var replicas []quorum.Replica
	for _, m := range c.bootstrapReplies {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(m.GetId()), VM: m.GetVm(), Addr: m.GetAddr()})
	}
	c.adoptGroup(quorum.NewGroup(replicas...))
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
	c.identity, c.node = next, node
	c.setPeers(g)
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
