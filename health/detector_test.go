package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bench feeds a judge with the results of a pool under load.
type bench struct {
	judge   *Detector
	random  *rand.Rand
	names   []string
	now     time.Time
	service func(name string) Result
	events  []Ejection
	first   map[string]time.Duration
	began   time.Time
}

func newBench(seed uint64, servers int) *bench {
	b := &bench{
		judge: NewDetector(), random: rand.New(rand.NewPCG(seed, 5)),
		now: time.Unix(5000, 0), first: make(map[string]time.Duration),
	}
	for i := range servers {
		b.names = append(b.names, fmt.Sprintf("b%02d", i))
	}
	b.service = func(string) Result { return b.ok(1) }
	return b
}

// ok is a good answer with a heavy-tailed latency around 25 ms.
func (b *bench) ok(factor float64) Result {
	latency := 25e6 * factor * math.Exp(b.random.NormFloat64())
	return Result{Kind: OK, Latency: time.Duration(latency)}
}

// run feeds results at a rate for each server and second.
func (b *bench) run(span time.Duration, rate, floor float64) {
	b.began = b.now
	for end := b.now.Add(span); b.now.Before(end); b.now = b.now.Add(bucketSpan) {
		out := make(map[string]bool)
		for _, e := range b.judge.Ejected() {
			out[e.Target] = true
		}
		for _, name := range b.names {
			if !out[name] {
				b.feed(name, rate)
			}
		}
		v := b.judge.Evaluate(b.names, floor, 0, b.now)
		b.events = append(b.events, v.Ejected...)
		for _, e := range v.Ejected {
			if _, ok := b.first[e.Target]; !ok {
				b.first[e.Target] = b.now.Sub(b.began)
			}
		}
		if n := len(b.judge.Ejected()); n > MaxEjected(len(b.names), floor) {
			panic("floor broken")
		}
	}
}

func (b *bench) feed(name string, rate float64) {
	expected := rate * bucketSpan.Seconds()
	n := int(expected)
	if b.random.Float64() < expected-float64(n) {
		n++
	}
	var t Stats
	for range n {
		t.Add(b.service(name))
	}
	b.judge.AddReport(fmt.Sprint("e", b.random.IntN(40)), Report{Target: name, Stats: t}, b.now)
}

func TestGrayFailuresAreFound(t *testing.T) {
	for kind, c := range map[string]struct {
		service func(b *bench) Result
		limit   time.Duration
	}{
		"five times slower": {func(b *bench) Result { return b.ok(5) }, 3 * time.Second},
		"20% errors": {func(b *bench) Result {
			if b.random.Float64() < 0.2 {
				return Result{Kind: Failed}
			}
			return b.ok(1)
		}, 3 * time.Second},
		"unreachable": {func(*bench) Result { return Result{Kind: Unreachable} }, time.Second},
		"all torn":    {func(*bench) Result { return Result{Kind: Torn} }, time.Second},
	} {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				b := newBench(seed, 30)
				b.run(3*time.Second, 40, 0.6)
				b.service = func(name string) Result {
					if name == "b07" {
						return c.service(b)
					}
					return b.ok(1)
				}
				b.run(4*time.Second, 40, 0.6)
				took, found := b.first["b07"]
				is.True(found)
				is.True(took <= c.limit)
				is.Equal(len(b.first), 1) // nobody else
			}
		})
	}
}

func TestStuckRequestsEject(t *testing.T) {
	is := is.New(t)
	b := newBench(1, 10)
	b.run(2*time.Second, 40, 0.5)
	b.service = func(name string) Result {
		if name == "b03" {
			return Result{Kind: Cancelled}
		}
		return b.ok(1)
	}
	for i := range 10 {
		age := time.Duration(i) * bucketSpan
		for _, vm := range []string{"x1", "x2"} {
			b.judge.AddReport(vm, Report{Target: "b03", Oldest: age, InFlight: 1}, b.now)
		}
		b.run(bucketSpan, 40, 0.5)
	}
	is.Equal(b.events, []Ejection{{"b03", Stuck}})
}

func TestHealthyHeavyTailEjectsNobody(t *testing.T) {
	is := is.New(t)
	b := newBench(3, 30)
	b.run(10*time.Minute, 40, 0.6)
	is.Equal(len(b.events), 0)
}

func TestOverloadEjectsNobody(t *testing.T) {
	is := is.New(t)
	b := newBench(4, 30)
	b.run(5*time.Second, 40, 0.6)
	b.service = func(string) Result {
		if b.random.Float64() < 0.3 {
			return Result{Kind: TimedOut}
		}
		return b.ok(8)
	}
	b.run(time.Minute, 40, 0.6)
	is.Equal(len(b.events), 0)
}

// TestTimeOutsOfAllEjectNobody lets the time-outs of an overload begin at one server.
func TestTimeOutsOfAllEjectNobody(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		b := newBench(seed, 30)
		b.run(3*time.Second, 20, 0.6)
		b.service = func(name string) Result {
			share := 0.1
			if name == "b07" {
				share = 0.35
			}
			if b.random.Float64() < share {
				return Result{Kind: TimedOut}
			}
			return b.ok(15)
		}
		b.run(10*time.Second, 20, 0.6)
		is.Equal(len(b.events), 0)
	}
}

// TestOverloadWithFewSlotsEjectsNobody has long queues at every server: many
// requests are overtaken, and gaps between good answers are long.
func TestOverloadWithFewSlotsEjectsNobody(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		b := newBench(seed, 30)
		b.run(3*time.Second, 20, 0.6)
		b.service = func(string) Result {
			if b.random.Float64() < 0.4 {
				return Result{Kind: Late}
			}
			return b.ok(20)
		}
		b.run(10*time.Second, 8, 0.6)
		is.Equal(len(b.events), 0)
	}
}

func TestFloorHoldsWhileServersComeAndGo(t *testing.T) {
	is := is.New(t)
	b := newBench(5, 20)
	sick := func(name string) bool { return name < "b15" }
	b.service = func(name string) Result {
		if sick(name) {
			return Result{Kind: Unreachable}
		}
		return b.ok(1)
	}
	b.run(20*time.Second, 40, 0.6)
	is.Equal(len(b.judge.Ejected()), 8)
	b.names = b.names[5:]
	b.run(time.Second, 40, 0.6)
	is.True(len(b.judge.Ejected()) <= 6)
}

func TestFlappingIsDamped(t *testing.T) {
	is := is.New(t)
	b := newBench(6, 10)
	b.service = func(name string) Result {
		if name == "b00" {
			return Result{Kind: Unreachable}
		}
		return b.ok(1)
	}
	b.run(2*time.Minute, 40, 0.5)
	is.True(len(b.events) <= 6) // 5 s, 10 s, 20 s, 40 s, 60 s, ...
}
