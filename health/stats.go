package health

import (
	"math"
	"time"
)

// Stats aggregates the results of one backend server.
type Stats struct {
	OK          int
	Failed      int
	TimedOut    int
	Unreachable int
	Torn        int
	// Late counts requests for which a later attempt was answered first. They are not
	// failures by themselves: every server has some late responses.
	Late int
	// LogSum and LogSquares are sums over the OK results: of the natural logarithm of the
	// latency in microseconds, and of its square. On a logarithmic scale, the few slow
	// responses of a heavy-tailed latency distribution carry little weight.
	LogSum     float64
	LogSquares float64
}

// Add adds a result.
func (s *Stats) Add(result Result) {
	switch result.Kind {
	case OK:
		logLatency := math.Log(float64(max(1, result.Latency.Microseconds())))
		s.OK++
		s.LogSum += logLatency
		s.LogSquares += logLatency * logLatency
	case Failed:
		s.Failed++
	case TimedOut:
		s.TimedOut++
	case Unreachable:
		s.Unreachable++
	case Torn:
		s.Torn++
	case Late:
		s.Late++
	}
}

// Plus returns the sum of two aggregates.
func (s Stats) Plus(other Stats) Stats {
	return Stats{
		OK: s.OK + other.OK, Failed: s.Failed + other.Failed, TimedOut: s.TimedOut + other.TimedOut,
		Unreachable: s.Unreachable + other.Unreachable, Torn: s.Torn + other.Torn, Late: s.Late + other.Late,
		LogSum: s.LogSum + other.LogSum, LogSquares: s.LogSquares + other.LogSquares,
	}
}

// Minus returns the difference of two aggregates.
func (s Stats) Minus(other Stats) Stats {
	return Stats{
		OK: s.OK - other.OK, Failed: s.Failed - other.Failed, TimedOut: s.TimedOut - other.TimedOut,
		Unreachable: s.Unreachable - other.Unreachable, Torn: s.Torn - other.Torn, Late: s.Late - other.Late,
		LogSum: s.LogSum - other.LogSum, LogSquares: s.LogSquares - other.LogSquares,
	}
}

// Bad returns the number of failures.
func (s Stats) Bad() int { return s.Failed + s.TimedOut + s.Unreachable + s.Torn }

// Total returns the number of results, without late ones.
func (s Stats) Total() int { return s.OK + s.Bad() }

// badShare returns the share of failures.
func (s Stats) badShare() float64 {
	if s.Total() == 0 {
		return 0
	}
	return float64(s.Bad()) / float64(s.Total())
}

// meanLog returns the mean of the logarithm of the latency.
func (s Stats) meanLog() float64 { return s.LogSum / float64(max(1, s.OK)) }

// varianceLog returns the variance of the logarithm of the latency.
func (s Stats) varianceLog() float64 {
	if s.OK < 2 {
		return 0
	}
	mean := s.meanLog()
	return math.Max(0, s.LogSquares/float64(s.OK)-mean*mean)
}

// typical returns the geometric mean of the latency.
func (s Stats) typicalLatency() time.Duration {
	if s.OK == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.meanLog())) * time.Microsecond
}

// lowerBound returns the lower bound of the Wilson score interval, at z standard
// deviations, for the failure probability after bad failures in total results.
func lowerBound(bad, total int, z float64) float64 {
	if total == 0 {
		return 0
	}
	n, p := float64(total), float64(bad)/float64(total)
	centre := p + z*z/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return math.Max(0, (centre-spread)/(1+z*z/n))
}
