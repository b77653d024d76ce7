package sched

import (
	"slices"
	"time"
)

const (
	// maxPermitUse is the longest time that a permit can be in use. A permit that is not
	// returned counts as in use for that long.
	maxPermitUse = 15 * time.Second
	// PermitLifetime is the time within which a permit must be used.
	PermitLifetime = time.Second
)

// Ramp limits the concurrent requests of all entries to a cold backend server. From the
// first successful request on, the limit rises from coldSlots to slots over the ramp's
// duration. A failed request resets it to coldSlots.
type Ramp struct {
	slots     int
	coldSlots int
	duration  time.Duration

	warmingSince time.Time // zero before the first good answer
	permits      []time.Time

	// rate limits the permits per second, 0 for no limit. recent holds the times of the
	// permits granted in the last second.
	rate   float64
	recent []time.Time
	// from is the time from which permits of a limited rate are granted.
	from time.Time
	// probation marks the ramp of a readmitted server that is not cold.
	probation bool
}

// NewRamp returns the ramp of a backend server that has just turned cold.
func NewRamp(slots, coldSlots int, duration time.Duration) *Ramp {
	return &Ramp{slots: slots, coldSlots: min(coldSlots, slots), duration: duration}
}

// WithRate limits the permits per second.
func (r *Ramp) WithRate(perSecond float64) *Ramp {
	r.rate = perSecond
	return r
}

// WithStart sets the time from which permits are granted if there is a rate limit.
func (r *Ramp) WithStart(from time.Time) *Ramp {
	r.from = from
	return r
}

// WithRecent counts requests that were sent before the ramp towards its rate limit.
func (r *Ramp) WithRecent(times []time.Time) *Ramp {
	r.recent = slices.Clone(times)
	return r
}

// rateWindow is the window over which the rate limit of a ramp is enforced.
const rateWindow = time.Second

// Available reports whether a permit can be granted.
func (r *Ramp) Available(now time.Time) bool {
	if r.InUse(now) >= r.Limit(now) {
		return false
	}
	if r.rate <= 0 {
		return true
	}
	if now.Before(r.from) {
		return false
	}
	r.recent = slices.DeleteFunc(r.recent, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
	return float64(len(r.recent)) < r.rate
}

// Limit returns the number of concurrent requests allowed.
func (r *Ramp) Limit(now time.Time) int {
	if r.warmingSince.IsZero() || r.duration <= 0 {
		return r.coldSlots
	}
	fraction := float64(now.Sub(r.warmingSince)) / float64(r.duration)
	return min(r.slots, r.coldSlots+int(fraction*float64(r.slots-r.coldSlots)))
}

// InUse returns the number of permits in use.
func (r *Ramp) InUse(now time.Time) int {
	kept := r.permits[:0]
	for _, at := range r.permits {
		if now.Sub(at) < maxPermitUse {
			kept = append(kept, at)
		}
	}
	r.permits = kept
	return len(r.permits)
}

// Grant grants a permit and reports whether one was available.
func (r *Ramp) Grant(now time.Time) bool {
	if !r.Available(now) {
		return false
	}
	r.permits = append(r.permits, now)
	if r.rate > 0 {
		r.recent = append(r.recent, now)
	}
	return true
}

// Return releases a permit that led to no result.
func (r *Ramp) Return() {
	if len(r.permits) > 0 {
		r.permits = r.permits[1:]
	}
}

// Done releases a permit. A failed request restarts the ramp.
func (r *Ramp) Done(success bool, now time.Time) {
	r.Return()
	switch {
	case !success:
		r.Restart()
	case r.warmingSince.IsZero():
		r.warmingSince = now
	}
}

// Restart begins the ramp anew. Permits and the requests of the last second still count.
func (r *Ramp) Restart() { r.warmingSince = time.Time{} }

// Finished reports whether the ramp has completed without a failed request.
func (r *Ramp) Finished(now time.Time) bool {
	return !r.warmingSince.IsZero() && now.Sub(r.warmingSince) >= r.duration
}
