package pool

import (
	"math"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// avoidThreshold is the number of consecutive failures after which this VM, on its
	// own, avoids a backend server for avoidFor.
	avoidThreshold = 2
	avoidFor       = time.Second
	// coldTTL is how long this VM treats a backend server as cold after an answer said so.
	coldTTL = 3 * time.Second

	// latencyWeight is the weight of one answer in the moving average of the pool's latency.
	latencyWeight = 0.02
	// hedgeDeviations is how many standard deviations above the mean, on a logarithmic
	// scale, the latency must be before a request is hedged.
	hedgeDeviations = 2.0
	minHedgeDelay   = 5 * time.Millisecond
	maxHedgeDelay   = time.Second
	// minHedgeSamples is the number of answers required before requests are hedged.
	minHedgeSamples = 20
)

// serverStats holds what this VM has observed of one backend server.
type serverStats struct {
	stats    health.Stats
	cold     bool
	inFlight map[uint64]time.Time

	// limit is set while the server names one, and reportedLimit if the holder must hear of it.
	limit         *localLimit
	reportedLimit health.Limit
	// leavingBoot is set if the holder must hear that the server has said that it leaves.
	leavingBoot uint64

	// pause is what the server has named to this VM.
	pause localPause

	failures   int
	avoidUntil time.Time
	coldUntil  time.Time
}

// oldestWait returns the age of the oldest request in flight.
func (s *serverStats) oldestWait(now time.Time) time.Duration {
	var longest time.Duration
	for _, since := range s.inFlight {
		longest = max(longest, now.Sub(since))
	}
	return longest
}

// recordResult records a result for the next report and for choices of this VM.
func (s *serverStats) recordResult(r health.Result, now time.Time) {
	s.stats.Add(r)
	s.cold = s.cold || r.Cold
	if limit := s.recordLocally(r, now); limit.Stated != health.LimitUnstated {
		s.reportedLimit = limit
	}
}

// recordLocally records a result for choices of this VM only, and returns the change of the
// server's limit.
func (s *serverStats) recordLocally(r health.Result, now time.Time) health.Limit {
	if r.Cold {
		s.coldUntil = now.Add(coldTTL)
	}
	switch {
	case r.Kind == health.Unreachable || r.Kind == health.TimedOut || r.Kind == health.Torn:
		s.failures++
		if s.failures >= avoidThreshold {
			s.avoidUntil = now.Add(avoidFor)
		}
	case r.Kind == health.OK || r.Kind == health.Failed:
		s.failures = 0
	}
	return s.recordLimit(r, now)
}

// latencyStats tracks the latency of a pool as the moving mean and variance of the
// logarithm of its microseconds.
type latencyStats struct {
	samples  int
	mean     float64
	variance float64
}

func (s *latencyStats) add(latency time.Duration) {
	logLatency := math.Log(float64(max(1, latency.Microseconds())))
	s.samples++
	weight := math.Max(latencyWeight, 1/float64(s.samples))
	deviation := logLatency - s.mean
	s.mean += weight * deviation
	s.variance += weight * (deviation*deviation - s.variance)
}

// hedgeDelay returns the time after which a request should be hedged, or 0 if there
// are too few samples.
func (s *latencyStats) hedgeDelay() time.Duration {
	if s.samples < minHedgeSamples {
		return 0
	}
	late := math.Exp(s.mean + hedgeDeviations*math.Sqrt(math.Max(0, s.variance)))
	return min(max(time.Duration(late)*time.Microsecond, minHedgeDelay), maxHedgeDelay)
}
