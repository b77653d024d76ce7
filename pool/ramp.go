package pool

import (
	"slices"
	"time"
)

const (
	// permitHold is the longest time that a permit can be in use. A holder counts
	// it for so long if it is not given back.
	permitHold = 15 * time.Second
	// permitLife is the time in which a permit must be used.
	permitLife = time.Second
)

// Ramp limits the requests that a cold backend server gets at once, over all
// entries. The limit rises from coldSlots to slots over the ramp's length, from
// the first good answer on, and falls back with a bad one.
type Ramp struct {
	slots     int
	coldSlots int
	length    time.Duration

	warmingSince time.Time // zero before the first good answer
	permits      []time.Time

	// rate bounds the permits of any second, 0 for no bound; recent are those of
	// the last one.
	rate   float64
	recent []time.Time
}

// NewRamp returns the ramp of a backend server that has just turned cold.
func NewRamp(slots, coldSlots int, length time.Duration) *Ramp {
	return &Ramp{slots: slots, coldSlots: min(coldSlots, slots), length: length}
}

// WithRate bounds the permits of any second.
func (r *Ramp) WithRate(perSecond float64) *Ramp {
	r.rate = perSecond
	return r
}

// rateSpan is the span for which the rate of a cold backend server counts.
const rateSpan = time.Second

// Available reports whether there is a permit.
func (r *Ramp) Available(now time.Time) bool {
	if r.InUse(now) >= r.Limit(now) {
		return false
	}
	if r.rate <= 0 {
		return true
	}
	r.recent = slices.DeleteFunc(r.recent, func(at time.Time) bool { return now.Sub(at) >= rateSpan })
	return float64(len(r.recent)) < r.rate
}

// Limit returns the number of requests allowed at once.
func (r *Ramp) Limit(now time.Time) int {
	if r.warmingSince.IsZero() || r.length <= 0 {
		return r.coldSlots
	}
	part := float64(now.Sub(r.warmingSince)) / float64(r.length)
	return min(r.slots, r.coldSlots+int(part*float64(r.slots-r.coldSlots)))
}

// InUse returns the number of permits in use.
func (r *Ramp) InUse(now time.Time) int {
	kept := r.permits[:0]
	for _, at := range r.permits {
		if now.Sub(at) < permitHold {
			kept = append(kept, at)
		}
	}
	r.permits = kept
	return len(r.permits)
}

// Grant gives a permit, and reports whether there was one.
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

// Return takes a permit back that led to no result.
func (r *Ramp) Return() {
	if len(r.permits) > 0 {
		r.permits = r.permits[1:]
	}
}

// Done takes a permit back. A request that ended badly starts the ramp anew.
func (r *Ramp) Done(well bool, now time.Time) {
	r.Return()
	switch {
	case !well:
		r.warmingSince = time.Time{}
	case r.warmingSince.IsZero():
		r.warmingSince = now
	}
}

// Finished reports whether the whole ramp has gone by without a bad answer.
func (r *Ramp) Finished(now time.Time) bool {
	return !r.warmingSince.IsZero() && now.Sub(r.warmingSince) >= r.length
}
