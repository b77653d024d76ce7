package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// net is a handful of cores that pass messages at once, by hand-driven time.
type net struct {
	now   time.Time
	cores map[string]*core
	homes map[string]*homes
	cut   map[[2]string]bool
	bytes int
}

func newNet(n int) *net {
	w := &net{now: time.Unix(1000, 0), cores: map[string]*core{}, homes: map[string]*homes{}, cut: map[[2]string]bool{}}
	for i := range n {
		w.add(fmt.Sprintf("e%02d", i), uint64(i+1))
	}
	w.run(10 * time.Second)
	return w
}

func (w *net) add(vm string, boot uint64) {
	self := Member{VM: vm, Addr: "127.0.0.1:1", Condition: Alive, Boot: boot}
	w.cores[vm] = newCore(self, []string{"e00", "e01"}, w.now)
	w.homes[vm] = newHomes(vm)
}

// settle delivers all messages.
func (w *net) settle() {
	for moved := true; moved; {
		moved = false
		for from, c := range w.cores {
			for _, o := range c.effects().send {
				to := w.cores[o.to]
				if to == nil || w.cut[[2]string{from, o.to}] {
					continue
				}
				moved = true
				w.bytes += len(o.message.items)
				to.receive(from, o.message, w.now)
			}
		}
	}
}

func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickPeriod)
		for vm, c := range w.cores {
			c.tick(w.now)
			for _, item := range w.homes[vm].expired(w.now, c) {
				c.put(item, "", w.now)
			}
		}
		w.settle()
	}
}

// agree expects every core to know exactly n members.
func (w *net) agree(t *testing.T, n int, except ...string) {
	t.Helper()
	for vm, c := range w.cores {
		if len(except) > 0 && vm == except[0] {
			continue
		}
		if len(c.members) != n {
			t.Fatalf("%s knows %d members, not %d", vm, len(c.members), n)
		}
	}
}

func TestJoinsLeavesAndARackLost(t *testing.T) {
	w := newNet(44)
	w.agree(t, 44)
	for i := range 8 {
		delete(w.cores, fmt.Sprintf("e%02d", 10+i))
	}
	w.run(silenceLimit + suspectLimit + 3*time.Second)
	w.agree(t, 36)

	w.cores["e20"].leave(w.now)
	w.settle()
	delete(w.cores, "e20")
	w.agree(t, 35)

	w.add("e10", 999)
	w.run(3 * time.Second)
	w.agree(t, 36)
}

func TestADataCentreLostAtOnce(t *testing.T) {
	w := newNet(45)
	for i := range 15 {
		delete(w.cores, fmt.Sprintf("e%02d", 3*i))
	}
	w.run(silenceLimit + suspectLimit + 6*time.Second)
	w.agree(t, 30)
}

func TestAMemberThatIsNotHeardIsLostAndComesBack(t *testing.T) {
	is := is.New(t)
	w := newNet(12)
	for vm := range w.cores {
		w.cut[[2]string{"e05", vm}] = true
	}
	w.run(silenceLimit + suspectLimit + 2*time.Second)
	w.agree(t, 11, "e05")
	clear(w.cut)
	w.run(4 * time.Second)
	w.agree(t, 12)
	is.Equal(w.cores["e03"].members["e05"].Condition, Alive)
}

func TestOneCutEdgeDoesNotLoseAMember(t *testing.T) {
	w := newNet(12)
	neighbour := neighboursOf("e05", w.cores["e05"].vms())[0]
	w.cut[[2]string{"e05", neighbour}] = true
	w.run(20 * time.Second)
	w.agree(t, 12)
}

func TestAMemberWhoseClockWentBackIsHeard(t *testing.T) {
	w := newNet(6)
	delete(w.cores, "e04")
	w.run(8 * time.Second)
	w.add("e04", 1) // an older boot than the one that is known to be dead
	w.run(4 * time.Second)
	w.agree(t, 6)
}

func TestItemsReachEveryoneOnceAndOldOnesNever(t *testing.T) {
	is := is.New(t)
	w := newNet(44)
	target := Target{Name: "b1", Pool: "p", Phase: Warm, Lifetime: time.Hour, Boot: 7, Count: 9, Home: "e01"}
	w.bytes = 0
	w.cores["e01"].put(target.item(false), "", w.now)
	w.settle()
	is.True(w.bytes <= 44*2*rings) // at most once over every edge
	old := target.WithPhase(Cold)
	old.Count = 8
	is.True(!w.cores["e30"].put(old.item(false), "", w.now))
	for _, c := range w.cores {
		is.Equal(c.board.items[Key{KindTarget, "b1"}].Version, Version{7, 18})
	}
}

func TestATargetOutlivesItsHomeByOneLifetime(t *testing.T) {
	is := is.New(t)
	w := newNet(10)
	target := Target{Name: "b1", Pool: "p", Phase: Warm, Lifetime: 5 * time.Second, Boot: 7, Count: 1, Home: "e03"}
	w.cores["e03"].put(target.item(false), "", w.now)
	w.homes["e03"].heard["b1"] = w.now
	w.settle()
	delete(w.cores, "e03")
	w.run(4 * time.Second)
	is.True(!w.cores["e07"].board.items[Key{KindTarget, "b1"}].Removed)
	w.run(12 * time.Second)
	is.True(w.cores["e07"].board.items[Key{KindTarget, "b1"}].Removed)
}

func TestLostItemsAreRepaired(t *testing.T) {
	is := is.New(t)
	w := newNet(12)
	for from := range w.cores {
		w.cut[[2]string{from, "e08"}] = true
	}
	target := Target{Name: "b1", Pool: "p", Phase: Warm, Lifetime: time.Hour, Boot: 7, Count: 1, Home: "e01"}
	w.cores["e01"].put(target.item(false), "", w.now)
	w.settle()
	clear(w.cut)
	w.run(sumsEvery * tickPeriod * (2*rings + 1))
	_, ok := w.cores["e08"].board.items[Key{KindTarget, "b1"}]
	is.True(ok)
}

func FuzzGossip(f *testing.F) {
	f.Add("e01", uint64(1), uint64(4), false, []byte("x"), uint8(0))
	f.Fuzz(func(_ *testing.T, name string, boot, count uint64, removed bool, body []byte, kind uint8) {
		kinds := []Kind{KindMember, KindTarget, KindBeacon, KindVoter, KindLease, KindEjection}
		c := newCore(Member{VM: "e01", Condition: Alive, Boot: 1}, nil, time.Unix(0, 0))
		item := Item{Key: Key{kinds[int(kind)%len(kinds)], name}, Version: Version{boot, count}, Removed: removed, Body: body}
		c.receive("e02", gossip{items: []Item{item}, sums: []uint64{1}, want: []uint32{1 << 31}}, time.Unix(1, 0))
		c.tick(time.Unix(2, 0))
		c.effects()
	})
}

// After a power loss entries meet those that asked the same control VM first: two parts
// of the fleet that do not know of each other. One word of one member joins them.
func TestTwoPartsOfAFleetBecomeOne(t *testing.T) {
	w := newNet(24)
	for i := range 24 {
		vm := fmt.Sprintf("z%02d", i)
		w.cores[vm] = newCore(Member{VM: vm, Addr: "127.0.0.1:1", Condition: Alive, Boot: 1}, []string{"z00"}, w.now)
		w.homes[vm] = newHomes(vm)
	}
	w.run(5 * time.Second)
	w.agree(t, 24)
	w.cores["e01"].addSeed("z03")
	w.run(3 * time.Second)
	w.agree(t, 48)
}
