package ctrl

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// step passes a message of another replica to the quorum node.
func (c *Control) step(m quorum.Message) {
	c.lastHeard[m.From] = c.options.Clock.Now()
	c.contacts.heard(c.vms[m.From], c.lastHeard[m.From])
	c.node.Step(m)
}

// runQueued runs what waits in the queues, up to maxBatch, so that one write to disk and one message to
// each replica serve all of it.
func (c *Control) runQueued() {
	for range maxBatch {
		select {
		case f := <-c.work:
			f()
		case m := <-c.inbox:
			c.step(m)
		default:
			return
		}
	}
}

// receive dispatches a message from the links. It runs on the links' goroutines.
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
	case *wire.Envelope_RolloutReport:
		c.enqueue(func() { c.handleRolloutReport(from, e) })
	case *wire.Envelope_ProposalAnswer:
		c.requests.complete(body.ProposalAnswer.GetSeq(), e)
	case *wire.Envelope_ReadAnswer:
		c.requests.complete(body.ReadAnswer.GetSeq(), e)
	}
}

// enqueue schedules f in the event loop, or drops it if the queue is full.
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

// isControl reports whether a VM is known as a control VM.
func (c *Control) isControl(vm string) bool {
	if _, ok := c.options.Replicas[vm]; ok {
		return true
	}
	if _, ok := c.status.Load().Group.ByVM(vm); ok {
		return true
	}
	_, ok := c.remoteGroup.Load().ByVM(vm)
	return ok
}

// drainEffects saves and applies the effects of the quorum node until there are
// no more.
func (c *Control) drainEffects() error {
	for {
		e := c.node.Effects()
		if e.Empty() {
			c.publishStatus()
			return nil
		}
		if e.HardState != nil {
			c.hardState = *e.HardState
		}
		if err := c.storage.Save(e, c.hardState); err != nil {
			return errors.Wrap(err, "write to the data folder")
		}
		c.node.MarkPersisted(e)
		if err := c.applyEffects(e); err != nil {
			return err
		}
	}
}

// applyEffects applies effects that are synced to disk.
func (c *Control) applyEffects(e quorum.Effects) error {
	if e.Install != nil {
		if err := c.install(*e.Install); err != nil {
			return err
		}
	}
	for _, m := range e.Send {
		c.send(m)
	}
	for _, entry := range e.Committed {
		if err := c.applyEntry(entry); err != nil {
			return err
		}
	}
	for _, r := range e.Reads {
		c.completeRead(r)
	}
	if n := len(e.Committed); n > 0 {
		now := c.options.Clock.Now()
		c.renewBeacon(e.Committed[n-1], now)
		c.schedulePush(now)
	}
	return c.compact()
}

func (c *Control) send(m quorum.Message) {
	vm, ok := c.vms[m.To]
	if r, member := c.node.Status().Group.Get(m.To); member {
		vm, ok = r.VM, true
	}
	if !ok {
		return
	}
	out, err := quorum.MessageToWire(m)
	if err != nil {
		return
	}
	c.transport.Send(vm, &wire.Envelope{Body: &wire.Envelope_Raft{Raft: out}})
}

// install replaces the state machine with a snapshot.
func (c *Control) install(s quorum.Snapshot) error {
	l, err := ledger.FromSnapshot(s.Data, ledger.DefaultDedupWindow)
	if err != nil {
		return err
	}
	c.ledger.Store(&l)
	c.setFirstIndex(l)
	c.appliedIndex, c.snapshotIndex = s.Index, s.Index
	c.setPeers(s.Group)
	c.releaseHeld()
	return c.saveMembership()
}

// setPeers passes the addresses of the group's replicas to the links.
func (c *Control) setPeers(g quorum.Group) {
	for _, r := range g.Replicas() {
		addr, err := netip.ParseAddrPort(r.Addr)
		if err == nil && r.VM != c.options.VM {
			c.transport.SetPeer(r.VM, addr)
		}
	}
}

// applyEntry applies a committed log entry.
func (c *Control) applyEntry(entry quorum.Entry) error {
	c.appliedIndex = entry.Index
	switch entry.Kind {
	case quorum.DataEntry:
		return c.applyTicket(entry)
	case quorum.MembershipEntry:
		c.setPeers(entry.Group)
		c.options.EventLog.Record(event.ReplicaAdded, entry.Group.String(), fmt.Sprintf("index %d", entry.Index))
		return c.saveMembership()
	default:
		return nil
	}
}

// setFirstIndex sets firstIndex to the index of l, unless it is set already.
func (c *Control) setFirstIndex(l ledger.Ledger) {
	if c.firstIndex == 0 {
		c.firstIndex = l.State().Index()
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
	c.setFirstIndex(next)
	c.noteChange(c.options.Clock.Now())
	c.recordOutcome(before, next, p, outcome)
	if p.Ticket.Number != ledger.SystemNumber || p.Ticket.Plan != nil {
		c.releaseHeld()
	}
	pending, ok := c.pending[entry.Index]
	if !ok {
		return nil
	}
	delete(c.pending, entry.Index)
	if pending.term == entry.Term {
		pending.answer <- outcome
	}
	close(pending.answer)
	return nil
}

// noteChange notes when a ticket was applied.
func (c *Control) noteChange(now time.Time) {
	c.lastChange = now
	if c.firstChange.IsZero() {
		c.firstChange = now
	}
}

// recordOutcome logs the outcome of a ticket.
func (c *Control) recordOutcome(before, next ledger.Ledger, p ledger.Proposal, o ledger.Outcome) {
	object := fmt.Sprintf("ticket %d", o.TicketNumber)
	if o.Verdict != ledger.Accepted {
		c.options.EventLog.Record(event.TicketRefused, object, fmt.Sprintf("%s, author %s", o.Verdict, p.Author))
		return
	}
	if o.Repeated {
		return
	}
	c.options.EventLog.Record(event.TicketAccepted, object, fmt.Sprintf("index %d, author %s: %s", o.Index, p.Author, next.State()))
	for _, object := range p.Ticket.Set {
		c.recordDataCentre(before.State(), object)
	}
}

// recordDataCentre logs that a data centre was taken out of or put back into service.
func (c *Control) recordDataCentre(before state.State, o state.Object) {
	d, ok := o.(state.DataCentre)
	if !ok || before.IsDataCentreOut(d.Name) == (d.State == state.DataCentreOut) {
		return
	}
	kind := event.DataCentreIn
	if d.State == state.DataCentreOut {
		kind = event.DataCentreOut
	}
	c.options.EventLog.Record(kind, d.Name, "")
}

// compact writes a snapshot once the log exceeds compactEntries or compactBytes.
func (c *Control) compact() error {
	due := c.appliedIndex-c.snapshotIndex >= compactEntries || c.storage.Size() >= compactBytes && c.appliedIndex > c.snapshotIndex
	if !due {
		return nil
	}
	return c.writeSnapshot()
}

// writeSnapshot replaces the log up to the last applied entry by a snapshot.
func (c *Control) writeSnapshot() error {
	data, err := c.Ledger().Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := c.node.Compact(data, c.appliedIndex)
	if err != nil {
		return err
	}
	c.snapshotIndex = c.appliedIndex
	return c.storage.Compact(snapshot, c.hardState, c.node.EntriesAfter(c.appliedIndex))
}

// publishStatus makes the status of the quorum node visible to other goroutines
// and logs changes of leadership.
func (c *Control) publishStatus() {
	s := c.node.Status()
	c.reachedFullSize = c.reachedFullSize || c.hasFullSize(s)
	old := c.status.Swap(&s)
	if old == nil || old.Leader == s.Leader && old.Term == s.Term {
		return
	}
	if s.Leader == 0 {
		c.options.EventLog.Record(event.LeaderLost, fmt.Sprintf("term %d", s.Term), "")
		return
	}
	leader := c.leaderVM(s)
	if c.groupSince.IsZero() {
		c.groupSince = c.options.Clock.Now()
	}
	if s.Role == quorum.Leader {
		c.leaderSince = c.options.Clock.Now()
		clear(c.watchers)
		c.majorityIndex, c.majorityMarks = 0, nil
	}
	c.options.EventLog.Record(event.LeaderElected, leader, fmt.Sprintf("term %d", s.Term))
}

func (c *Control) leaderVM(s quorum.Status) string {
	if r, ok := s.Group.Get(s.Leader); ok {
		return r.VM
	}
	return ""
}
