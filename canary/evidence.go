package canary

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// maxSenders and maxTallies bound the memory of evidence: starts of VMs that hold cells,
	// and the tallies of each.
	maxSenders = 4096
	maxTallies = 1024
	// markPeriod is the distance of the marks between which windows are compared.
	markPeriod = 200 * time.Millisecond
)

// windows are the spans over which versions are compared, 0 for all time. A version that turns
// bad shows in the short ones first, one that is bad on few requests in the long ones.
var windows = []time.Duration{time.Second, 3 * time.Second, 0}

// Stats are sums over the results of one route.
type Stats struct {
	Results    uint64
	Bad        uint64
	LogSum     float64
	LogSquares float64
}

// Plus returns the sums over the results of both.
func (s Stats) Plus(o Stats) Stats {
	return Stats{s.Results + o.Results, s.Bad + o.Bad, s.LogSum + o.LogSum, s.LogSquares + o.LogSquares}
}

// Latency returns the geometric mean of the latency of good results.
func (s Stats) Latency() time.Duration {
	if s.Results == s.Bad {
		return 0
	}
	return time.Duration(math.Exp(s.LogSum/float64(s.Results-s.Bad)) * float64(time.Second))
}

func (s Stats) minus(o Stats) Stats {
	return Stats{s.Results - o.Results, s.Bad - o.Bad, s.LogSum - o.LogSum, s.LogSquares - o.LogSquares}
}

// RouteEvidence is what was counted for a route.
type RouteEvidence struct {
	Route string
	New   Stats
	Other Stats
}

// lane is a route of the new version, or of all others together.
type lane struct {
	route string
	isNew bool
}

// totals are the sums of the tallies of all senders.
type totals map[lane]Stats

func (t totals) clone() totals { return maps.Clone(t) }

func (t totals) minus(base totals) totals {
	diff := make(totals, len(t))
	for l, s := range t {
		diff[l] = s.minus(base[l])
	}
	return diff
}

// results returns the number of results of the new version, or of all others.
func (t totals) results(isNew bool) (n uint64) {
	for l, s := range t {
		if l.isNew == isNew {
			n += s.Results
		}
	}
	return n
}

// sender is a start of a VM.
type sender struct {
	vm   string
	boot uint64
}

// source is what a tally counts.
type source struct{ cell, version, route string }

// comparison sums up what the new version did on a route, and what the same results would have
// been on the other versions at the same time.
type comparison struct {
	results, bad, otherBad float64
	// good is the number of good results whose latency is known of both versions, slower the sum
	// of the differences of its logarithm, and squares that of the new version's squared
	// deviations from the others' mean.
	good, slower, squares float64
}

func (c comparison) plus(o comparison) comparison {
	return comparison{c.results + o.results, c.bad + o.bad, c.otherBad + o.otherBad, c.good + o.good, c.slower + o.slower, c.squares + o.squares}
}

func (c comparison) minus(o comparison) comparison {
	return comparison{c.results - o.results, c.bad - o.bad, c.otherBad - o.otherBad, c.good - o.good, c.slower - o.slower, c.squares - o.squares}
}

// stratum is a part of the results of the new version on a route: those beside the results of
// other versions, or those alone.
type stratum struct {
	route string
	alone bool
}

// mark is what was counted and compared by a time.
type mark struct {
	at       time.Time
	totals   totals
	compared map[stratum]comparison
}

// evidence sums up the tallies of all senders since their first report: what a VM has counted
// before may belong to an earlier roll-out.
type evidence struct {
	version string
	senders map[sender]map[source]Stats
	totals  totals
	marks   []mark
	// compared holds the comparisons of the moments between all marks.
	compared map[stratum]comparison
}

func newEvidence(version string) evidence {
	return evidence{
		version: version, senders: make(map[sender]map[source]Stats), totals: make(totals), compared: make(map[stratum]comparison),
	}
}

func (e *evidence) add(r Report) {
	from := sender{r.VM, r.Boot}
	known, counted := e.senders[from]
	if !counted {
		if len(e.senders) >= maxSenders {
			return
		}
		known = make(map[source]Stats)
		e.senders[from] = known
	}
	for _, t := range r.Tallies {
		src, now := source{t.Cell, t.Version, t.Route}, Stats{t.Results, t.Bad, t.LogSum, t.LogSquares}
		last, seen := known[src]
		if seen && now.Results <= last.Results || !seen && len(known) >= maxTallies || now.Bad < last.Bad {
			continue
		}
		known[src] = now
		if counted {
			l := lane{t.Route, t.Version == e.version}
			e.totals[l] = e.totals[l].Plus(now.minus(last))
		}
	}
}

// mark remembers what is counted now.
func (e *evidence) mark(now time.Time) {
	if n := len(e.marks); n > 0 && now.Sub(e.marks[n-1].at) < markPeriod {
		return
	}
	e.compare(now)
	e.marks = append(e.marks, mark{now, e.totals.clone(), maps.Clone(e.compared)})
	longest := slices.Max(windows)
	for len(e.marks) > 1 && now.Sub(e.marks[1].at) >= longest {
		e.marks = e.marks[1:]
	}
}

// compare adds what was counted since the last mark. Moments are compared by themselves and then
// summed up: a version that gets more requests while all versions are in trouble would look worse
// over the whole time.
func (e *evidence) compare(now time.Time) {
	var last mark
	if n := len(e.marks); n > 0 {
		last = e.marks[n-1]
	}
	counted := e.totals.minus(last.totals)
	alone := float64(counted.results(false)) < alonePart*float64(counted.results(true))
	for l, s := range counted {
		if !l.isNew || s.Results == 0 {
			continue
		}
		part := stratum{l.route, alone}
		e.compared[part] = e.compared[part].plus(s.against(e.others(l.route, now)))
	}
}

// against compares the results of a moment with those of other versions.
func (s Stats) against(other Stats) comparison {
	c := comparison{results: float64(s.Results), bad: float64(s.Bad)}
	c.otherBad = c.results * other.failures()
	if mean, known := other.meanLog(); known {
		c.good = float64(s.Results - s.Bad)
		c.slower = s.LogSum - c.good*mean
		c.squares = s.LogSquares - 2*mean*s.LogSum + c.good*mean*mean
	}
	return c
}

// others returns what the other versions did on a route in the shortest span that says
// something. Trouble that all versions are in begins and ends at once, so that few results of the
// same moment say more than many of the last seconds.
func (e *evidence) others(route string, now time.Time) (s Stats) {
	other := lane{route, false}
	if s = e.since(e.at(now, markPeriod), other); s.Results >= minMoment {
		return s
	}
	for _, span := range windows {
		if s = e.since(e.at(now, span), other); s.Results >= minOther {
			break
		}
	}
	return s
}

// at returns the mark at the begin of a span, or none for all time.
func (e *evidence) at(now time.Time, span time.Duration) (m mark) {
	for _, next := range e.marks {
		if span == 0 || now.Sub(next.at) < span {
			break
		}
		m = next
	}
	return m
}

// since returns what was counted in a lane after a mark.
func (e *evidence) since(m mark, l lane) Stats { return e.totals[l].minus(m.totals[l]) }

// rate returns the results per second of all versions over the marks that are kept.
func (e *evidence) rate() float64 {
	if len(e.marks) < 2 {
		return 0
	}
	first, last := e.marks[0], e.marks[len(e.marks)-1]
	counted := last.totals.results(true) + last.totals.results(false) - first.totals.results(true) - first.totals.results(false)
	return float64(counted) / last.at.Sub(first.at).Seconds()
}

func (e *evidence) routes() []RouteEvidence {
	byRoute := make(map[string]RouteEvidence)
	for l, s := range e.totals {
		r := byRoute[l.route]
		r.Route = l.route
		if l.isNew {
			r.New = s
		} else {
			r.Other = s
		}
		byRoute[l.route] = r
	}
	return slices.SortedFunc(maps.Values(byRoute), func(a, b RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
}
