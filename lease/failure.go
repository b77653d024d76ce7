package lease

import (
	"maps"
	"time"
)

const (
	// takeoverAfter is how long a holder must have failed before another entry is asked
	// to take its lease over. It covers a few lost messages and a new holder's start.
	takeoverAfter = 500 * time.Millisecond
	// failureGap is the time without a further failure after which earlier ones no
	// longer count.
	failureGap = time.Second
	// takeoverInterval is the time between two takeover requests for a lease.
	takeoverInterval = 300 * time.Millisecond
	// recentFailurePeriod is how long after a failure entries do not use the holder.
	recentFailurePeriod = 300 * time.Millisecond
	// takeoverTimeout is how long an entry tries to take over a lease after a request.
	takeoverTimeout = time.Second
	// minDoubters is the number of entries that must ask for a takeover before the lease of a holder
	// that renews it is contested. One or two may merely have lost their paths to the holder.
	minDoubters = 3
	// maxDoubters bounds the entries that are stored for a lease.
	maxDoubters = 16
)

// failureTracker records the holders that fail to serve, and the leases that this entry
// is asked to take over. It does no I/O.
//
// A holder that is frozen, partitioned or has an outdated configuration remains a
// member for seconds. Without a takeover, every workspace of its shards is refused
// until then.
type failureTracker struct {
	failures  map[string]failureSeries
	takeovers map[string]takeover
}

// takeover is a request to take over a lease.
type takeover struct {
	until time.Time
	// doubters holds the entries that asked, each until it no longer counts.
	doubters map[string]time.Time
}

// failureSeries is an uninterrupted series of failures of one lease's holder.
type failureSeries struct {
	first, last time.Time
	// takeoverAt is the time of the last takeover request.
	takeoverAt time.Time
}

func newFailureTracker() *failureTracker {
	return &failureTracker{failures: make(map[string]failureSeries), takeovers: make(map[string]takeover)}
}

// recordFailure records a failure of a lease's holder and reports whether to request a
// takeover now.
func (f *failureTracker) recordFailure(name string, now time.Time) bool {
	series, known := f.failures[name]
	if !known || now.Sub(series.last) > failureGap {
		series = failureSeries{first: now}
	}
	series.last = now
	takeover := now.Sub(series.first) >= takeoverAfter && now.Sub(series.takeoverAt) >= takeoverInterval
	if takeover {
		series.takeoverAt = now
	}
	f.failures[name] = series
	return takeover
}

// recentlyFailed reports whether a lease's holder failed within recentFailurePeriod.
func (f *failureTracker) recentlyFailed(name string, now time.Time) bool {
	series, known := f.failures[name]
	return known && now.Sub(series.last) < recentFailurePeriod
}

// clear removes the failures of a lease's holder.
func (f *failureTracker) clear(name string) { delete(f.failures, name) }

// addTakeovers records leases that another entry, or this one, asks this entry to take over.
func (f *failureTracker) addTakeovers(from string, names []string, now time.Time) {
	for _, name := range names {
		t, known := f.takeovers[name]
		if !known && len(f.takeovers) >= maxNames {
			continue
		}
		if t.doubters == nil {
			t.doubters = make(map[string]time.Time)
		}
		maps.DeleteFunc(t.doubters, func(_ string, until time.Time) bool { return !now.Before(until) })
		t.until = now.Add(takeoverTimeout)
		if len(t.doubters) < maxDoubters {
			t.doubters[from] = t.until
		}
		f.takeovers[name] = t
	}
}

// takeoverRequested reports whether this entry is asked to take over a lease.
func (f *failureTracker) takeoverRequested(name string, now time.Time) bool {
	t, requested := f.takeovers[name]
	if requested && !now.Before(t.until) {
		delete(f.takeovers, name)
		return false
	}
	return requested
}

// contested reports whether so many entries ask for a takeover that the holder is at fault, and not
// single paths to it.
func (f *failureTracker) contested(name string, now time.Time) bool {
	doubters := 0
	for _, until := range f.takeovers[name].doubters {
		if now.Before(until) {
			doubters++
		}
	}
	return doubters >= minDoubters
}
