package ctrl

import (
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// receive takes a message from the links. It runs on the links' goroutines.
func (c *Control) receive(from string, e *wire.Envelope) {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Raft:
		c.receiveRaft(from, body.Raft)
	case *wire.Envelope_Watch:
		c.enqueue(func() { c.handleWatch(from, body.Watch) })
	case *wire.Envelope_Found:
		c.enqueue(func() { c.handleFound(from, body.Found) })
	case *wire.Envelope_ProposalAsk:
		c.serveProposal(from, body.ProposalAsk)
	case *wire.Envelope_ReadAsk:
		c.serveRead(from, body.ReadAsk)
	case *wire.Envelope_ProposalAnswer:
		c.asks.deliver(body.ProposalAnswer.GetSeq(), e)
	case *wire.Envelope_ReadAnswer:
		c.asks.deliver(body.ReadAnswer.GetSeq(), e)
	}
}

// enqueue runs f in the loop, or drops it if the loop is too far behind.
func (c *Control) enqueue(f func()) {
	select {
	case c.work <- f:
	default:
	}
}

func (c *Control) receiveRaft(from string, in *wire.Raft) {
	if !c.isControl(from) {
		return
	}
	m, err := quorum.MessageFromWire(in)
	if err != nil {
		return
	}
	c.enqueue(func() {
		if m.To != c.identity.ID {
			return
		}
		c.vms[m.From] = from
		select {
		case c.inbox <- m:
		default:
		}
	})
}

// isControl reports whether a VM may take part in the log.
func (c *Control) isControl(vm string) bool {
	if _, ok := c.options.Replicas[vm]; ok {
		return true
	}
	if _, ok := c.status.Load().Group.ByVM(vm); ok {
		return true
	}
	_, ok := c.others.Load().ByVM(vm)
	return ok
}

// carryOut does what the core asks for until it asks for nothing more.
func (c *Control) carryOut() error {
	for {
		e := c.core.Effects()
		if e.Empty() {
			c.publishStatus()
			return nil
		}
		if e.HardState != nil {
			c.hard = *e.HardState
		}
		if err := c.disk.Save(e, c.hard); err != nil {
			return errors.Wrap(err, "write to the data folder")
		}
		c.core.MarkPersisted(e)
		if err := c.act(e); err != nil {
			return err
		}
	}
}

// act does what follows once the effects are synced.
func (c *Control) act(e quorum.Effects) error {
	if e.Install != nil {
		if err := c.install(*e.Install); err != nil {
			return err
		}
	}
	for _, m := range e.Send {
		c.send(m)
	}
	for _, entry := range e.Committed {
		if err := c.apply(entry); err != nil {
			return err
		}
	}
	for _, r := range e.Reads {
		c.finishRead(r)
	}
	if len(e.Committed) > 0 {
		c.pushDeltas()
	}
	return c.compact()
}

func (c *Control) send(m quorum.Message) {
	vm, ok := c.vms[m.To]
	if r, member := c.core.Status().Group.Get(m.To); member {
		vm, ok = r.VM, true
	}
	if !ok {
		return
	}
	out, err := quorum.MessageToWire(m)
	if err != nil {
		return
	}
	c.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_Raft{Raft: out}})
}

// install replaces the state machine by a snapshot.
func (c *Control) install(s quorum.Snapshot) error {
	book, err := ledger.FromImage(s.Data, ledger.DefaultWindow)
	if err != nil {
		return err
	}
	c.ledger.Store(&book)
	c.noteFirst(book)
	c.applied, c.image = s.Index, s.Index
	c.setPeers(s.Group)
	return c.becomeMember()
}

// setPeers learns the addresses of the group's replicas.
func (c *Control) setPeers(g quorum.Group) {
	for _, r := range g.Replicas() {
		addr, err := netip.ParseAddrPort(r.Addr)
		if err == nil && r.VM != c.options.VM {
			c.link.SetPeer(r.VM, addr)
		}
	}
}

// apply applies one committed entry.
func (c *Control) apply(entry quorum.Entry) error {
	c.applied = entry.Index
	switch entry.Kind {
	case quorum.DataEntry:
		return c.applyTicket(entry)
	case quorum.MembershipEntry:
		c.setPeers(entry.Group)
		c.options.Line.Record(event.ReplicaAdded, entry.Group.String(), fmt.Sprintf("index %d", entry.Index))
		return c.becomeMember()
	default:
		return nil
	}
}

// noteFirst remembers the index of the first ticket.
func (c *Control) noteFirst(book ledger.Ledger) {
	if c.firstIndex == 0 {
		c.firstIndex = book.State().Index()
	}
}

func (c *Control) applyTicket(entry quorum.Entry) error {
	p, err := ledger.DecodeProposal(entry.Data)
	if err != nil {
		return errors.Wrapf(err, "log index %d", entry.Index)
	}
	before := c.Ledger()
	next, outcome := before.Apply(entry.Index, p)
	c.ledger.Store(&next)
	c.noteFirst(next)
	c.changedAt = c.options.Clock.Now()
	c.recordOutcome(before, p, outcome)
	waiting, ok := c.pending[entry.Index]
	if !ok {
		return nil
	}
	delete(c.pending, entry.Index)
	if waiting.term == entry.Term {
		waiting.answer <- outcome
	}
	close(waiting.answer)
	return nil
}

// recordOutcome puts the outcome on the time line.
func (c *Control) recordOutcome(before ledger.Ledger, p ledger.Proposal, o ledger.Outcome) {
	object := fmt.Sprintf("ticket %d", o.Number)
	if o.Verdict != ledger.Accepted {
		c.options.Line.Record(event.TicketRefused, object, fmt.Sprintf("%s, author %s", o.Verdict, p.Author))
		return
	}
	if o.Repeated {
		return
	}
	c.options.Line.Record(event.TicketAccepted, object, fmt.Sprintf("index %d, author %s", o.Index, p.Author))
	for _, object := range p.Ticket.Set {
		c.recordCentre(before.State(), object)
	}
}

// recordCentre notes a data centre that goes out or comes back.
func (c *Control) recordCentre(before state.State, o state.Object) {
	d, ok := o.(state.DataCentre)
	if !ok || before.Out(d.Name) == (d.State == state.CentreOut) {
		return
	}
	kind := event.DataCentreIn
	if d.State == state.CentreOut {
		kind = event.DataCentreOut
	}
	c.options.Line.Record(kind, d.Name, "")
}

// compact writes a snapshot once the log has grown enough.
func (c *Control) compact() error {
	grown := c.applied-c.image >= compactEntries || c.disk.Size() >= compactBytes && c.applied > c.image
	if !grown {
		return nil
	}
	data, err := c.Ledger().Image()
	if err != nil {
		return err
	}
	snapshot, err := c.core.Compact(data, c.applied)
	if err != nil {
		return err
	}
	c.image = c.applied
	return c.disk.Compact(snapshot, c.hard, c.core.EntriesAfter(c.applied))
}

// publishStatus makes the core's status visible to other goroutines, and notes
// changes of leadership.
func (c *Control) publishStatus() {
	s := c.core.Status()
	old := c.status.Swap(&s)
	if old == nil || old.Leader == s.Leader && old.Term == s.Term {
		return
	}
	if s.Leader == 0 {
		c.options.Line.Record(event.LeaderLost, fmt.Sprintf("term %d", s.Term), "")
		return
	}
	leader := c.leaderVM(s)
	if s.Role == quorum.Leader {
		c.ledSince = c.options.Clock.Now()
		clear(c.watchers)
		c.heldIndex, c.heldSince = 0, nil
	}
	c.options.Line.Record(event.LeaderElected, leader, fmt.Sprintf("term %d", s.Term))
}

func (c *Control) leaderVM(s quorum.Status) string {
	if r, ok := s.Group.Get(s.Leader); ok {
		return r.VM
	}
	return ""
}
