package lease

import "time"

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
)

// failureTracker records the holders that fail to serve, and the leases that this entry
// is asked to take over. It does no I/O.
//
// A holder that is frozen, partitioned or has an outdated configuration remains a
// member for seconds. Without a takeover, every workspace of its shards is refused
// until then.
type failureTracker struct {
	failures  map[string]failureSeries
	takeovers map[string]time.Time
}

// failureSeries is an uninterrupted series of failures of one lease's holder.
type failureSeries struct {
	first, last time.Time
	// takeoverAt is the time of the last takeover request.
	takeoverAt time.Time
}

func newFailureTracker() *failureTracker {
	return &failureTracker{failures: make(map[string]failureSeries), takeovers: make(map[string]time.Time)}
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

// addTakeovers records leases that this entry is asked to take over.
func (f *failureTracker) addTakeovers(names []string, now time.Time) {
	for _, name := range names {
		if len(f.takeovers) < maxNames {
			f.takeovers[name] = now.Add(takeoverTimeout)
		}
	}
}

// takeoverRequested reports whether this entry is asked to take over a lease.
func (f *failureTracker) takeoverRequested(name string, now time.Time) bool {
	until, requested := f.takeovers[name]
	if requested && !now.Before(until) {
		delete(f.takeovers, name)
		return false
	}
	return requested
}
