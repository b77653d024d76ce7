package health

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// bucketSpan is the resolution of the judge's window, and buckets its length.
	bucketSpan = 100 * time.Millisecond
	buckets    = 20
	// recentBuckets is the part of the window that shows a sudden overload.
	recentBuckets = 5

	// stuckFactor is how many times the pool's typical latency a request must
	// have waited to count as stuck, and stuckLeast the least such time.
	stuckFactor = 10
	stuckLeast  = 250 * time.Millisecond
	// stuckRequests is the number of stuck requests that eject.
	stuckRequests = 2
	// lateRequests is the number of overtaken requests that eject.
	lateRequests = 3
	// mostOvertaken is the part of overtaken requests at the other servers above
	// which being overtaken speaks against none.
	mostOvertaken = 0.1
	// quiet is the least time without a good answer that goes with being stuck or
	// unreachable, and quietFactor the least ratio of it to the pool's typical
	// latency: where all are slow, gaps are long.
	quiet       = 300 * time.Millisecond
	quietFactor = 8
	// unreachableCount is the number of failed connections that eject.
	unreachableCount = 3

	// errorsLeast is the least number of bad results that eject, and errorsScore
	// how many standard deviations they must lie above the other servers.
	errorsLeast  = 4
	errorsScore  = 3.0
	errorsFactor = 2.0
	errorsOffset = 0.02

	// slowLeast is the least number of answers that eject for slowness, slowShift
	// the least ratio to the other servers, and slowScore the least score.
	slowLeast = 8
	slowShift = 2.2
	slowScore = 6.0

	// firstEjection is the length of a first ejection; it doubles with every
	// further one within forgiveness, up to longestEjection.
	firstEjection   = 5 * time.Second
	longestEjection = time.Minute
	forgiveness     = 2 * time.Minute

	// reportLife is how long a reporter's word on waiting requests counts.
	reportLife = 1500 * time.Millisecond
)

// Reason says why a backend server is ejected.
type Reason string

// The reasons, gravest first.
const (
	Stuck        Reason = "stuck"
	NotReachable Reason = "unreachable"
	Erring       Reason = "erring"
	Slow         Reason = "slow"
)

var gravity = map[Reason]int{Stuck: 3, NotReachable: 2, Erring: 1, Slow: 0}

// Report is what one VM saw of one backend server since its last report.
type Report struct {
	Target string
	Stats  Stats
	// Oldest is the age of the oldest request that waits, of InFlight ones.
	Oldest   time.Duration
	InFlight int
	// Cold says that an answer called the backend server cold.
	Cold bool
}

// Ejection is a backend server that gets no work.
type Ejection struct {
	Target string
	Reason Reason
}

// Detector pools what all VMs see of the backend servers of one pool and decides
// which are ejected. It has no input or output.
type Detector struct {
	targets map[string]*record
}

// record is the judge's memory of one backend server.
type record struct {
	window  [buckets]Stats
	slot    int64
	sum     Stats
	lastOK  time.Time
	waiting map[string]waiting

	ejected  bool
	reason   Reason
	until    time.Time
	times    int
	lastTime time.Time
}

// waiting is one reporter's word on its waiting requests.
type waiting struct {
	since    time.Time
	inFlight int
	heard    time.Time
}

// NewDetector returns a judge that knows nothing.
func NewDetector() *Detector { return &Detector{targets: make(map[string]*record)} }

func (j *Detector) record(name string) *record {
	r, ok := j.targets[name]
	if !ok {
		r = &record{waiting: make(map[string]waiting)}
		j.targets[name] = r
	}
	return r
}

// AddReport adds a VM's report.
func (j *Detector) AddReport(vm string, report Report, now time.Time) {
	r := j.record(report.Target)
	r.roll(now)
	r.window[r.slot%buckets] = r.window[r.slot%buckets].Plus(report.Stats)
	r.sum = r.sum.Plus(report.Stats)
	if report.Stats.OK > 0 {
		r.lastOK = now
	}
	r.waiting[vm] = waiting{since: now.Add(-report.Oldest), inFlight: report.InFlight, heard: now}
}

// roll drops the buckets that are too old.
func (r *record) roll(now time.Time) {
	slot := now.UnixNano() / int64(bucketSpan)
	if slot-r.slot >= buckets {
		r.window, r.sum = [buckets]Stats{}, Stats{}
		r.slot = slot
		return
	}
	for r.slot < slot {
		r.slot++
		r.sum = r.sum.Minus(r.window[r.slot%buckets])
		r.window[r.slot%buckets] = Stats{}
	}
}

// recent returns the tally of the last few buckets.
func (r *record) recent() Stats {
	var t Stats
	for i := range recentBuckets {
		t = t.Plus(r.window[(r.slot-int64(i)+buckets)%buckets])
	}
	return t
}

// stuck returns how many requests have waited longer than a limit.
func (r *record) stuck(limit time.Duration, now time.Time) int {
	n := 0
	for vm, w := range r.waiting {
		if now.Sub(w.heard) > reportLife {
			delete(r.waiting, vm)
			continue
		}
		if w.inFlight > 0 && now.Sub(w.since) > limit {
			n++
		}
	}
	return n
}

// Decision is what changed by a decision.
type Decision struct {
	Ejected    []Ejection
	Readmitted []string
	// Refused are ejections that the floor forbids.
	Refused []Ejection
}

// Evaluate judges the eligible backend servers of the pool, of which the part
// floor is never ejected. Held of them carry little work for other reasons and
// count as if they were ejected.
func (j *Detector) Evaluate(eligible []string, floor float64, held int, now time.Time) Decision {
	var v Decision
	j.forget(eligible)
	for _, name := range eligible {
		r := j.record(name)
		r.roll(now)
		if r.ejected && !now.Before(r.until) {
			r.release()
			v.Readmitted = append(v.Readmitted, name)
		}
	}
	v.Readmitted = append(v.Readmitted, j.keepFloor(eligible, floor)...)
	room := j.room(eligible, floor) - held
	for _, e := range j.suspects(eligible, now) {
		if room <= 0 {
			v.Refused = append(v.Refused, e)
			continue
		}
		room--
		j.record(e.Target).eject(e.Reason, now)
		v.Ejected = append(v.Ejected, e)
	}
	return v
}

// forget drops backend servers that are no longer eligible.
func (j *Detector) forget(eligible []string) {
	for name := range j.targets {
		if !slices.Contains(eligible, name) {
			delete(j.targets, name)
		}
	}
}

// room returns how many more backend servers may be ejected.
func (j *Detector) room(eligible []string, floor float64) int {
	return MaxEjected(len(eligible), floor) - len(j.Ejected())
}

// keepFloor releases ejected backend servers if there are fewer eligible ones
// than before, the least grave first.
func (j *Detector) keepFloor(eligible []string, floor float64) []string {
	ejected := j.Ejected()
	excess := len(ejected) - MaxEjected(len(eligible), floor)
	var released []string
	for _, e := range slices.Backward(ejected) {
		if excess <= 0 {
			break
		}
		excess--
		j.record(e.Target).release()
		released = append(released, e.Target)
	}
	return released
}

// MaxEjected returns how many of n backend servers may be ejected at once.
func MaxEjected(n int, floor float64) int {
	return max(0, n-int(math.Ceil(floor*float64(n)-1e-9)))
}

// Ejected returns the ejected backend servers, gravest reason first.
func (j *Detector) Ejected() []Ejection {
	var list []Ejection
	for name, r := range j.targets {
		if r.ejected {
			list = append(list, Ejection{name, r.reason})
		}
	}
	sortEjections(list)
	return list
}

func sortEjections(list []Ejection) {
	slices.SortFunc(list, func(a, b Ejection) int {
		if d := gravity[b.Reason] - gravity[a.Reason]; d != 0 {
			return d
		}
		return strings.Compare(a.Target, b.Target)
	})
}

func (r *record) eject(reason Reason, now time.Time) {
	if now.Sub(r.lastTime) > forgiveness {
		r.times = 0
	}
	length := min(firstEjection<<min(r.times, 8), longestEjection)
	r.times++
	r.lastTime = now
	r.ejected, r.reason, r.until = true, reason, now.Add(length)
	r.window, r.sum = [buckets]Stats{}, Stats{}
	clear(r.waiting)
}

func (r *record) release() {
	r.ejected = false
	r.window, r.sum = [buckets]Stats{}, Stats{}
	clear(r.waiting)
}

// suspects returns the backend servers that should be ejected, gravest first.
func (j *Detector) suspects(eligible []string, now time.Time) []Ejection {
	var all, recent Stats
	for _, name := range eligible {
		r := j.record(name)
		all = all.Plus(r.sum)
		recent = recent.Plus(r.recent())
	}
	var list []Ejection
	for _, name := range eligible {
		r := j.record(name)
		if r.ejected {
			continue
		}
		if reason, bad := r.judge(all.Minus(r.sum), recent.Minus(r.recent()), now); bad {
			list = append(list, Ejection{name, reason})
		}
	}
	sortEjections(list)
	return list
}

// judge compares one backend server with all others together, over the whole
// window and over its last part. What they have in common, such as an overload,
// speaks against none.
func (r *record) judge(others, recent Stats, now time.Time) (Reason, bool) {
	if others.OK == 0 {
		return "", false
	}
	silent := now.Sub(r.lastOK) > max(quiet, quietFactor*others.typical())
	limit := max(stuckLeast, stuckFactor*others.typical())
	switch {
	case silent && r.stuck(limit, now)+r.sum.TimedOut >= stuckRequests, silent && r.overtaken(recent):
		return Stuck, true
	case silent && r.sum.Unreachable+r.sum.Torn >= unreachableCount:
		return NotReachable, true
	case r.erring(others, recent):
		return Erring, true
	case r.slow(others):
		return Slow, true
	default:
		return "", false
	}
}

// overtaken reports whether requests to this server are overtaken by later ones,
// and those to the others are not.
func (r *record) overtaken(others Stats) bool {
	return r.sum.Late >= lateRequests && float64(others.Late) < mostOvertaken*float64(others.OK+others.Late)
}

// erring reports whether bad results are more frequent than at the others, now or
// over the window. Time-outs count only while the others have none.
func (r *record) erring(others, recent Stats) bool {
	own := r.sum
	if recent.TimedOut > 0 {
		own.TimedOut = 0
	}
	if own.Bad() < errorsLeast {
		return false
	}
	usual := max(others.badShare(), recent.badShare())
	return lowerBound(own.Bad(), own.Total(), errorsScore) > errorsFactor*usual+errorsOffset
}

func (r *record) slow(others Stats) bool {
	if r.sum.OK < slowLeast || others.OK < slowLeast {
		return false
	}
	shift := r.sum.meanLog() - others.meanLog()
	if shift < math.Log(slowShift) {
		return false
	}
	variance := math.Max(r.sum.varianceLog(), others.varianceLog())
	deviation := math.Sqrt(variance/float64(r.sum.OK) + variance/float64(others.OK))
	return shift > slowScore*deviation
}
