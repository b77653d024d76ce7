package pool

import (
	"math"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// avoidAfter is the number of failures in a row after which this VM alone
	// avoids a backend server, and avoidFor for how long.
	avoidAfter = 2
	avoidFor   = time.Second
	// coldMemory is how long this VM remembers that it saw a backend server cold.
	coldMemory = 3 * time.Second

	// latencyWeight is the weight of one answer in the pool's typical latency.
	latencyWeight = 0.02
	// hedgeDeviations is how many standard deviations above the mean an answer
	// must be late before it is hedged.
	hedgeDeviations = 2.0
	leastHedge      = 5 * time.Millisecond
	mostHedge       = time.Second
	// hedgeSamples is the number of answers before hedging starts.
	hedgeSamples = 20
)

// seen is what this VM has seen of one backend server.
type seen struct {
	tally    health.Stats
	cold     bool
	inFlight map[uint64]time.Time

	failures   int
	avoidUntil time.Time
	coldUntil  time.Time
}

// oldest returns the age of the oldest request that waits.
func (s *seen) oldest(now time.Time) time.Duration {
	var most time.Duration
	for _, since := range s.inFlight {
		most = max(most, now.Sub(since))
	}
	return most
}

// note counts a result.
func (s *seen) note(r health.Result, now time.Time) {
	s.tally.Add(r)
	if r.Cold {
		s.cold = true
		s.coldUntil = now.Add(coldMemory)
	}
	switch {
	case r.Kind == health.Unreachable || r.Kind == health.TimedOut || r.Kind == health.Torn:
		s.failures++
		if s.failures >= avoidAfter {
			s.avoidUntil = now.Add(avoidFor)
		}
	case r.Kind == health.OK || r.Kind == health.Failed:
		s.failures = 0
	}
}

// pace is the typical latency of a pool, as logarithms of microseconds.
type pace struct {
	samples  int
	mean     float64
	variance float64
}

func (p *pace) add(latency time.Duration) {
	l := math.Log(float64(max(1, latency.Microseconds())))
	p.samples++
	weight := math.Max(latencyWeight, 1/float64(p.samples))
	d := l - p.mean
	p.mean += weight * d
	p.variance += weight * (d*d - p.variance)
}

// hedgeAfter returns the time after which an answer is late.
func (p *pace) hedgeAfter() time.Duration {
	if p.samples < hedgeSamples {
		return 0
	}
	late := math.Exp(p.mean + hedgeDeviations*math.Sqrt(math.Max(0, p.variance)))
	return min(max(time.Duration(late)*time.Microsecond, leastHedge), mostHedge)
}
