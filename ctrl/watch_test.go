package ctrl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

// countingTransport counts the messages to each VM.
type countingTransport struct {
	link.Transport
	sent map[string]int
}

func (t countingTransport) Send(vm string, _ *wire.Envelope) bool {
	t.sent[vm]++
	return true
}

// A pool of 400 servers registers within 1.5 s. Each entry must not receive, and
// acknowledge, 400 updates.
func TestChangesInQuickSuccessionArePushedTogether(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	transport := countingTransport{sent: make(map[string]int)}
	c := &Control{options: newOptions(VM("c1"), Clock(manual)), watchers: make(map[string]*watcher), transport: transport}
	l := ledger.New(ledger.DefaultDedupWindow)
	c.ledger.Store(&l)
	c.status.Store(&quorum.Status{})
	c.handleWatch("e1", &wire.Watch{DataCentre: "d"})
	acknowledged := uint64(0)
	for i := range uint64(400) {
		set := ticket.Ticket{Number: i + 1, Set: []state.Object{state.Target{Name: fmt.Sprint("s", i), Phase: state.TargetWarm, Count: 1}}}
		next, outcome := l.Apply(i+1, ledger.Proposal{Ticket: set})
		is.Equal(outcome.Verdict, ledger.Accepted)
		l = next
		c.ledger.Store(&l)
		c.schedulePush(manual.Now())
		manual.Advance(3750 * time.Microsecond)
		c.tickWatchers(manual.Now())
		if pushed := c.watchers["e1"].sentIndex; pushed > acknowledged {
			acknowledged = pushed
			c.handleWatch("e1", &wire.Watch{Index: acknowledged, DataCentre: "d"})
		}
	}
	manual.Advance(pushInterval)
	c.tickWatchers(manual.Now())
	is.Equal(c.watchers["e1"].sentIndex, l.State().Index())
	is.True(transport.sent["e1"] <= 2*int(1500*time.Millisecond/pushInterval)+2)
}

// discardTransport discards all messages.
type discardTransport struct{ link.Transport }

func (discardTransport) Send(string, *wire.Envelope) bool { return true }

// After a power loss all entries request a large configuration at the same time. One
// control VM serves only a few of them at once, and the next as soon as one is done.
func TestLargeDeltaSlotIsReleasedOnceReceived(t *testing.T) {
	is := is.New(t)
	var set []state.Object
	for i := range 30_000 {
		set = append(set, state.Workspace{Name: fmt.Sprint("workspace-", i), Rate: 10, Burst: 10})
	}
	plan := ticket.NewPlan(7, []byte("large"), set...)
	digest, err := plan.Digest()
	is.NoErr(err)
	l, outcome := ledger.New(ledger.DefaultDedupWindow).Apply(1, ledger.Proposal{Ticket: plan, Digest: digest})
	is.Equal(outcome.Verdict, ledger.Accepted)
	c := &Control{options: newOptions(VM("c1")), watchers: make(map[string]*watcher), transport: discardTransport{}}
	c.ledger.Store(&l)
	c.status.Store(&quorum.Status{})
	watch := func(vm string, index uint64) (served bool) {
		c.handleWatch(vm, &wire.Watch{Index: index, DataCentre: "d"})
		return !c.watchers[vm].largeDeltaAt.IsZero()
	}
	for i := range maxLargeDeltas {
		is.True(watch(fmt.Sprint("e", i), 0))
	}
	is.True(!watch("late", 0))
	watch("e0", l.State().Index()) // e0 has received all of it
	is.True(watch("late", 0))
}

// An entry that has met only entries that contacted the same control VM first is sent
// more peers, until it knows as many entries as this control VM.
func TestEntryThatKnowsTooFewPeersReceivesMore(t *testing.T) {
	is := is.New(t)
	c := &Control{options: newOptions(VM("c1")), watchers: make(map[string]*watcher)}
	c.status.Store(&quorum.Status{})
	now := c.options.Clock.Now()
	for i := range 40 {
		c.watchers[fmt.Sprint("e", i)] = &watcher{lastHeard: now, members: 13, addr: fmt.Sprintf("10.0.0.%d:1", i)}
	}
	c.tickWatchers(now)
	is.Equal(len(c.missingPeers("e0", c.watchers["e0"])), maxPeers)
	c.watchers["e0"].members = 40
	is.Equal(len(c.missingPeers("e0", c.watchers["e0"])), 0)
}

// newSingleLeader returns the leader of a group of one that has committed nothing yet.
func newSingleLeader(t *testing.T) (*Control, *quorum.Node) {
	t.Helper()
	group := quorum.NewGroup(quorum.Replica{ID: 1, VM: "c1"})
	node, err := quorum.New(1, quorum.PersistedState{Snapshot: quorum.Snapshot{Group: group}})
	if err != nil {
		t.Fatal(err)
	}
	c := &Control{options: newOptions(VM("c1")), watchers: make(map[string]*watcher), transport: discardTransport{}, node: node}
	l := ledger.New(ledger.DefaultDedupWindow)
	c.ledger.Store(&l)
	for node.Status().Role != quorum.Leader {
		node.Tick()
	}
	c.publishStatus()
	return c, node
}

// A new leader cannot confirm a read before it has committed an entry of its term. It waited
// for a whole beacon period then, while no entry served after a power loss of the fleet.
func TestFirstBeaconFollowsTheFirstCommitOfALeader(t *testing.T) {
	is := is.New(t)
	c, node := newSingleLeader(t)
	now := c.options.Clock.Now()
	c.tickWatchers(now)
	is.True(c.beacon == nil) // nothing is committed yet
	for e := node.Effects(); !e.Empty(); e = node.Effects() {
		node.MarkPersisted(e)
	}
	c.tickWatchers(now.Add(tickPeriod))
	for _, r := range node.Effects().Reads {
		c.completeRead(r)
	}
	is.True(c.beacon != nil)
}

// After a power loss all entries wait for a beacon. The first change that a leader commits
// must bring one, without a round of its own.
func TestFirstCommitOfALeaderIsABeacon(t *testing.T) {
	is := is.New(t)
	c, node := newSingleLeader(t)
	for e := node.Effects(); !e.Empty(); e = node.Effects() {
		node.MarkPersisted(e)
		for _, entry := range e.Committed {
			c.renewBeacon(entry, c.options.Clock.Now())
		}
	}
	is.True(c.beacon != nil)
	is.Equal(c.beacon.GetTerm(), node.Status().Term)
	first := c.beacon
	c.renewBeacon(quorum.Entry{Term: node.Status().Term}, c.options.Clock.Now())
	is.Equal(c.beacon, first) // beacons are gossiped, so they are rare
	c.renewBeacon(quorum.Entry{Term: node.Status().Term - 1}, c.options.Clock.Now().Add(beaconPeriod))
	is.Equal(c.beacon, first) // an entry of an earlier leader proves nothing
}

// recordingTransport keeps the deltas that are sent.
type recordingTransport struct {
	link.Transport
	deltas *[]*wire.Delta
}

func (t recordingTransport) Send(_ string, m *wire.Envelope) bool {
	*t.deltas = append(*t.deltas, m.GetDelta())
	return true
}

// Guards against an entry that never receives a large full state, because each push of a change
// begins it anew.
func TestLargeFullStateArrivesWhileChangesArePushed(t *testing.T) {
	for _, oneWay := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(oneWay.String(), func(t *testing.T) { testLargeFullState(t, oneWay) })
	}
}

func testLargeFullState(t *testing.T, oneWay time.Duration) {
	t.Helper()
	is := is.New(t)
	const changePeriod, watchPeriod = 100 * time.Millisecond, 500 * time.Millisecond
	var set []state.Object
	for i := range 30_000 {
		set = append(set, state.Workspace{Name: fmt.Sprint("workspace-", i), Rate: 10, Burst: 10})
	}
	plan := ticket.NewPlan(7, []byte("large"), set...)
	digest, err := plan.Digest()
	is.NoErr(err)
	l, outcome := ledger.New(ledger.DefaultDedupWindow).Apply(1, ledger.Proposal{Ticket: plan, Digest: digest})
	is.Equal(outcome.Verdict, ledger.Accepted)
	manual := clock.NewManual(time.Unix(1000, 0))
	var sent []*wire.Delta
	c := &Control{options: newOptions(VM("c1"), Clock(manual)), watchers: make(map[string]*watcher), transport: recordingTransport{deltas: &sent}}
	c.ledger.Store(&l)
	c.status.Store(&quorum.Status{})
	var assembler state.Assembler
	var received state.State
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 2 * oneWay {
		due := elapsed%watchPeriod < 2*oneWay
		for _, part := range sent { // arrives a link's delay after it was sent
			next, _, err := assembler.Add(received, part)
			is.NoErr(err)
			received = next
			due = due || assembler.RequestDue(part)
		}
		sent = nil
		if received.Index() > 0 && received.Index() == l.State().Index() {
			return
		}
		manual.Advance(oneWay)
		for range max(1, 2*oneWay/changePeriod) {
			change := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{state.Target{Name: fmt.Sprint("s", l.State().Index()), Phase: state.TargetWarm, Count: 1}}}
			l, outcome = l.Apply(l.State().Index()+1, ledger.Proposal{Ticket: change})
			is.Equal(outcome.Verdict, ledger.Accepted)
			c.ledger.Store(&l)
			c.schedulePush(manual.Now())
		}
		c.tickWatchers(manual.Now())
		if due {
			to, part, _ := assembler.NextPart()
			c.handleWatch("e1", &wire.Watch{Index: received.Index(), To: to, Part: part, DataCentre: "d"})
		}
		manual.Advance(oneWay)
	}
	t.Fatalf("state at index %d after 5 s, control's is %d", received.Index(), l.State().Index())
}

// newRecordingLeader returns the leader of a group of one with a committed change and a beacon, and
// the deltas that it sends. confirm completes the reads that are issued.
func newRecordingLeader(t *testing.T) (c *Control, manual *clock.Manual, sent *[]*wire.Delta, change, confirm func()) {
	t.Helper()
	is := is.New(t)
	c, node := newSingleLeader(t)
	manual, sent = clock.NewManual(time.Unix(1000, 0)), new([]*wire.Delta)
	c.options.Clock, c.transport = manual, recordingTransport{deltas: sent}
	change = func() {
		l := c.Ledger()
		set := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{state.Target{Name: fmt.Sprint("s", l.State().Index()), Phase: state.TargetWarm, Count: 1}}}
		l, outcome := l.Apply(l.State().Index()+1, ledger.Proposal{Ticket: set})
		is.Equal(outcome.Verdict, ledger.Accepted)
		c.ledger.Store(&l)
	}
	confirm = func() {
		for e := node.Effects(); !e.Empty(); e = node.Effects() {
			node.MarkPersisted(e)
			for _, r := range e.Reads {
				c.completeRead(r)
			}
		}
	}
	change()
	confirm()
	c.tickWatchers(manual.Now())
	confirm()
	is.True(c.beacon != nil)
	return c, manual, sent, change, confirm
}

// An entry serves its first state once a beacon says that nothing newer is accepted. A leader that
// was cut off sent a beacon from before it was, and the entry answered 401 to a key accepted since.
func TestBeaconIsSentToStartingEntryOnceLeadershipIsConfirmed(t *testing.T) {
	for name, test := range map[string]struct{ before, restart *wire.Watch }{
		"first contact":                       {restart: &wire.Watch{Boot: 1}},
		"restart":                             {before: &wire.Watch{Boot: 1, Index: 1}, restart: &wire.Watch{Boot: 2}},
		"restart, state of another VM":        {before: &wire.Watch{Boot: 1, Index: 1}, restart: &wire.Watch{Boot: 2, Index: 1}},
		"restart of a version without starts": {before: &wire.Watch{Index: 1}, restart: &wire.Watch{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, manual, sent, _, confirm := newRecordingLeader(t)
			if test.before != nil {
				c.handleWatch("e1", test.before)
				confirm()
				manual.Advance(tickPeriod)
			}
			hasBeacon := func(d *wire.Delta) bool { return d.GetBeacon() != nil }
			*sent = nil
			c.handleWatch("e1", test.restart)
			is.True(len(*sent) > 0)
			is.True(!slices.ContainsFunc(*sent, hasBeacon))
			*sent = nil
			c.handleWatch("e1", test.restart) // repeated requests wait for the same read
			is.True(!slices.ContainsFunc(*sent, hasBeacon))
			*sent = nil
			confirm()
			is.True(slices.ContainsFunc(*sent, hasBeacon)) // without another request
			*sent = nil
			c.handleWatch("e1", &wire.Watch{Boot: test.restart.GetBoot(), Index: 1})
			is.True(len(*sent) > 0 && !slices.ContainsFunc(*sent, func(d *wire.Delta) bool { return !hasBeacon(d) }))
		})
	}
}

// A read is lost with the leadership in which it was issued.
func TestReadForStartingEntriesIsRepeated(t *testing.T) {
	is := is.New(t)
	c, manual, sent, _, confirm := newRecordingLeader(t)
	c.handleWatch("e1", &wire.Watch{Boot: 1})
	c.node.Effects() // the read is lost
	manual.Advance(tickPeriod)
	c.tickWatchers(manual.Now())
	*sent = nil
	confirm()
	is.Equal(len(*sent), 1)
	is.True((*sent)[0].GetBeacon() != nil)
}

// A full state is reused for a while, and a beacon is renewed once a second. An entry took the two
// for a state that nothing is missing in, though the leader knew of a newer one.
func TestBeaconBesideReusedFullStateTellsOfNewerOne(t *testing.T) {
	is := is.New(t)
	c, manual, sent, change, confirm := newRecordingLeader(t)
	c.handleWatch("e1", &wire.Watch{Boot: 1})
	confirm()
	change()
	manual.Advance(tickPeriod)
	c.handleWatch("e2", &wire.Watch{Boot: 1})
	confirm()
	*sent = nil
	c.handleWatch("e2", &wire.Watch{Boot: 1})
	full := (*sent)[len(*sent)-1]
	is.Equal(full.GetTo(), uint64(1)) // the one that was made for e1
	is.Equal(full.GetBeacon().GetIndex(), uint64(2))
	is.Equal(full.GetBeacon().GetDigest(), c.Ledger().State().Digest())
}

// Guards against a leader that answers each acknowledgement, and sends what is on its way to an entry once
// more for each of its requests (SHORT): links that are full got twice as much.
func TestChangesThatAreOnTheirWayAreNotSentAgain(t *testing.T) {
	is := is.New(t)
	c, manual, sent, change, confirm := newRecordingLeader(t)
	watch := func(index uint64) { c.handleWatch("e1", &wire.Watch{Boot: 1, Index: index}) }
	watch(0)
	confirm()
	watch(1)
	contents := func() (n int) {
		for _, d := range *sent {
			if d.GetTo() > d.GetFrom() {
				n++
			}
		}
		return n
	}
	change()
	*sent = nil
	manual.Advance(time.Second)
	c.schedulePush(manual.Now())
	is.Equal(contents(), 1)
	watch(1) // a request that crosses the update
	is.Equal(contents(), 1)
	*sent = nil
	watch(2)
	is.Equal(len(*sent), 0)
	change()
	manual.Advance(time.Second)
	c.schedulePush(manual.Now())
	manual.Advance(resendTimeout)
	*sent = nil
	watch(2) // the update is lost
	is.Equal(contents(), 1)
	// One that is lost while others follow is repeated too.
	watch(3)
	for range 10 {
		change()
		manual.Advance(resendTimeout / 5)
		c.schedulePush(manual.Now())
		*sent = nil
		watch(3)
		if contents() > 0 {
			return
		}
	}
	t.Fatal("the entry is sent no update from its index")
}
