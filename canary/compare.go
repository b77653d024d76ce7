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
	// faultBound and doubtBound are the numbers of standard errors by which a version must
	// exceed the limits to be condemned, or to keep its share. A hundred comparisons are made in
	// a roll-out, and faulty servers make results less independent than these errors assume.
	// Beyond the trial each moment costs more requests than the whole trial does, and after
	// manyBad failures beyond those of the others the time to roll back runs, so that less
	// certainty is waited for then.
	faultBound = 3.0
	riseBound  = 1.6
	doubtBound = 1.0
	manyBad    = 15
	// maxFailures is the part of failures beyond that of the others that condemns a version. A third of the servers may be
	// gray and fail three in four: those of the others are avoided, those of a new version are not
	// known at first. Bad versions fail about half of their requests besides.
	maxFailures = 0.2
	// serverPart is the part of its requests that a faulty server fails. One among few must not
	// condemn their version, up to maxServerPart.
	serverPart    = 1.0
	maxServerPart = 0.35
	// maxSlowdown is the factor on the usual latency that condemns a version. It is above that of
	// a sixth of slow servers (5 times as slow), and below that of a version of which half of the results
	// take several times as long. slowBound is the certainty, as far as less is not enough: the limit is
	// far from no difference.
	maxSlowdown = 1.5
	slowBound   = 1.5
	// serverSlowdown is the factor of a single slow server, which among few must not condemn its
	// version up to mostSlowdown.
	serverSlowdown = 5.0
	mostSlowdown   = 2.5
	// minSpread is the least standard deviation of the logarithm of latency: few results may
	// agree by chance.
	minSpread = 0.25
	// alonePart is the part of the new version's results below which those of the others are too
	// few to be compared at the same time, and aside the factor on the limits then.
	alonePart = 0.1
	aside     = 1.3
	// nearTime is the time over which the others are measured, at least.
	nearTime = 3 * time.Second
	// usualFailures is taken for the failures of other versions that nothing is known of.
	usualFailures = 0.05
)

// verdict compares the versions on each route, and on all together. It returns why the version
// is condemned, or why its share must stay.
func (e *evidence) verdict(now time.Time, servers int, trial bool) (doubt, fault string) {
	bound := riseBound
	if trial {
		bound = faultBound
	}
	for _, span := range windows {
		base := e.at(now, span)
		for _, alone := range []bool{false, true} {
			limits := newLimits(servers, alone)
			all := sample{}
			for part, c := range e.compared {
				if part.alone != alone {
					continue
				}
				s := sample{comparison: c.minus(base.compared[part]), other: e.measured(base, part.route, now)}
				all = all.plus(s)
				if text := s.exceeds(limits, bound); text != "" {
					return "", fmt.Sprintf("route %q, %s: %s", part.route, spanText(span), text)
				}
				if text := s.exceeds(limits, doubtBound); text != "" && !(alone && span == 0) {
					doubt = fmt.Sprintf("in doubt, route %q, %s: %s", part.route, spanText(span), text)
				}
			}
			if text := all.exceeds(limits, bound); text != "" {
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
	s := e.since(base, other)
	if near := e.since(e.at(now, nearTime), other); near.Results > s.Results {
		return near
	}
	return s
}

// limits are by what a version may differ from the others.
type limits struct {
	// failures is the part of failures beyond that of the others.
	failures float64
	// slowdown is the difference of the mean logarithm of latency.
	slowdown float64
}

func newLimits(servers int, alone bool) limits {
	n := float64(max(servers, 1))
	l := limits{
		failures: min(max(maxFailures, serverPart/n), maxServerPart),
		slowdown: min(max(math.Log(maxSlowdown), math.Log(serverSlowdown)/n), math.Log(mostSlowdown)),
	}
	if alone {
		l = limits{aside * l.failures, aside * l.slowdown}
	}
	return l
}

// sample is a comparison with the results from which the other versions are known.
type sample struct {
	comparison
	other Stats
}

func (s sample) plus(o sample) sample {
	return sample{s.comparison.plus(o.comparison), s.other.Plus(o.other)}
}

// exceeds returns by what the new version exceeds the limits by a number of standard errors, or "".
func (s sample) exceeds(l limits, errors float64) string {
	if s.bad-s.otherBad >= manyBad {
		errors = min(errors, riseBound)
	}
	if s.bad >= minBad && s.bad-s.otherBad-errors*s.badError() > l.failures*s.results {
		return fmt.Sprintf("%.0f of %.0f failed, %.1f on the others", s.bad, s.results, s.otherBad)
	}
	if s.good >= minGood && s.slower-min(errors, slowBound)*s.latencyError() > l.slowdown*s.good {
		return fmt.Sprintf("%.2f times the latency of the others over %.0f results", math.Exp(s.slower/s.good), s.good)
	}
	return ""
}

// badError returns the standard error of the difference between the failures and what the others
// would have had.
func (s sample) badError() float64 {
	known := max(float64(s.other.Results), minOther)
	part, other := s.bad/s.results, min(s.otherBad/s.results, 1)
	return s.results * math.Sqrt(part*(1-part)/s.results+other*(1-other)/known)
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
