package health

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// bucketDuration is the resolution of the detector's window, buckets its length.
	bucketDuration = 100 * time.Millisecond
	buckets        = 20
	// recentBuckets is the length of the recent part of the window, in which a sudden
	// overload shows.
	recentBuckets = 5

	// stuckFactor is the multiple of the pool's typical latency that a request must have
	// waited to count as stuck, minStuckWait the shortest such time.
	stuckFactor  = 10
	minStuckWait = 250 * time.Millisecond
	// minStuckRequests is the number of stuck or timed-out requests that cause an ejection.
	minStuckRequests = 2
	// minLateRequests is the number of late requests that cause an ejection.
	minLateRequests = 3
	// maxLateShare is the share of late requests at the other servers from which on late
	// requests are ignored.
	maxLateShare = 0.1
	// minSilence is the shortest time without a success after which a server can count as
	// stuck or unreachable. The time must also be silenceFactor times the pool's typical
	// latency, because successes are far apart while all servers are slow.
	minSilence    = 300 * time.Millisecond
	silenceFactor = 8
	// minUnreachable is the number of failed connections and torn responses that cause an
	// ejection.
	minUnreachable = 3

	// minErrors is the number of failures required for an ejection. The lower bound of the
	// failure rate, at errorsZScore standard deviations, must exceed errorsFactor times the
	// rate of the other servers plus errorsOffset.
	minErrors    = 4
	errorsZScore = 3.0
	errorsFactor = 2.0
	errorsOffset = 0.02

	// minSlowSamples is the number of successes required for an ejection for slowness. The
	// latency must be at least minSlowRatio times that of the other servers, at a
	// significance of slowZScore standard deviations.
	minSlowSamples = 8
	minSlowRatio   = 2.2
	slowZScore     = 6.0

	// initialEjection is the duration of the first ejection. It doubles with every further
	// ejection within ejectionMemory of the previous one, up to maxEjection.
	initialEjection = 5 * time.Second
	maxEjection     = time.Minute
	ejectionMemory  = 2 * time.Minute

	// reportTTL is how long a VM's report on waiting requests stays valid.
	reportTTL = 1500 * time.Millisecond
)

// Reason is the cause of an ejection.
type Reason string

// The reasons, most severe first.
const (
	Stuck        Reason = "stuck"
	NotReachable Reason = "unreachable"
	Erring       Reason = "erring"
	Slow         Reason = "slow"
)

var severity = map[Reason]int{Stuck: 3, NotReachable: 2, Erring: 1, Slow: 0}

// Report is what one VM has observed of one backend server since its last report.
type Report struct {
	Target string
	Stats  Stats
	// Oldest is the age of the oldest of the InFlight requests that wait for a response.
	Oldest   time.Duration
	InFlight int
	// Cold is set if a response said that the backend server is cold.
	Cold bool
	// Limit is what the last response said about the requests that the backend server takes.
	Limit Limit
	// LeavingBoot is the boot in which the backend server has said that it leaves, 0 if it has not.
	LeavingBoot uint64
}

// Ejection is an ejected backend server, which receives no requests.
type Ejection struct {
	Target string
	Reason Reason
}

// Detector combines the reports of all VMs on the backend servers of one pool and decides
// which to eject. It performs no I/O.
type Detector struct {
	targets map[string]*history
}

// history holds the recent results and the ejections of one backend server.
type history struct {
	window  [buckets]Stats
	bucket  int64
	sum     Stats
	lastOK  time.Time
	waiting map[string]waiting

	ejected      bool
	reason       Reason
	ejectedUntil time.Time
	ejections    int
	lastEjection time.Time
}

// waiting is the last report of one VM on its waiting requests.
type waiting struct {
	since      time.Time
	inFlight   int
	reportedAt time.Time
}

// NewDetector returns a detector without any reports.
func NewDetector() *Detector { return &Detector{targets: make(map[string]*history)} }

func (d *Detector) history(name string) *history {
	h, ok := d.targets[name]
	if !ok {
		h = &history{waiting: make(map[string]waiting)}
		d.targets[name] = h
	}
	return h
}

// AddReport adds the report of a VM.
func (d *Detector) AddReport(vm string, report Report, now time.Time) {
	h := d.history(report.Target)
	h.advance(now)
	h.window[h.bucket%buckets] = h.window[h.bucket%buckets].Plus(report.Stats)
	h.sum = h.sum.Plus(report.Stats)
	if report.Stats.OK > 0 {
		h.lastOK = now
	}
	h.waiting[vm] = waiting{since: now.Add(-report.Oldest), inFlight: report.InFlight, reportedAt: now}
}

// advance moves the window forward and drops expired buckets.
func (h *history) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketDuration)
	if bucket-h.bucket >= buckets {
		h.window, h.sum = [buckets]Stats{}, Stats{}
		h.bucket = bucket
		return
	}
	for h.bucket < bucket {
		h.bucket++
		h.sum = h.sum.Minus(h.window[h.bucket%buckets])
		h.window[h.bucket%buckets] = Stats{}
	}
}

// recent returns the sum of the last recentBuckets buckets.
func (h *history) recent() Stats {
	var sum Stats
	for i := range recentBuckets {
		sum = sum.Plus(h.window[(h.bucket-int64(i)+buckets)%buckets])
	}
	return sum
}

// stuck returns the number of VMs whose oldest request has waited longer than limit.
func (h *history) stuck(limit time.Duration, now time.Time) int {
	n := 0
	for vm, w := range h.waiting {
		if now.Sub(w.reportedAt) > reportTTL {
			delete(h.waiting, vm)
			continue
		}
		if w.inFlight > 0 && now.Sub(w.since) > limit {
			n++
		}
	}
	return n
}

// Decision lists the changes made by an evaluation.
type Decision struct {
	Ejected    []Ejection
	Readmitted []string
	// Refused lists ejections that the floor does not permit.
	Refused []Ejection
}

// Evaluate decides which of the eligible backend servers are ejected, and never ejects so
// many that less than the share floor remains. The number reserved of servers count as
// ejected because they receive few requests for other reasons.
func (d *Detector) Evaluate(eligible []string, floor float64, reserved int, now time.Time) Decision {
	var decision Decision
	d.forget(eligible)
	for _, name := range eligible {
		h := d.history(name)
		h.advance(now)
		if h.ejected && !now.Before(h.ejectedUntil) {
			h.readmit()
			decision.Readmitted = append(decision.Readmitted, name)
		}
	}
	decision.Readmitted = append(decision.Readmitted, d.enforceFloor(eligible, floor)...)
	remaining := d.ejectable(eligible, floor) - reserved
	for _, e := range d.candidates(eligible, now) {
		if remaining <= 0 {
			decision.Refused = append(decision.Refused, e)
			continue
		}
		remaining--
		d.history(e.Target).eject(e.Reason, now)
		decision.Ejected = append(decision.Ejected, e)
	}
	return decision
}

// forget removes backend servers that are no longer eligible.
func (d *Detector) forget(eligible []string) {
	kept := make(map[string]bool, len(eligible))
	for _, name := range eligible {
		kept[name] = true
	}
	for name := range d.targets {
		if !kept[name] {
			delete(d.targets, name)
		}
	}
}

// ejectable returns how many more backend servers may be ejected.
func (d *Detector) ejectable(eligible []string, floor float64) int {
	return MaxEjected(len(eligible), floor) - len(d.Ejected())
}

// enforceFloor readmits backend servers, least severe first, if fewer may be ejected than
// before because eligible servers have left.
func (d *Detector) enforceFloor(eligible []string, floor float64) []string {
	ejected := d.Ejected()
	excess := len(ejected) - MaxEjected(len(eligible), floor)
	var readmitted []string
	for _, e := range slices.Backward(ejected) {
		if excess <= 0 {
			break
		}
		excess--
		d.history(e.Target).readmit()
		readmitted = append(readmitted, e.Target)
	}
	return readmitted
}

// MaxEjected returns how many of n backend servers may be ejected at once.
func MaxEjected(n int, floor float64) int {
	return max(0, n-int(math.Ceil(floor*float64(n)-1e-9)))
}

// Ejected returns the ejected backend servers, most severe reason first.
func (d *Detector) Ejected() []Ejection {
	var list []Ejection
	for name, h := range d.targets {
		if h.ejected {
			list = append(list, Ejection{name, h.reason})
		}
	}
	sortEjections(list)
	return list
}

func sortEjections(list []Ejection) {
	slices.SortFunc(list, func(a, b Ejection) int {
		if d := severity[b.Reason] - severity[a.Reason]; d != 0 {
			return d
		}
		return strings.Compare(a.Target, b.Target)
	})
}

func (h *history) eject(reason Reason, now time.Time) {
	if now.Sub(h.lastEjection) > ejectionMemory {
		h.ejections = 0
	}
	duration := min(initialEjection<<min(h.ejections, 8), maxEjection)
	h.ejections++
	h.lastEjection = now
	h.ejected, h.reason, h.ejectedUntil = true, reason, now.Add(duration)
	h.window, h.sum = [buckets]Stats{}, Stats{}
	clear(h.waiting)
}

func (h *history) readmit() {
	h.ejected = false
	h.window, h.sum = [buckets]Stats{}, Stats{}
	clear(h.waiting)
}

// candidates returns the backend servers to eject, most severe reason first.
func (d *Detector) candidates(eligible []string, now time.Time) []Ejection {
	var all, recent Stats
	for _, name := range eligible {
		h := d.history(name)
		all = all.Plus(h.sum)
		recent = recent.Plus(h.recent())
	}
	var list []Ejection
	for _, name := range eligible {
		h := d.history(name)
		if h.ejected {
			continue
		}
		if reason, bad := h.ejectionReason(all.Minus(h.sum), recent.Minus(h.recent()), now); bad {
			list = append(list, Ejection{name, reason})
		}
	}
	sortEjections(list)
	return list
}

// ejectionReason compares a backend server with all others, over the whole window and over
// its recent part. Problems that all servers share, such as an overload, are no reason to
// eject any of them.
func (h *history) ejectionReason(others, recent Stats, now time.Time) (Reason, bool) {
	if others.OK == 0 {
		return "", false
	}
	silent := now.Sub(h.lastOK) > max(minSilence, silenceFactor*others.typicalLatency())
	limit := max(minStuckWait, stuckFactor*others.typicalLatency())
	switch {
	case silent && h.stuck(limit, now)+h.sum.TimedOut >= minStuckRequests, silent && h.lateTooOften(recent):
		return Stuck, true
	case silent && h.sum.Unreachable+h.sum.Torn >= minUnreachable:
		return NotReachable, true
	case h.erring(others, recent):
		return Erring, true
	case h.slow(others):
		return Slow, true
	default:
		return "", false
	}
}

// lateTooOften reports whether requests to this server are late while those to the others
// are not.
func (h *history) lateTooOften(others Stats) bool {
	return h.sum.Late >= minLateRequests && float64(others.Late) < maxLateShare*float64(others.OK+others.Late)
}

// erring reports whether the failure rate over the window is above that of the other
// servers, both over the window and recently. Time-outs count only if the other servers
// have had none recently.
func (h *history) erring(others, recent Stats) bool {
	own := h.sum
	if recent.TimedOut > 0 {
		own.TimedOut = 0
	}
	if own.Bad() < minErrors {
		return false
	}
	othersShare := max(others.badShare(), recent.badShare())
	return lowerBound(own.Bad(), own.Total(), errorsZScore) > errorsFactor*othersShare+errorsOffset
}

func (h *history) slow(others Stats) bool {
	if h.sum.OK < minSlowSamples || others.OK < minSlowSamples {
		return false
	}
	shift := h.sum.meanLog() - others.meanLog()
	if shift < math.Log(minSlowRatio) {
		return false
	}
	variance := math.Max(h.sum.varianceLog(), others.varianceLog())
	deviation := math.Sqrt(variance/float64(h.sum.OK) + variance/float64(others.OK))
	return shift > slowZScore*deviation
}
