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

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// testGroup is a group of control VMs that find each other through seeds.
type testGroup struct {
	tb    testing.TB
	path  string
	addrs []netip.AddrPort
	nodes []*testNode // nil while stopped
	// full marks the replicas whose disks are full.
	full [maxReplicas]atomic.Bool
	// syncs counts the writes to disk of each replica.
	syncs [maxReplicas]atomic.Int64
	// disks replace the folders under path, if there are any.
	disks []*powerDisk
}

type testNode struct {
	*Control
	cancel context.CancelFunc
	done   chan struct{}
	// silent is set once the replica sends nothing any more.
	silent *atomic.Bool
}

const (
	groupSize     = 5
	groupSeeds    = 3
	groupFailures = 2
)

func newTestGroup(tb testing.TB) *testGroup {
	g := &testGroup{tb: tb, path: tb.TempDir(), nodes: make([]*testNode, groupSize)}
	for range groupSize {
		g.addrs = append(g.addrs, fake.FreeAddr())
	}
	tb.Cleanup(func() { g.stop(g.all()...) })
	return g
}

func (g *testGroup) all() []int { return []int{0, 1, 2, 3, 4} }

func (g *testGroup) vm(i int) string { return fmt.Sprint("c", i+1) }

func (g *testGroup) folder(i int) string { return filepath.Join(g.path, g.vm(i)) }

func (g *testGroup) start(bootstrap bool, list ...int) {
	g.tb.Helper()
	for _, i := range list {
		folder, closeFolder := g.openFolder(i)
		l, err := net.Listen("tcp", g.addrs[i].String())
		if err != nil {
			g.tb.Fatal(err)
		}
		timers := clock.New()
		silent := &atomic.Bool{}
		control, err := New(&fullFolder{folder, &g.full[i], &g.syncs[i]}, l, VM(g.vm(i)), Advertise(g.addrs[i]), Seeds(g.addrs[:groupSeeds]),
			Bootstrap(bootstrap), MaxFailures(groupFailures), Clock(timers), Drop(func(string) bool { return silent.Load() }),
			Rollouts(canary.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}))
		if err != nil {
			g.tb.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		n := &testNode{Control: control, cancel: cancel, done: make(chan struct{}), silent: silent}
		go func() {
			defer close(n.done)
			control.Run(ctx)
			closeFolder()
			timers.Stop()
		}()
		g.nodes[i] = n
	}
}

// openFolder opens the data folder of a replica.
func (g *testGroup) openFolder(i int) (folder store.Folder, closeFolder func()) {
	g.tb.Helper()
	if g.disks != nil {
		return g.disks[i].open(), func() {}
	}
	disk, err := store.OpenFolder(g.folder(i))
	if err != nil {
		g.tb.Fatal(err)
	}
	return disk, func() { disk.Close() }
}

func (g *testGroup) stop(list ...int) {
	for _, i := range list {
		if n := g.nodes[i]; n != nil {
			n.cancel()
			<-n.done
			g.nodes[i] = nil
		}
	}
}

func (g *testGroup) wipe(list ...int) {
	g.tb.Helper()
	for _, i := range list {
		if err := os.RemoveAll(g.folder(i)); err != nil {
			g.tb.Fatal(err)
		}
	}
}

// complete reports whether every running replica is a member, knows a leader and
// sees a group of n voters.
func (g *testGroup) complete(n int) bool {
	for _, node := range g.nodes {
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

func (g *testGroup) await(what string, limit time.Duration, ok func() bool) {
	g.tb.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			for _, node := range g.nodes {
				if node != nil {
					s := node.status.Load()
					g.tb.Logf("%s: %s, leader %x, group %s", node.options.VM, s.Role, uint64(s.Leader), s.Group)
				}
			}
			g.tb.Fatalf("%s not reached within %s", what, limit)
		}
	}
}

func newPlan(version uint64, rate float64) ticket.Ticket {
	return ticket.NewPlan(version, fmt.Appendf(nil, "plan %d at %g", version, rate), state.Workspace{Name: "w", Rate: rate, Burst: 10})
}

// propose proposes a plan through a replica until it is acknowledged.
func (g *testGroup) propose(i int, plan ticket.Ticket) {
	g.tb.Helper()
	g.await("acknowledgement", 10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := g.nodes[i].ProposePlan(ctx, plan, "test")
		return err == nil
	})
}

// read returns the plan version of a linearizable read at a replica.
func (g *testGroup) read(i int) uint64 {
	g.tb.Helper()
	version := uint64(0)
	g.await("read", 10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		l, err := g.nodes[i].Current(ctx)
		version = l.Plan().Version
		return err == nil
	})
	return version
}

func TestGroupBootstrapsFromSeedsInAnyStartOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		g := newTestGroup(t)
		random := rand.New(rand.NewPCG(seed, 1))
		for _, i := range random.Perm(groupSize) {
			g.start(true, i)
			time.Sleep(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
		}
		g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
		g.stop(g.all()...)
	}
}

func TestGroupRecoversAfterFullRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.propose(4, newPlan(7, 1))
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.stop(g.all()...)
	g.start(false, g.all()...)
	for i := range groupSize {
		is.Equal(g.read(i), uint64(7))
	}
}

// A replica that restarts with a blank disk must not vote as the member that it was.
func TestReplicaWithWipedDiskRejoinsUnderNewIdentity(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(0, newPlan(7, 1))
	old := g.nodes[1].identity.ID
	g.stop(1)
	g.wipe(1)
	g.start(false, 1)
	g.await("complete group", 2*time.Second, func() bool { return g.complete(groupSize) })
	s := g.nodes[0].status.Load()
	_, known := s.Group.Get(old)
	is.True(!known)
	is.Equal(g.read(1), uint64(7))
}

func TestAcknowledgedPlanSurvivesLossOfTwoDisks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(3, newPlan(7, 1))
	g.stop(g.all()...)
	leader, follower := 0, 3
	g.wipe(leader, follower)
	g.start(false, g.all()...)
	for i := range groupSize {
		is.Equal(g.read(i), uint64(7))
	}
	g.await("complete group", 10*time.Second, func() bool { return g.complete(groupSize) })
}

// Three disks must hold a ticket before it is acknowledged, even while only the
// founders are in the group.
func TestFoundersAcknowledgeOnlyWithThreeDisks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, 0, 1, 2)
	g.propose(0, newPlan(7, 1))
	s := g.nodes[0].status.Load()
	is.Equal(s.Group.VoterCount(), groupSeeds)
	g.stop(2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := g.nodes[0].ProposePlan(ctx, newPlan(8, 1), "test")
	is.True(err != nil) // two disks do not acknowledge
}

// Two disks are lost right after the first acknowledgement. At that time the group
// may consist of its founders only, or other replicas may have just joined.
func TestAcknowledgedPlanSurvivesLossOfTwoDisksDuringBootstrap(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, lost := range [][]int{{0, 1}, {1, 2}, {2, 4}} {
		g := newTestGroup(t)
		g.start(true, g.all()...)
		g.propose(lost[0], newPlan(7, 1))
		g.stop(g.all()...)
		g.wipe(lost...)
		g.start(false, g.all()...)
		for i := range groupSize {
			is.Equal(g.read(i), uint64(7))
		}
		g.await("complete group", 10*time.Second, func() bool { return g.complete(groupSize) })
		g.stop(g.all()...)
	}
}

func TestBlankReplicaAtNewAddressReplacesLostOne(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(0, newPlan(7, 1))
	lost := g.nodes[0].identity.ID
	g.stop(0)
	g.addrs = append(g.addrs, fake.FreeAddr())
	g.nodes = append(g.nodes, nil)
	g.start(false, 5)
	g.await("complete group", 4*time.Second, func() bool {
		_, known := g.nodes[1].status.Load().Group.Get(lost)
		return !known && g.complete(groupSize)
	})
	is.Equal(g.read(5), uint64(7))
	g.stop(5)
}

func TestReplicaRemovedWhileStoppedRejoins(t *testing.T) {
	t.Parallel()
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	leader := g.leader()
	stopped := (leader + 1) % groupSize
	id := g.nodes[stopped].identity.ID
	g.stop(stopped)
	leading := g.nodes[leader]
	g.await("removal", 4*time.Second, func() bool {
		leading.do(context.Background(), func() { leading.node.Remove(id) })
		_, known := leading.status.Load().Group.Get(id)
		return !known
	})
	g.start(false, stopped)
	g.await("complete group", 6*time.Second, func() bool { return g.complete(groupSize) })
}

// leader waits for a leader and returns its position.
func (g *testGroup) leader() int {
	at := 0
	g.await("elected leader", 4*time.Second, func() bool {
		for i, n := range g.nodes {
			if n != nil && n.status.Load().Role == quorum.Leader {
				at = i
				return true
			}
		}
		return false
	})
	return at
}

func TestConcurrentPlansConvergeOnHighestVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.propose(1, newPlan(9, 9))
		g.propose(1, newPlan(9, 9)) // a duplicate is acknowledged again
	}()
	g.propose(2, newPlan(8, 8))
	<-done
	g.propose(3, newPlan(9, 1)) // other content under a current version has no effect
	for i := range groupSize {
		is.Equal(g.read(i), uint64(9))
		w, _ := state.Get[state.Workspace](g.nodes[i].Ledger().State(), "w")
		is.Equal(w.Rate, 9.0)
	}
}

func TestAcknowledgedLeavingPhaseSurvivesLossOfAcknowledgingReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	s := state.Target{Name: "s1", Pool: "p", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: state.TargetWarm, Boot: 1, Count: 1}
	leaving := s.WithPhase(state.TargetLeaving)
	leaving.Count = 2
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	is.NoErr(g.nodes[4].Register(ctx, s))
	is.NoErr(g.nodes[4].Register(ctx, leaving))
	g.stop(4)
	g.wipe(4)
	is.NoErr(g.nodes[1].Register(ctx, s)) // a delayed announcement
	g.read(1)
	known, _, err := g.nodes[1].Registered(ctx, "s1")
	is.NoErr(err)
	is.Equal(known.Phase, state.TargetLeaving)
}

// The call that removes a server has no number of its own and gets the one after the last. A
// replica that lagged behind took an old one, or none, and acknowledged a removal without
// effect.
func TestRemovalAtALaggingReplicaIsTheLastWord(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, lagging := newCompleteGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	const pause = 400 * time.Millisecond // shorter than an election timeout
	go g.nodes[lagging].do(context.Background(), func() { time.Sleep(pause) })
	time.Sleep(pause / 8)
	s := state.Target{Name: "s1", Pool: "p", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: state.TargetWarm, Boot: 7, Count: 5}
	is.NoErr(g.nodes[leader].Register(ctx, s))
	_, known, err := g.nodes[lagging].Registered(ctx, "s1")
	is.NoErr(err)
	is.True(known)
	is.NoErr(g.nodes[lagging].Deregister(ctx, "s1", 7))
	now, _, err := g.nodes[leader].Registered(ctx, "s1")
	is.NoErr(err)
	is.Equal(now.Phase, state.TargetGone)
}

func TestReadFailsWithoutMajority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(0, newPlan(7, 1))
	g.stop(0, 1, 2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := g.nodes[4].Current(ctx)
	is.True(err != nil)
}

// A replica that lags behind, for example after a pause, must not answer a read with
// its state from before it caught up.
func TestReadOnLaggingReplicaWaitsUntilCaughtUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(0, newPlan(7, 1))
	leader := g.leader()
	lagging := (leader + 1) % groupSize
	is.Equal(g.read(lagging), uint64(7))
	const pause = 400 * time.Millisecond // shorter than an election timeout
	go g.nodes[lagging].do(context.Background(), func() { time.Sleep(pause) })
	time.Sleep(pause / 8)
	g.propose(leader, newPlan(8, 1))
	is.Equal(g.read(lagging), uint64(8))
}

// Guards against a server that has become cold again and is taken for warm, because a replica
// that lagged behind acknowledged its announcement without effect.
func TestAnnouncementAtALaggingReplicaIsNotAcknowledgedWithoutEffect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, lagging := newCompleteGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	announce := func(i int, phase state.TargetPhase, count uint64) {
		s := state.Target{Name: "s1", Pool: "p", DataCentre: "a", Addr: "10.0.0.1:80", Slots: 4, Phase: phase, Boot: 7, Count: count}
		is.NoErr(g.nodes[i].Register(ctx, s))
	}
	announce(lagging, state.TargetCold, 1)
	const pause = 400 * time.Millisecond // shorter than an election timeout
	go g.nodes[lagging].do(context.Background(), func() { time.Sleep(pause) })
	time.Sleep(pause / 8)
	announce(leader, state.TargetWarm, 2)
	announce(lagging, state.TargetCold, 3)
	now, _, err := g.nodes[leader].Registered(ctx, "s1")
	is.NoErr(err)
	is.Equal(now.Phase, state.TargetCold)
}
