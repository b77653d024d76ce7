package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation feeds a detector with the results of a pool under load.
type simulation struct {
	detector      *Detector
	random        *rand.Rand
	names         []string
	now           time.Time
	service       func(name string) Result
	ejections     []Ejection
	firstEjection map[string]time.Duration
	startTime     time.Time
}

func newSimulation(seed uint64, servers int) *simulation {
	s := &simulation{
		detector: NewDetector(), random: rand.New(rand.NewPCG(seed, 5)),
		now: time.Unix(5000, 0), firstEjection: make(map[string]time.Duration),
	}
	for i := range servers {
		s.names = append(s.names, fmt.Sprintf("b%02d", i))
	}
	s.service = func(string) Result { return s.ok(1) }
	return s
}

// ok returns a success with a heavy-tailed latency around 25 ms.
func (s *simulation) ok(factor float64) Result {
	latency := 25e6 * factor * math.Exp(s.random.NormFloat64())
	return Result{Kind: OK, Latency: time.Duration(latency)}
}

// run adds results at a rate per second and server.
func (s *simulation) run(duration time.Duration, rate, floor float64) {
	s.startTime = s.now
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(bucketDuration) {
		ejected := make(map[string]bool)
		for _, e := range s.detector.Ejected() {
			ejected[e.Target] = true
		}
		for _, name := range s.names {
			if !ejected[name] {
				s.addResults(name, rate)
			}
		}
		decision := s.detector.Evaluate(s.names, floor, 0, s.now)
		s.ejections = append(s.ejections, decision.Ejected...)
		for _, e := range decision.Ejected {
			if _, ok := s.firstEjection[e.Target]; !ok {
				s.firstEjection[e.Target] = s.now.Sub(s.startTime)
			}
		}
		if n := len(s.detector.Ejected()); n > MaxEjected(len(s.names), floor) {
			panic("more servers ejected than the floor permits")
		}
	}
}

func (s *simulation) addResults(name string, rate float64) {
	expected := rate * bucketDuration.Seconds()
	n := int(expected)
	if s.random.Float64() < expected-float64(n) {
		n++
	}
	var stats Stats
	for range n {
		stats.Add(s.service(name))
	}
	s.detector.AddReport(fmt.Sprint("e", s.random.IntN(40)), Report{Target: name, Stats: stats}, s.now)
}

func TestGrayFailuresAreDetected(t *testing.T) {
	for kind, c := range map[string]struct {
		service func(s *simulation) Result
		limit   time.Duration
	}{
		"five times slower": {func(s *simulation) Result { return s.ok(5) }, 3 * time.Second},
		"20% errors": {func(s *simulation) Result {
			if s.random.Float64() < 0.2 {
				return Result{Kind: Failed}
			}
			return s.ok(1)
		}, 3 * time.Second},
		"unreachable": {func(*simulation) Result { return Result{Kind: Unreachable} }, time.Second},
		"all torn":    {func(*simulation) Result { return Result{Kind: Torn} }, time.Second},
	} {
		t.Run(kind, func(t *testing.T) {
			for seed := range uint64(20) {
				is := is.New(t)
				s := newSimulation(seed, 30)
				s.run(3*time.Second, 40, 0.6)
				s.service = func(name string) Result {
					if name == "b07" {
						return c.service(s)
					}
					return s.ok(1)
				}
				s.run(4*time.Second, 40, 0.6)
				detectedAfter, found := s.firstEjection["b07"]
				is.True(found)
				is.True(detectedAfter <= c.limit)
				is.Equal(len(s.firstEjection), 1) // no other server
			}
		})
	}
}

func TestStuckRequestsCauseEjection(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 10)
	s.run(2*time.Second, 40, 0.5)
	s.service = func(name string) Result {
		if name == "b03" {
			return Result{Kind: Cancelled}
		}
		return s.ok(1)
	}
	for i := range 10 {
		age := time.Duration(i) * bucketDuration
		for _, vm := range []string{"x1", "x2"} {
			s.detector.AddReport(vm, Report{Target: "b03", Oldest: age, InFlight: 1}, s.now)
		}
		s.run(bucketDuration, 40, 0.5)
	}
	is.Equal(s.ejections, []Ejection{{"b03", Stuck}})
}

func TestHeavyTailedLatencyCausesNoEjection(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, 30)
	s.run(10*time.Minute, 40, 0.6)
	is.Equal(len(s.ejections), 0)
}

func TestOverloadCausesNoEjection(t *testing.T) {
	is := is.New(t)
	s := newSimulation(4, 30)
	s.run(5*time.Second, 40, 0.6)
	s.service = func(string) Result {
		if s.random.Float64() < 0.3 {
			return Result{Kind: TimedOut}
		}
		return s.ok(8)
	}
	s.run(time.Minute, 40, 0.6)
	is.Equal(len(s.ejections), 0)
}

// The time-outs of an overload begin at one server; that must not eject it.
func TestTimeoutsOfAllServersCauseNoEjection(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSimulation(seed, 30)
		s.run(3*time.Second, 20, 0.6)
		s.service = func(name string) Result {
			share := 0.1
			if name == "b07" {
				share = 0.35
			}
			if s.random.Float64() < share {
				return Result{Kind: TimedOut}
			}
			return s.ok(15)
		}
		s.run(10*time.Second, 20, 0.6)
		is.Equal(len(s.ejections), 0)
	}
}

// With long queues at every server, many requests are late and successes are far apart.
func TestOverloadWithLongQueuesCausesNoEjection(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSimulation(seed, 30)
		s.run(3*time.Second, 20, 0.6)
		s.service = func(string) Result {
			if s.random.Float64() < 0.4 {
				return Result{Kind: Late}
			}
			return s.ok(20)
		}
		s.run(10*time.Second, 8, 0.6)
		is.Equal(len(s.ejections), 0)
	}
}

func TestFloorHoldsWhenServersLeave(t *testing.T) {
	is := is.New(t)
	s := newSimulation(5, 20)
	failing := func(name string) bool { return name < "b15" }
	s.service = func(name string) Result {
		if failing(name) {
			return Result{Kind: Unreachable}
		}
		return s.ok(1)
	}
	s.run(20*time.Second, 40, 0.6)
	is.Equal(len(s.detector.Ejected()), 8)
	s.names = s.names[5:]
	s.run(time.Second, 40, 0.6)
	is.True(len(s.detector.Ejected()) <= 6)
}

func TestRepeatedEjectionsBackOff(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, 10)
	s.service = func(name string) Result {
		if name == "b00" {
			return Result{Kind: Unreachable}
		}
		return s.ok(1)
	}
	s.run(2*time.Minute, 40, 0.5)
	is.True(len(s.ejections) <= 6) // 5 s, 10 s, 20 s, 40 s, 60 s, ...
}
