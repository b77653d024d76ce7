package health

import (
	"math"
	"time"
)

// Stats counts the results of one backend server.
type Stats struct {
	OK          int
	Failed      int
	TimedOut    int
	Unreachable int
	Torn        int
	// Late counts requests that a later attempt elsewhere overtook. They are not
	// bad by themselves: some answers of every server are late.
	Late int
	// LogSum and LogSquares are sums over the OK results of the natural logarithm
	// of the latency in microseconds, and of its square. Logarithms make few slow
	// answers of a heavy-tailed service weigh little.
	LogSum     float64
	LogSquares float64
}

// Add counts a result.
func (t *Stats) Add(r Result) {
	switch r.Kind {
	case OK:
		l := math.Log(float64(max(1, r.Latency.Microseconds())))
		t.OK++
		t.LogSum += l
		t.LogSquares += l * l
	case Failed:
		t.Failed++
	case TimedOut:
		t.TimedOut++
	case Unreachable:
		t.Unreachable++
	case Torn:
		t.Torn++
	case Late:
		t.Late++
	}
}

// Plus returns the sum of two tallies.
func (t Stats) Plus(o Stats) Stats {
	return Stats{
		OK: t.OK + o.OK, Failed: t.Failed + o.Failed, TimedOut: t.TimedOut + o.TimedOut,
		Unreachable: t.Unreachable + o.Unreachable, Torn: t.Torn + o.Torn, Late: t.Late + o.Late,
		LogSum: t.LogSum + o.LogSum, LogSquares: t.LogSquares + o.LogSquares,
	}
}

// Minus returns the difference of two tallies.
func (t Stats) Minus(o Stats) Stats {
	return Stats{
		OK: t.OK - o.OK, Failed: t.Failed - o.Failed, TimedOut: t.TimedOut - o.TimedOut,
		Unreachable: t.Unreachable - o.Unreachable, Torn: t.Torn - o.Torn, Late: t.Late - o.Late,
		LogSum: t.LogSum - o.LogSum, LogSquares: t.LogSquares - o.LogSquares,
	}
}

// Bad returns the number of results that speak against the backend server.
func (t Stats) Bad() int { return t.Failed + t.TimedOut + t.Unreachable + t.Torn }

// Total returns the number of results.
func (t Stats) Total() int { return t.OK + t.Bad() }

// badShare returns the part of bad results.
func (t Stats) badShare() float64 {
	if t.Total() == 0 {
		return 0
	}
	return float64(t.Bad()) / float64(t.Total())
}

// meanLog returns the mean logarithm of the latency.
func (t Stats) meanLog() float64 { return t.LogSum / float64(max(1, t.OK)) }

// varianceLog returns the variance of the logarithm of the latency.
func (t Stats) varianceLog() float64 {
	if t.OK < 2 {
		return 0
	}
	mean := t.meanLog()
	return math.Max(0, t.LogSquares/float64(t.OK)-mean*mean)
}

// typical returns the typical latency.
func (t Stats) typical() time.Duration {
	if t.OK == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.meanLog())) * time.Microsecond
}

// lowerBound returns a lower bound of the probability behind bad results out of
// total (Wilson score interval with z standard deviations).
func lowerBound(bad, total int, z float64) float64 {
	if total == 0 {
		return 0
	}
	n, p := float64(total), float64(bad)/float64(total)
	centre := p + z*z/(2*n)
	spread := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return math.Max(0, (centre-spread)/(1+z*z/n))
}
