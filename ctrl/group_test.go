package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// crew is a group of control VMs that find each other by seeds.
type crew struct {
	tb    testing.TB
	path  string
	addrs []netip.AddrPort
	nodes []*crewNode // nil while stopped
	// full says whose disks take no more bytes.
	full [maxReplicas]atomic.Bool
}

type crewNode struct {
	*Control
	cancel context.CancelFunc
	done   chan struct{}
}

const (
	crewSize  = 5
	crewSeeds = 3
	crewLoss  = 2
)

func newCrew(tb testing.TB) *crew {
	c := &crew{tb: tb, path: tb.TempDir(), nodes: make([]*crewNode, crewSize)}
	for range crewSize {
		c.addrs = append(c.addrs, fake.FreeAddr())
	}
	tb.Cleanup(func() { c.stop(c.all()...) })
	return c
}

func (c *crew) all() []int { return []int{0, 1, 2, 3, 4} }

func (c *crew) vm(i int) string { return fmt.Sprint("c", i+1) }

func (c *crew) folder(i int) string { return filepath.Join(c.path, c.vm(i)) }

func (c *crew) start(founding bool, list ...int) {
	c.tb.Helper()
	for _, i := range list {
		folder, err := store.OpenFolder(c.folder(i))
		if err != nil {
			c.tb.Fatal(err)
		}
		l, err := net.Listen("tcp", c.addrs[i].String())
		if err != nil {
			c.tb.Fatal(err)
		}
		timers := clock.New()
		control, err := New(&fullFolder{folder, &c.full[i]}, l, VM(c.vm(i)), Advertise(c.addrs[i]), Seeds(c.addrs[:crewSeeds]),
			Bootstrap(founding), MaxFailures(crewLoss), Clock(timers))
		if err != nil {
			c.tb.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		n := &crewNode{Control: control, cancel: cancel, done: make(chan struct{})}
		go func() {
			defer close(n.done)
			control.Run(ctx)
			folder.Close()
			timers.Stop()
		}()
		c.nodes[i] = n
	}
}

func (c *crew) stop(list ...int) {
	for _, i := range list {
		if n := c.nodes[i]; n != nil {
			n.cancel()
			<-n.done
			c.nodes[i] = nil
		}
	}
}

func (c *crew) wipe(list ...int) {
	c.tb.Helper()
	for _, i := range list {
		if err := os.RemoveAll(c.folder(i)); err != nil {
			c.tb.Fatal(err)
		}
	}
}

// whole reports whether a replica knows a leader and a group of n voters.
func (c *crew) whole(n int) bool {
	for _, node := range c.nodes {
		if node == nil {
			continue
		}
		s := node.status.Load()
		if s.Leader == 0 || s.Group.VoterCount() != n || s.Group.Len() != n {
			return false
		}
		if _, member := s.Group.Get(s.ID); !member {
			return false
		}
	}
	return true
}

func (c *crew) await(what string, limit time.Duration, ok func() bool) {
	c.tb.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, node := range c.nodes {
				if node != nil {
					s := node.status.Load()
					c.tb.Logf("%s: %s, leader %x, group %s", node.options.VM, s.Role, uint64(s.Leader), s.Group)
				}
			}
			c.tb.Fatalf("%s: not within %s", what, limit)
		}
	}
}

func planOf(version uint64, rate float64) ticket.Ticket {
	return ticket.NewPlan(version, fmt.Appendf(nil, "plan %d at %g", version, rate), state.Workspace{Name: "w", Rate: rate, Burst: 10})
}

// propose sends a plan to a replica until it is acknowledged.
func (c *crew) propose(i int, plan ticket.Ticket) {
	c.tb.Helper()
	c.await("acknowledgement", 10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := c.nodes[i].ProposePlan(ctx, plan, "test")
		return err == nil
	})
}

// read returns the version of the plan as a replica knows it for sure.
func (c *crew) read(i int) uint64 {
	c.tb.Helper()
	version := uint64(0)
	c.await("read", 10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		book, err := c.nodes[i].Current(ctx)
		version = book.Plan().Version
		return err == nil
	})
	return version
}

func TestGroupFoundsItselfFromSomeAddressesInAnyOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		c := newCrew(t)
		random := rand.New(rand.NewPCG(seed, 1))
		for _, i := range random.Perm(crewSize) {
			c.start(true, i)
			time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		}
		c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
		c.stop(c.all()...)
	}
}

func TestWholeGroupComesBackAfterAllWereStopped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.propose(4, planOf(7, 1))
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.stop(c.all()...)
	c.start(false, c.all()...)
	for i := range crewSize {
		is.Equal(c.read(i), uint64(7))
	}
}

func TestBlankDiskUnderAnOldAddressIsReplacedAndDoesNotVoteAsTheOldOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(0, planOf(7, 1))
	old := c.nodes[1].identity.ID
	c.stop(1)
	c.wipe(1)
	c.start(false, 1)
	c.await("a whole group", 2*time.Second, func() bool { return c.whole(crewSize) })
	s := c.nodes[0].status.Load()
	_, known := s.Group.Get(old)
	is.True(!known)
	is.Equal(c.read(1), uint64(7))
}

func TestTwoDisksLostRightAfterAnAcknowledgementLoseNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(3, planOf(7, 1))
	c.stop(c.all()...)
	leader, follower := 0, 3
	c.wipe(leader, follower)
	c.start(false, c.all()...)
	for i := range crewSize {
		is.Equal(c.read(i), uint64(7))
	}
	c.await("a whole group", 10*time.Second, func() bool { return c.whole(crewSize) })
}

// Three disks must hold a record before it is acknowledged, also while the group
// consists of its founders only.
func TestFoundersAcknowledgeOnEnoughDisks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, 0, 1, 2)
	c.propose(0, planOf(7, 1))
	s := c.nodes[0].status.Load()
	is.Equal(s.Group.VoterCount(), crewSeeds)
	c.stop(2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.nodes[0].ProposePlan(ctx, planOf(8, 1), "test")
	is.True(err != nil) // two disks are not enough
}

// Two disks are lost right after the very first acknowledgement, while the group may
// consist of its founders only and others have just joined.
func TestTwoDisksLostWhileTheGroupIsFoundedLoseNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, lost := range [][]int{{0, 1}, {1, 2}, {2, 4}} {
		c := newCrew(t)
		c.start(true, c.all()...)
		c.propose(lost[0], planOf(7, 1))
		c.stop(c.all()...)
		c.wipe(lost...)
		c.start(false, c.all()...)
		for i := range crewSize {
			is.Equal(c.read(i), uint64(7))
		}
		c.await("a whole group", 10*time.Second, func() bool { return c.whole(crewSize) })
		c.stop(c.all()...)
	}
}

func TestEmptyReplicaAtAnotherAddressTakesThePlaceOfALostOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(0, planOf(7, 1))
	lost := c.nodes[0].identity.ID
	c.stop(0)
	c.addrs = append(c.addrs, fake.FreeAddr())
	c.nodes = append(c.nodes, nil)
	c.start(false, 5)
	c.await("a whole group", 4*time.Second, func() bool {
		_, known := c.nodes[1].status.Load().Group.Get(lost)
		return !known && c.whole(crewSize)
	})
	is.Equal(c.read(5), uint64(7))
	c.stop(5)
}

func TestReplicaThatWasReplacedWhileAwayComesBack(t *testing.T) {
	t.Parallel()
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	leader := c.leader()
	away := (leader + 1) % crewSize
	id := c.nodes[away].identity.ID
	c.stop(away)
	node := c.nodes[leader]
	c.await("removal", 4*time.Second, func() bool {
		node.do(context.Background(), func() { node.core.Remove(id) })
		_, known := node.status.Load().Group.Get(id)
		return !known
	})
	c.start(false, away)
	c.await("a whole group", 6*time.Second, func() bool { return c.whole(crewSize) })
}

// leader returns the replica that leads.
func (c *crew) leader() int {
	at := 0
	c.await("a leader", 4*time.Second, func() bool {
		for i, n := range c.nodes {
			if n != nil && n.status.Load().Role == quorum.Leader {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

func TestRacingVersionsEndWithTheHighestEverywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.propose(1, planOf(9, 9))
		c.propose(1, planOf(9, 9)) // a resend is acknowledged again
	}()
	c.propose(2, planOf(8, 8))
	<-done
	c.propose(3, planOf(9, 1)) // other content under a held version changes nothing
	for i := range crewSize {
		is.Equal(c.read(i), uint64(9))
		w, _ := state.Get[state.Workspace](c.nodes[i].Ledger().State(), "w")
		is.Equal(w.Rate, 9.0)
	}
}

func TestAcknowledgedLeavingOutlivesTheReplicaThatAcknowledgedIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	s := state.Target{Name: "s1", Pool: "p", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: state.TargetWarm, Boot: 1, Count: 1}
	leaving := s.WithPhase(state.TargetLeaving)
	leaving.Count = 2
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	is.NoErr(c.nodes[4].Register(ctx, s))
	is.NoErr(c.nodes[4].Register(ctx, leaving))
	c.stop(4)
	c.wipe(4)
	is.NoErr(c.nodes[1].Register(ctx, s)) // an announcement that was late
	c.read(1)
	known, _ := c.nodes[1].Registered("s1")
	is.Equal(known.Phase, state.TargetLeaving)
}

func TestReadsAtAReplicaThatIsCutOffAreNotAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(0, planOf(7, 1))
	c.stop(0, 1, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.nodes[4].Current(ctx)
	is.True(err != nil)
}

// A replica that is behind, such as one that stood still, must not answer a read
// with what it held before it caught up.
func TestReadsAtAReplicaThatIsBehindWaitUntilItHasCaughtUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(0, planOf(7, 1))
	leader := c.leader()
	slow := (leader + 1) % crewSize
	is.Equal(c.read(slow), uint64(7))
	const pause = 400 * time.Millisecond // shorter than an election
	go c.nodes[slow].do(context.Background(), func() { time.Sleep(pause) })
	time.Sleep(pause / 8)
	c.propose(leader, planOf(8, 1))
	is.Equal(c.read(slow), uint64(8))
}
