package limit

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// fixedLeases is a lease table in which one VM holds every lease.
type fixedLeases struct {
	vm, holder string
	since      time.Time
}

func (l fixedLeases) Held(string) (time.Time, bool) { return l.since, l.vm == l.holder }
func (l fixedLeases) Holder(string) (string, bool)  { return l.holder, true }

func (fixedLeases) ReportSuccess(string) {}

func (fixedLeases) ReportFailure(string) {}

// node is one VM's limiter with its link to the others.
type node struct {
	*Distributed
	link link.Transport
	addr *net.TCPAddr
}

func startNodes(t *testing.T, current func() state.State, vms ...string) []*node {
	t.Helper()
	c := clock.New()
	t.Cleanup(c.Stop)
	var nodes []*node
	for _, vm := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{addr: l.Addr().(*net.TCPAddr)}
		n.link = link.New(l, link.VM(vm), link.Receive(func(from string, m *wire.Envelope) { n.Receive(from, m) }))
		leases := fixedLeases{vm: vm, holder: vms[0], since: time.Now().Add(-time.Hour)}
		n.Distributed = NewDistributed(vm, c, n.link, leases, current)
		stop := c.Every(25*time.Millisecond, n.Tick)
		t.Cleanup(stop)
		t.Cleanup(n.link.Stop)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for i, other := range nodes {
			n.link.SetPeer(vms[i], other.addr.AddrPort())
		}
	}
	return nodes
}

func stateWith(w state.Workspace) func() state.State {
	s, _ := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{w}})
	return func() state.State { return s }
}

func TestBurstIsAdmittedAcrossVMs(t *testing.T) {
	is := is.New(t)
	w := state.Workspace{Name: "west", Rate: 5, Burst: 10}
	nodes := startNodes(t, stateWith(w), "e1", "e2", "e3", "e4")
	var group sync.WaitGroup
	var admitted atomic.Int64
	for i := range 40 {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if nodes[i%4].Admit(ctx, &w).OK {
				admitted.Add(1)
			}
		})
	}
	group.Wait()
	is.True(admitted.Load() >= int64(capacity(w.Rate, w.Burst)))
	is.True(admitted.Load() <= 10+5) // the burst, and the refill during the test
}

func TestRequestsInsideTheRateAreAdmitted(t *testing.T) {
	is := is.New(t)
	w := state.Workspace{Name: "east", Rate: 200, Burst: 100}
	nodes := startNodes(t, stateWith(w), "e1", "e2", "e3")
	var group sync.WaitGroup
	var refused atomic.Int64
	random := rand.New(rand.NewPCG(1, 1))
	const requests = 600
	for range requests {
		vm := nodes[random.IntN(3)]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			if !vm.Admit(ctx, &w).OK {
				refused.Add(1)
			}
		})
		time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 180))
	}
	group.Wait()
	is.True(float64(refused.Load()) <= 0.001*requests)
}

// Granted tokens are used at a random time of their lifetime. Requests must stay within
// rate and burst in every interval, also if tokens of several grants are used together.
func TestGrantsNeverExceedRateAndBurst(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		rate, burst := 1+random.Float64()*200, 2+random.Float64()*100
		now := time.Unix(0, 0)
		b := NewBucket(rate, burst, now)
		var uses []time.Time
		for range 400 {
			now = now.Add(time.Duration(random.Int64N(int64(40 * time.Millisecond))))
			g := b.Take(1+random.IntN(20), MaxWait, now)
			for range g.Tokens {
				delay := time.Duration(random.Float64() * float64(g.Lifetime))
				uses = append(uses, now.Add(g.Wait+delay))
			}
		}
		checkIntervals(t, seed, uses, rate, burst)
	}
}

func checkIntervals(t *testing.T, seed uint64, uses []time.Time, rate, burst float64) {
	t.Helper()
	slices.SortFunc(uses, time.Time.Compare)
	slack := 1e-6 + rate*minLifetime.Seconds()
	for i, first := range uses {
		for n, last := range uses[i:] {
			if allowed := burst + rate*last.Sub(first).Seconds() + slack; float64(n+1) > allowed {
				t.Fatalf("seed %d: %d tokens used within %s, %.1f allowed", seed, n+1, last.Sub(first), allowed)
			}
		}
	}
}

func FuzzTokenMessages(f *testing.F) {
	f.Add(uint32(1), uint32(0), uint64(1000), uint64(1), uint64(0), uint64(5000))
	f.Add(uint32(1<<31), uint32(1<<31), uint64(1<<63), uint64(1<<63), uint64(1<<63), uint64(1<<63))
	w := state.Workspace{Name: "w", Rate: 10, Burst: 10}
	f.Fuzz(func(t *testing.T, tokens, returned uint32, maxWait, seq, wait, lifetime uint64) {
		s := NewDistributed("e1", clock.NewManual(time.Unix(100, 0)), nil, fixedLeases{vm: "e1", holder: "e1"}, stateWith(w))
		answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: tokens, Returned: returned, MaxWaitMicros: maxWait}, time.Unix(100, 0))
		if answer.GetTokens() > 10 {
			t.Fatalf("%d tokens granted of a burst of 10", answer.GetTokens())
		}
		c := s.client("w", time.Unix(100, 0))
		c.holder, c.seq = "e2", seq
		c.asks.add(ask{seq: seq, sentAt: time.Unix(100, 0)})
		s.receiveAnswer("e2", &wire.TokenAnswer{Workspace: "w", Seq: seq, Tokens: tokens, WaitMicros: wait, LifetimeMicros: lifetime})
	})
}

func BenchmarkAdmitFromCache(b *testing.B) {
	w := state.Workspace{Name: "w", Rate: 1e6, Burst: 1e7}
	s := NewDistributed("e1", clock.New(), nil, fixedLeases{vm: "e1", holder: "e1", since: time.Now().Add(-time.Hour)}, stateWith(w))
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		s.Admit(ctx, &w)
	}
}

func BenchmarkGrant(b *testing.B) {
	w := state.Workspace{Name: "w", Rate: 1e6, Burst: 1e7}
	s := NewDistributed("e1", clock.New(), nil, fixedLeases{vm: "e1", holder: "e1", since: time.Now().Add(-time.Hour)}, stateWith(w))
	request := &wire.TokenAsk{Workspace: "w", Tokens: 1, MaxWaitMicros: 1000}
	b.ReportAllocs()
	for b.Loop() {
		s.mu.Lock()
		s.grant(request, time.Now())
		s.mu.Unlock()
	}
}

// The holder of a workspace's shard renews its leases together, so 64 shards cost the
// messages of 16.
func TestShardsAreAssignedInGroups(t *testing.T) {
	is := is.New(t)
	groups := make(map[string]int)
	for i := range ShardCount {
		groups[ShardGroup(ShardName(i))]++
	}
	is.Equal(len(groups), ShardCount/shardsPerGroup)
	for _, n := range groups {
		is.Equal(n, shardsPerGroup)
	}
	is.Equal(ShardGroup("p/loan-desk"), "p/loan-desk")
	is.Equal(ShardGroup("w1x"), "w1x")
}

// recordingLink loses all messages.
type recordingLink struct {
	link.Transport

	sent []*wire.TokenAsk
}

func (l *recordingLink) Send(_ string, e *wire.Envelope) bool {
	l.sent = append(l.sent, e.GetTokenAsk())
	return true
}

// A token request that is lost is repeated while a caller waits for it, and nothing wakes
// the process otherwise.
func TestLostTokenRequestIsRepeated(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	w := state.Workspace{Name: "east", Rate: 10, Burst: 10}
	links := &recordingLink{}
	d := NewDistributed("e1", manual, links, fixedLeases{vm: "e1", holder: "e2"}, stateWith(w))
	admitted := make(chan Admission, 1)
	go func() { admitted <- d.Admit(t.Context(), &w) }()
	waiting := func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.clients) > 0 && len(d.clients["east"].pending) > 0
	}
	for !waiting() {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(links.sent), 1)
	manual.Advance(minAskTimeout + pendingInterval)
	is.Equal(len(links.sent), 2)
	d.receiveAnswer("e2", &wire.TokenAnswer{Workspace: "east", Seq: links.sent[1].GetSeq(), Tokens: 1, LifetimeMicros: 100_000})
	is.True((<-admitted).OK)
	manual.Advance(time.Minute)
	is.Equal(len(links.sent), 2)
}
