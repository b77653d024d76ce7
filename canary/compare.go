package canary

import (
	"fmt"
	"math"
	"time"
)

const (
	// minBad is the number of bad results below which they may be chance.
	minBad = 5
	// minGood is the number of good results from which a mean latency says something.
	minGood = 8
	// minOther is the number of results of other versions in a window from which they are
	// compared with. Below, all that were counted are.
	minOther = 20
	// minMoment is the same between two marks: their sums over a window say more than each.
	minMoment = 5
	// faultBound and doubtBound are the numbers of standard errors by which versions must
	// differ to condemn one, or to hold its share. A hundred comparisons are made in a
	// roll-out, and faulty servers make results less independent than these errors assume.
	faultBound = 3.7
	doubtBound = 2.0
	// maxFailures is the part of failures beyond that of the others that condemns a version:
	// above what faulty servers and their ejection leave, far below half of the results.
	maxFailures = 0.12
	// maxLasting is the same for at least lastingResults results over all time, of many servers.
	maxLasting     = 0.06
	lastingResults = 300
	lastingServers = 12
	// serverPart is the part of its requests that a faulty server fails. One among few must not
	// condemn their version, up to maxServerPart.
	serverPart    = 1.0
	maxServerPart = 0.3
	// maxSlowdown is the factor on the usual latency that condemns a version, and
	// serverSlowdown that of a single slow server.
	maxSlowdown    = 1.6
	serverSlowdown = 5.0
	mostSlowdown   = 2.5
	// minSpread is the least standard deviation of the logarithm of latency: few results may
	// agree by chance.
	minSpread = 0.25
	// alonePart is the part of the new version's results below which those of the others are too
	// few to be compared at the same time, and aside the factor on the limits then.
	alonePart = 0.1
	aside     = 2.5
	// nearTime is the time over which the others are measured, at least.
	nearTime = 3 * time.Second
	// tiny keeps a division by zero away where all results are bad.
	tiny = 1e-9
	// usualFailures is taken for the failures of other versions that nothing is known of.
	usualFailures = 0.05
)

// verdict compares the versions on each route, and on all together. It returns why the version
// is condemned, or why its share must stay.
func (e *evidence) verdict(now time.Time, servers int) (doubt, fault string) {
	for _, span := range windows {
		base := e.at(now, span)
		for _, alone := range []bool{false, true} {
			limits := newLimits(servers, alone, span == 0)
			all := sample{}
			for part, c := range e.compared {
				if part.alone != alone {
					continue
				}
				s := sample{comparison: c.minus(base.compared[part]), other: e.measured(base, part.route, now)}
				all = all.plus(s)
				if text := s.exceeds(limits, faultBound); text != "" {
					return "", fmt.Sprintf("route %q, %s: %s", part.route, spanText(span), text)
				}
				if text := s.exceeds(limits.half(), doubtBound); text != "" && !(alone && span == 0) {
					doubt = fmt.Sprintf("in doubt, route %q, %s: %s", part.route, spanText(span), text)
				}
			}
			if text := all.exceeds(limits, faultBound); text != "" {
				return "", fmt.Sprintf("all routes, %s: %s", spanText(span), text)
			}
		}
	}
	return doubt, ""
}

func spanText(span time.Duration) string {
	if span == 0 {
		return "since the first report"
	}
	return "last " + span.String()
}

// measured returns the results from which the other versions are known.
func (e *evidence) measured(base mark, route string, now time.Time) Stats {
	other := lane{route, false}
	s := base.since(e.totals)[other]
	if near := e.at(now, nearTime).since(e.totals)[other]; near.Results > s.Results {
		return near
	}
	return s
}

// limits are by what a version may differ from the others.
type limits struct {
	// failures is the part of failures beyond that of the others, lasting the same for at least
	// lastingResults results.
	failures, lasting float64
	// slowdown is the difference of the mean logarithm of latency.
	slowdown float64
}

func newLimits(servers int, alone, allTime bool) limits {
	n := float64(max(servers, 1))
	l := limits{
		failures: min(max(maxFailures, serverPart/n), maxServerPart),
		slowdown: min(max(math.Log(maxSlowdown), math.Log(serverSlowdown)/n), math.Log(mostSlowdown)),
	}
	l.lasting = l.failures
	if allTime && servers >= lastingServers {
		l.lasting = maxLasting
	}
	if alone {
		l = limits{aside * l.failures, aside * l.failures, aside * l.slowdown}
	}
	return l
}

func (l limits) half() limits { return limits{l.failures / 2, l.lasting / 2, l.slowdown / 2} }

// sample is a comparison with the results from which the other versions are known.
type sample struct {
	comparison
	other Stats
}

func (s sample) plus(o sample) sample {
	return sample{s.comparison.plus(o.comparison), s.other.Plus(o.other)}
}

// exceeds returns by what the new version exceeds the limits with a certainty in standard errors,
// or "".
func (s sample) exceeds(l limits, bound float64) string {
	failures := l.failures
	if s.results >= lastingResults {
		failures = l.lasting
	}
	if s.bad >= minBad && s.bad-s.otherBad > failures*s.results && s.failureErrors() > bound {
		return fmt.Sprintf("%.0f of %.0f failed, %.1f on the others", s.bad, s.results, s.otherBad)
	}
	if s.good >= minGood && s.slower > l.slowdown*s.good && s.slower-bound*s.latencyError() > l.slowdown/2*s.good {
		return fmt.Sprintf("%.2f times the latency of the others over %.0f results", math.Exp(s.slower/s.good), s.good)
	}
	return ""
}

// failureErrors returns by how many standard errors the parts of failures differ, which are
// measured under the assumption that they are the same.
func (s sample) failureErrors() float64 {
	known := max(float64(s.other.Results), minOther)
	other := s.otherBad / s.results
	same := (s.bad + other*known) / (s.results + known)
	return (s.bad/s.results - other) / math.Sqrt(same*(1-same)*(1/s.results+1/known)+tiny)
}

// latencyError returns the standard error of the sum of the differences of latency.
func (s sample) latencyError() float64 {
	mean := s.slower / s.good
	spread := max(s.squares/s.good-mean*mean, minSpread*minSpread)
	known := max(float64(s.other.Results-s.other.Bad), minMoment)
	return math.Sqrt(s.good*spread + s.good*s.good*spread/known)
}

// failures returns the part of failures, or the usual one if there are too few results.
func (s Stats) failures() float64 {
	if s.Results < minMoment {
		return usualFailures
	}
	return float64(s.Bad) / float64(s.Results)
}

// meanLog returns the mean logarithm of latency, if there are enough results.
func (s Stats) meanLog() (mean float64, known bool) {
	good := s.Results - s.Bad
	if good < minMoment {
		return 0, false
	}
	return s.LogSum / float64(good), true
}
