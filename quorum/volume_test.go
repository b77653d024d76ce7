package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// slowLink delivers the messages between two replicas in order, after a delay in ticks.
type slowLink struct {
	a, b  ID
	delay int
	// drop, repeat and swap select messages.
	drop, repeat, swap func(Message) bool
	// frozen is set while b takes no messages.
	frozen bool

	now, sent int
	queue     []delayedMessage
	bytes     int // of entries that a has sent to b
	installs  int // snapshots from a, also those that were dropped
}

type delayedMessage struct {
	Message
	at int
}

func never(Message) bool { return false }

// send takes a message and reports whether the link is its way.
func (l *slowLink) send(m Message) bool {
	if (m.From != l.a || m.To != l.b) && (m.From != l.b || m.To != l.a) {
		return false
	}
	l.sent++
	if m.Snapshot != nil {
		l.installs++
	}
	if l.drop(m) {
		return true
	}
	count := 1
	if l.repeat(m) {
		count = 2
	}
	for range count {
		l.queue = append(l.queue, delayedMessage{m, l.now + l.delay})
	}
	if n := len(l.queue); n > 1 && l.swap(m) {
		l.queue[n-1], l.queue[n-2] = l.queue[n-2], l.queue[n-1]
	}
	if m.From != l.a {
		return true
	}
	for _, e := range m.Entries {
		l.bytes += len(e.Data)
	}
	return true
}

// tick returns the messages that arrive now.
func (l *slowLink) tick() []Message {
	l.now++
	var due []Message
	l.queue = slices.DeleteFunc(l.queue, func(m delayedMessage) bool {
		arrives := m.at <= l.now && (!l.frozen || m.To != l.b)
		if arrives {
			due = append(due, m.Message)
		}
		return arrives
	})
	return due
}

// turn lets a tick pass. Messages beside the slow link arrive at once.
func (s *simulation) turn(l *slowLink) {
	for _, id := range s.ids() {
		if !l.frozen || id != l.b {
			s.tick(s.replicas[id])
		}
	}
	deliver := func(m Message) {
		s.replicas[m.To].node.Step(m)
		s.processEffects(s.replicas[m.To])
	}
	for _, m := range l.tick() {
		deliver(m)
	}
	for len(s.network) > 0 {
		m := s.network[0]
		s.network = s.network[1:]
		if !l.send(m) {
			deliver(m)
		}
	}
}

const (
	testEntryBytes = 2 << 10
	testBatchBytes = 16 << 10
)

// newSlowGroup returns a group and a link between its leader and a follower.
func newSlowGroup(t *testing.T, seed uint64) (*simulation, *slowLink) {
	s := newQuietGroup(seed)
	for _, r := range s.replicas {
		r.node.options.MinSyncedVoters, r.node.options.BatchBytes = 2, testBatchBytes
	}
	l := &slowLink{a: s.leader(t).id, drop: never, repeat: never, swap: never}
	for _, id := range s.ids() {
		if id != l.a {
			l.b = id
		}
	}
	return s, l
}

// Guards against a leader that sends its log again for each message that a lagging replica has
// rejected: the messages of seconds wait in a link that works again, and all of them are rejected
// (fleetbench, amc-gateway trouble-3: 367 MB of Raft messages between data centres).
func TestLaggingReplicaIsSentItsEntriesOnce(t *testing.T) {
	one := func(in int) func(Message) bool {
		rng := rand.New(rand.NewPCG(uint64(in), 0))
		return func(Message) bool { return rng.IntN(in) == 0 }
	}
	const cutTicks, entriesPerTick, calmTicks = 100, 4, 1000
	for name, prepare := range map[string]func(l *slowLink, cut bool){
		"cut":    func(l *slowLink, cut bool) { l.drop = func(Message) bool { return cut } },
		"frozen": func(l *slowLink, cut bool) { l.frozen = cut },
		// The link keeps the last messages, as a connection that stalls does.
		"stalled": func(l *slowLink, cut bool) {
			l.frozen, l.drop = cut, func(Message) bool { return cut && l.sent%40 != 0 }
		},
		"repeated": func(l *slowLink, cut bool) { l.drop, l.repeat = func(Message) bool { return cut }, one(2) },
		"swapped":  func(l *slowLink, cut bool) { l.drop, l.swap = func(Message) bool { return cut }, one(20) },
		"lossy": func(l *slowLink, cut bool) {
			l.drop = func(Message) bool { return cut }
			if !cut {
				l.drop = one(50)
			}
		},
	} {
		for _, delay := range []int{0, 1, 4, 9} {
			t.Run(fmt.Sprint(name, " delay ", delay), func(t *testing.T) {
				is := is.New(t)
				s, l := newSlowGroup(t, 1)
				l.delay = delay
				leader := s.replicas[l.a].node
				entries := 0
				turns := func(count int) {
					for range count {
						for range entriesPerTick {
							_, _, err := leader.Propose(make([]byte, testEntryBytes))
							is.NoErr(err)
							s.processEffects(s.replicas[l.a])
							entries++
						}
						s.turn(l)
					}
				}
				prepare(l, true)
				turns(cutTicks)
				const window = (maxInFlightBatches + 1) * testBatchBytes
				is.True(l.bytes <= window+testEntryBytes) // no more than that waits in a link
				prepare(l, false)
				turns(cutTicks)
				for left := calmTicks; left > 0 && s.replicas[l.b].node.log.last() < leader.log.last(); left-- {
					s.turn(l)
				}
				missing := entries * testEntryBytes
				is.True(leader.role == Leader)
				is.Equal(s.replicas[l.b].node.log.last(), leader.log.last()) // the replica has caught up
				is.True(l.bytes <= missing+4*window)                         // a few lost windows at most
			})
		}
	}
}

// Guards against snapshots that are sent again while one is on its way to a slow replica, and
// against one that is not sent again after it was lost.
func TestSnapshotIsSentAgainOnlyAfterItWasLost(t *testing.T) {
	const slowDelay, turns = 80, 600
	for _, lost := range []int{0, 1} {
		t.Run(fmt.Sprint("lost ", lost), func(t *testing.T) {
			is := is.New(t)
			s, l := newSlowGroup(t, 1)
			l.drop = func(Message) bool { return true }
			for range 2 * trailingEntries {
				s.propose(s.replicas[l.a])
				s.turn(l)
			}
			s.compact(s.replicas[l.a])
			l.delay = slowDelay
			l.drop = func(m Message) bool { return m.Snapshot != nil && l.installs <= lost }
			for range turns {
				s.turn(l)
			}
			is.Equal(l.installs, lost+1)
			is.Equal(s.replicas[l.b].node.log.last(), s.replicas[l.a].node.log.last())
		})
	}
}
