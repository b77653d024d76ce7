package ctrl

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
)

var (
	powerCount = flag.Uint64("power-losses", 1, "number of power losses of each kind")
	powerFirst = flag.Uint64("power-seed", 1, "random seed of the first power loss of each kind")
)

// recovery is the time in which a group is complete again after a power loss of all of it, as the
// platform's pages state it.
const recovery = 15 * time.Second

// powerRun changes a group all the while, until all its VMs lose power at the same moment.
type powerRun struct {
	*testGroup
	random *rand.Rand

	mu      sync.Mutex
	running map[int]*Control
	// hasLostPower is set from the power loss on; nothing counts as acknowledged then.
	hasLostPower bool
	version      uint64 // the newest acknowledged plan
	firstAck     chan struct{}
	orders       map[string]state.DataCentreState // acknowledged, by data centre; "" if unknown
	operators    sync.WaitGroup
	// spent is the VM whose disk counts as lost already, or -1.
	spent int
}

func newPowerRun(tb testing.TB, seed uint64) *powerRun {
	p := &powerRun{
		testGroup: newTestGroup(tb), random: rand.New(rand.NewPCG(seed, 41)), running: make(map[int]*Control),
		firstAck: make(chan struct{}), orders: make(map[string]state.DataCentreState), spent: -1,
	}
	for i := range groupSize {
		p.disks = append(p.disks, newPowerDisk(seed*100+uint64(i)))
	}
	return p
}

func (p *powerRun) boot(bootstrap bool, list ...int) {
	p.tb.Helper()
	for _, i := range list {
		p.start(bootstrap, i)
		p.mu.Lock()
		p.running[i] = p.nodes[i].Control
		p.mu.Unlock()
	}
}

// kill ends the processes of VMs without any last word.
func (p *powerRun) kill(list ...int) {
	var ended sync.WaitGroup
	for _, i := range list {
		n := p.nodes[i]
		if n == nil {
			continue
		}
		p.mu.Lock()
		delete(p.running, i)
		p.mu.Unlock()
		n.silent.Store(true)
		p.disks[i].kill()
		ended.Go(func() {
			n.cancel()
			<-n.done
		})
		p.nodes[i] = nil
	}
	ended.Wait()
}

// addVM adds a VM with a blank disk at a new address.
func (p *powerRun) addVM() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addrs = append(p.addrs, fake.FreeAddr())
	p.nodes = append(p.nodes, nil)
	p.disks = append(p.disks, newPowerDisk(p.random.Uint64()))
	return len(p.nodes) - 1
}

func (p *powerRun) pause(limit time.Duration) {
	time.Sleep(time.Duration(p.random.Int64N(int64(limit))))
}

func (p *powerRun) awaitComplete() {
	p.tb.Helper()
	p.await("complete group", recovery, func() bool { return p.complete(groupSize) })
}

// operate starts operators that send plans and evacuations until the power loss.
func (p *powerRun) operate() {
	ofPlans := rand.New(rand.NewPCG(1, p.random.Uint64()))
	ofOrders := rand.New(rand.NewPCG(2, p.random.Uint64()))
	p.operators.Go(func() {
		for version := uint64(1); ; version++ {
			c, ok := p.pick(ofPlans)
			if !ok {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			outcome, err := c.ProposePlan(ctx, newPlan(version, float64(version)), "test")
			cancel()
			p.acknowledged(err == nil && outcome.Verdict == ledger.Accepted, func() { p.version = version })
		}
	})
	p.operators.Go(func() {
		for {
			c, ok := p.pick(ofOrders)
			if !ok {
				return
			}
			name := fmt.Sprint("d", ofOrders.IntN(3))
			order := []state.DataCentreState{state.DataCentreOut, state.DataCentreIn}[ofOrders.IntN(2)]
			p.mu.Lock()
			before := p.orders[name]
			if before != order {
				p.orders[name] = "" // unknown until it is acknowledged
			}
			p.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			current, err := c.Current(ctx)
			if err == nil {
				err = c.SetDataCentreState(ctx, name, order, "test", current.State().Index())
			}
			cancel()
			p.acknowledged(err == nil, func() { p.orders[name] = order })
		}
	})
}

// pick returns a running replica, and false after the power loss.
func (p *powerRun) pick(random *rand.Rand) (*Control, bool) {
	for {
		p.mu.Lock()
		over := p.hasLostPower
		c := p.running[random.IntN(len(p.nodes))]
		p.mu.Unlock()
		if over || c != nil {
			return c, !over
		}
		time.Sleep(time.Millisecond)
	}
}

// acknowledged records an acknowledgement, if it came before the power loss.
func (p *powerRun) acknowledged(ok bool, record func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || p.hasLostPower {
		return
	}
	record()
	select {
	case <-p.firstAck:
	default:
		close(p.firstAck)
	}
}

// awaitAck waits for the next acknowledged plan.
func (p *powerRun) awaitAck() {
	p.tb.Helper()
	newest := func() uint64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.version
	}
	before := newest()
	for end := time.Now().Add(recovery); newest() == before; time.Sleep(50 * time.Microsecond) {
		if time.Now().After(end) {
			p.tb.Fatal("no acknowledgement")
		}
	}
}

// losePower cuts the power of all VMs and loses the disks of as many as may be lost, then starts
// all of them, each of those at its own or at a new address.
func (p *powerRun) losePower() {
	p.tb.Helper()
	p.mu.Lock()
	p.hasLostPower = true
	p.mu.Unlock()
	for _, disk := range p.disks {
		disk.losePower()
	}
	var list, candidates []int
	for i, n := range p.nodes {
		if n != nil {
			n.silent.Store(true)
			list = append(list, i)
		}
		if n != nil && i != p.spent {
			candidates = append(candidates, i)
		}
	}
	lost := groupFailures
	if p.spent >= 0 {
		lost--
		if p.nodes[p.spent] != nil && p.random.IntN(2) == 0 {
			p.disks[p.spent] = newPowerDisk(p.random.Uint64()) // once more
		}
	}
	p.kill(list...)
	p.operators.Wait()
	p.random.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	gone := make(map[int]bool)
	for _, i := range candidates[:lost] {
		if p.random.IntN(3) == 0 {
			gone[i] = true
			list = append(list, p.addVM())
			continue
		}
		p.disks[i] = newPowerDisk(p.random.Uint64())
	}
	p.random.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	p.tb.Logf("version %d, orders %v; candidates %v, %d lost, gone %v; starts %v", p.version, p.orders, candidates, lost, gone, list)
	for _, i := range list {
		if !gone[i] {
			p.boot(false, i)
			p.pause(100 * time.Millisecond)
		}
	}
}

// check expects a complete group that has everything acknowledged.
func (p *powerRun) check() {
	p.tb.Helper()
	started := time.Now()
	p.awaitComplete()
	p.tb.Logf("complete after %s", time.Since(started).Round(10*time.Millisecond))
	for i, n := range p.nodes {
		if n == nil {
			continue
		}
		version := p.read(i)
		if version < p.version {
			p.tb.Fatalf("%s holds version %d, acknowledged was %d", p.vm(i), version, p.version)
		}
		current := n.Ledger().State()
		if w, _ := state.Get[state.Workspace](current, "w"); w.Rate != float64(version) {
			p.tb.Fatalf("%s holds other content under version %d: rate %g", p.vm(i), version, w.Rate)
		}
		for name, order := range p.orders {
			if order != "" && current.IsDataCentreOut(name) != (order == state.DataCentreOut) {
				p.tb.Fatalf("%s has lost the order that %s is %s", p.vm(i), name, order)
			}
		}
	}
	for i, n := range p.nodes {
		if n != nil {
			p.propose(i, newPlan(1_000_000+uint64(i), 1))
		}
	}
}

// founded starts a complete group and its operators.
func (p *powerRun) founded() {
	p.tb.Helper()
	p.boot(true, p.all()...)
	p.awaitComplete()
	p.operate()
	p.awaitAck()
}

// powerCases lead to the moment of the power loss.
var powerCases = map[string]func(p *powerRun){
	"steady": func(p *powerRun) {
		p.founded()
		p.pause(500 * time.Millisecond)
	},
	"acknowledgement": func(p *powerRun) {
		p.founded()
		p.pause(100 * time.Millisecond)
		p.awaitAck()
	},
	"extension": func(p *powerRun) {
		p.operate()
		restarted := p.random.IntN(2 * groupSeeds)
		for _, i := range p.random.Perm(groupSize) {
			p.boot(true, i)
			p.pause(100 * time.Millisecond)
		}
		if restarted < groupSeeds {
			p.kill(restarted)
			p.pause(300 * time.Millisecond)
			p.boot(false, restarted)
		}
		select {
		case <-p.firstAck:
		case <-time.After(recovery):
			p.tb.Fatal("no acknowledgement")
		}
		p.pause(100 * time.Millisecond)
	},
	// All founders are restarted before the group is extended.
	"restarted-founders": func(p *powerRun) {
		p.boot(true, 0, 1, 2)
		p.await("group of the founders", recovery, func() bool { return p.complete(groupSeeds) })
		p.kill(0, 1, 2)
		p.operate()
		p.boot(false, p.random.Perm(groupSeeds)...)
		p.pause(500 * time.Millisecond)
		p.boot(true, 3, 4)
		select {
		case <-p.firstAck:
		case <-time.After(recovery):
			p.tb.Fatal("no acknowledgement")
		}
		p.pause(20 * time.Millisecond)
	},
	"blank-disk": func(p *powerRun) {
		p.founded()
		p.spent = p.random.IntN(groupSize)
		p.kill(p.spent)
		p.disks[p.spent] = newPowerDisk(p.random.Uint64())
		p.pause(300 * time.Millisecond)
		p.boot(false, p.spent)
		p.pause(1500 * time.Millisecond)
	},
	"new-address": func(p *powerRun) {
		p.founded()
		p.spent = p.random.IntN(groupSize)
		p.kill(p.spent)
		p.pause(300 * time.Millisecond)
		p.boot(false, p.addVM())
		p.pause(4 * time.Second)
	},
	"election": func(p *powerRun) {
		p.founded()
		leader := p.leader()
		p.kill(leader)
		p.pause(time.Second)
		p.boot(false, leader)
		p.pause(1500 * time.Millisecond)
	},
	"kills": func(p *powerRun) {
		p.founded()
		for range 6 {
			killed := p.random.Perm(groupSize)[:1+p.random.IntN(groupFailures)]
			p.pause(150 * time.Millisecond)
			p.kill(killed...)
			p.pause(100 * time.Millisecond)
			p.boot(false, killed...)
		}
		p.pause(100 * time.Millisecond)
	},
	"snapshot": func(p *powerRun) {
		p.founded()
		for range 10 {
			i := p.random.IntN(groupSize)
			c := p.nodes[i].Control
			p.tb.Logf("snapshot of %s", p.vm(i))
			c.do(context.Background(), func() { c.writeSnapshot() })
			if p.random.IntN(4) == 0 {
				p.kill(i)
				p.pause(200 * time.Millisecond)
				p.boot(false, i)
			}
			p.pause(50 * time.Millisecond)
		}
	},
}

// Guards against acknowledged plans and evacuations that are lost with as many disks as may be
// lost, when all other control VMs lose power at that moment (LOST).
func TestAcknowledgedChangesSurviveLostDisksAndAPowerLossOfAllOthers(t *testing.T) {
	for name, lead := range powerCases {
		for seed := *powerFirst; seed < *powerFirst+*powerCount; seed++ {
			t.Run(fmt.Sprint(name, " seed ", seed), func(t *testing.T) {
				t.Parallel()
				p := newPowerRun(t, seed)
				lead(p)
				p.losePower()
				p.check()
			})
		}
	}
}

// Guards against founders that are left alone, and stand still for good once one of their disks is
// lost in a power loss (RECOVER).
func TestFoundersAloneRecoverFromOneLostDisk(t *testing.T) {
	for seed := range uint64(groupSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			p := newPowerRun(t, seed)
			founders := []int{0, 1, 2}
			p.boot(true, founders...)
			p.propose(0, newPlan(7, 7)) // once the others are late
			p.kill(founders...)
			for _, disk := range p.disks {
				disk.losePower()
			}
			p.disks[seed] = newPowerDisk(seed)
			p.boot(false, founders...)
			p.await("complete group", recovery, func() bool { return p.complete(groupSeeds) })
			for _, i := range founders {
				if version := p.read(i); version != 7 {
					t.Fatalf("%s holds version %d", p.vm(i), version)
				}
			}
			p.propose(0, newPlan(8, 8))
		})
	}
}
