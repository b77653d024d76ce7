package ctrl

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/wire"
)

// found makes the first group, or looks for one to join. A replica with a blank
// folder founds a group only after every founding VM has said that it has none
// either. A replica that lost its disk therefore never votes with a blank log:
// the others have a group, and it waits to be added under its new identity.
func (c *Control) found(now time.Time) {
	if c.identity.IsMember && !c.strayed(now) {
		return
	}
	if !c.identity.IsMember {
		c.founding[c.options.VM] = c.foundMessage(false)
	}
	for _, to := range c.foundingPeers() {
		if _, heard := c.founding[to]; !heard || c.selfRepairs() {
			c.sendFound(to, true)
		}
	}
	if !c.identity.IsMember && c.allHeard() {
		c.makeGroup()
	}
}

// strayLimit is the time without a leader after which a member asks whether it
// is still one.
const strayLimit = 2 * time.Second

// strayed reports whether this member of a self-repairing group has had no leader
// for a while: it may have been replaced while it was away.
func (c *Control) strayed(now time.Time) bool {
	if c.status.Load().Leader != 0 {
		c.lastLeader = now
	}
	return c.selfRepairs() && now.Sub(c.lastLeader) > strayLimit
}

// foundingPeers returns whom to ask for a group: names, or addresses of VMs whose
// names are not known yet.
func (c *Control) foundingPeers() []string {
	if !c.selfRepairs() {
		return c.options.Replicas.Names()
	}
	var peers []string
	known := make(map[string]bool)
	for _, g := range []quorum.Group{*c.others.Load(), c.core.Status().Group} {
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

// SetSeeds replaces the addresses of control VMs that are asked for a group. The
// founders of the first start stay as they were.
func (c *Control) SetSeeds(seeds []netip.AddrPort) {
	c.enqueue(func() { c.seeds = seeds })
}

// allHeard reports whether this replica may found a group and has heard from
// every other founder that it has none.
func (c *Control) allHeard() bool {
	if !c.selfRepairs() {
		return len(c.founding) == len(c.options.Replicas)
	}
	if !c.options.Bootstrap || !slices.Contains(c.options.Seeds, c.options.Advertise) {
		return false
	}
	for _, seed := range c.options.Seeds {
		heard := func(m *wire.Found) bool { return m.GetAddr() == seed.String() }
		if !slices.ContainsFunc(slices.Collect(maps.Values(c.founding)), heard) {
			return false
		}
	}
	return true
}

// founder reports whether a replica may be one of the first group.
func (c *Control) founder(vm string, m *wire.Found) bool {
	if !c.selfRepairs() {
		_, named := c.options.Replicas[vm]
		return named
	}
	addr, err := netip.ParseAddrPort(m.GetAddr())
	return err == nil && c.options.Bootstrap && slices.Contains(c.options.Seeds, addr)
}

func (c *Control) sendFound(vm string, ask bool) {
	if vm == c.options.VM {
		return
	}
	c.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_Found{Found: c.foundMessage(ask)}})
}

func (c *Control) foundMessage(ask bool) *wire.Found {
	return &wire.Found{
		Id: uint64(c.identity.ID), Vm: c.options.VM, Ask: ask, Addr: c.options.Advertise.String(),
		Replicas: quorum.GroupToWire(c.core.Status().Group),
	}
}

// handleFound learns whether another control VM has a group.
func (c *Control) handleFound(from string, m *wire.Found) {
	if m.GetVm() != from {
		return
	}
	if addr, err := netip.ParseAddrPort(m.GetAddr()); err == nil && c.selfRepairs() {
		c.link.SetPeer(from, addr)
	}
	if m.GetAsk() {
		c.noteWaiting(from, m)
		c.sendFound(from, false)
	}
	group := quorum.GroupFromWire(m.GetReplicas())
	_, mine := group.Get(c.identity.ID)
	if group.Len() > 0 && !mine {
		c.noteOthers(group)
	}
	founder := c.founder(from, m)
	if c.identity.IsMember || !founder && !c.selfRepairs() {
		return
	}
	switch {
	case group.Len() == 0 && founder:
		c.founding[from] = m
	case group.Len() > 0 && mine && c.mayAdopt(group):
		c.foundGroup(group)
	case group.Len() > 0 && !mine:
		c.refuse(group)
	}
}

// mayAdopt reports whether this replica may start from a group that names it. In
// a self-repairing fleet only founders do; others receive the group by the log.
func (c *Control) mayAdopt(g quorum.Group) bool {
	if !c.selfRepairs() {
		return true
	}
	return c.options.Bootstrap && g.IsVoter(c.identity.ID) && slices.Contains(c.options.Seeds, c.options.Advertise)
}

// noteOthers remembers a group that this replica does not belong to.
func (c *Control) noteOthers(g quorum.Group) {
	c.others.Store(&g)
	c.setPeers(g)
}

// refuse notes why this replica cannot take part: there is a group without it.
func (c *Control) refuse(g quorum.Group) {
	reason := fmt.Sprintf("the group (%s) does not know this disk: run \"dottereldeal replica add %s\"", g, c.options.VM)
	if old, ok := g.ByVM(c.options.VM); ok {
		reason = fmt.Sprintf("the group knows VM %s under identity %s, and this disk is blank: run \"dottereldeal replica replace %s\"",
			c.options.VM, idText(old.ID), c.options.VM)
	}
	c.refusal.Store(&reason)
}

// maxWaiting bounds the remembered replicas that are not members.
const maxWaiting = 16

// noteWaiting remembers a replica that is not a member, so that operators can add it.
func (c *Control) noteWaiting(vm string, m *wire.Found) {
	if _, known := c.waiting[vm]; !known && len(c.waiting) >= maxWaiting {
		return
	}
	c.waiting[vm] = waitingReplica{ID: quorum.ID(m.GetId()), VM: vm, Addr: m.GetAddr(), heard: c.options.Clock.Now()}
}

// waitingReplica is a replica that is not a member and asks to be one.
type waitingReplica struct {
	ID    quorum.ID
	VM    string
	Addr  string
	heard time.Time
}

func (w waitingReplica) replica() quorum.Replica {
	return quorum.Replica{ID: w.ID, VM: w.VM, Addr: w.Addr}
}

// makeGroup founds the group of all replicas that were heard.
func (c *Control) makeGroup() {
	var replicas []quorum.Replica
	for _, m := range c.founding {
		replicas = append(replicas, quorum.Replica{ID: quorum.ID(m.GetId()), VM: m.GetVm(), Addr: m.GetAddr()})
	}
	c.foundGroup(quorum.NewGroup(replicas...))
}

// foundGroup makes this replica a founding member.
func (c *Control) foundGroup(g quorum.Group) {
	if c.core.Status().LastIndex > 0 {
		return
	}
	next := store.Identity{ID: c.identity.ID, VM: c.identity.VM, Founders: g, IsMember: true}
	if err := store.SaveIdentity(c.folder, next); err != nil {
		return
	}
	core, err := c.newCore(quorum.PersistedState{HardState: c.hard, Snapshot: quorum.Snapshot{Group: g}})
	if err != nil {
		return
	}
	c.identity, c.core = next, core
	c.setPeers(g)
	c.options.Line.Record(event.ReplicaAdded, g.String(), "founded")
}

// becomeMember notes on the disk that this replica has joined a group.
func (c *Control) becomeMember() error {
	if c.identity.IsMember {
		return nil
	}
	if _, ok := c.core.Status().Group.Get(c.identity.ID); !ok {
		return nil
	}
	next := c.identity
	next.IsMember = true
	if err := store.SaveIdentity(c.folder, next); err != nil {
		return err
	}
	c.identity = next
	c.options.Line.Record(event.ReplicaAdded, c.options.VM, "joined as "+idText(next.ID))
	return nil
}

// idText returns an identity as operators see it.
func idText(id quorum.ID) string { return fmt.Sprintf("%016x", uint64(id)) }
