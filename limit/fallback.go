package limit

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// Tolerance is how far operators let a workspace exceed its rate and burst: in any
// window, (rate x window + burst) x (1 + excess) + slack requests.
type Tolerance struct {
	// Window is 0 where there is no tolerance.
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// holderPart is the part of what is tolerated that the holder of a shard uses,
	// newPart the part that a new holder may use while an earlier one's grants still
	// count, and alonePart the part of the entries that reach no holder.
	holderPart = 0.82
	newPart    = 0.06
	alonePart  = 1 - holderPart - newPart
	// aloneFlow is the part of its part of the rate that an entry without a holder admits
	// in the long run. Most workspaces use no more, and the holder has to leave it to
	// every entry that it does not hear, dead ones included.
	aloneFlow = 0.6
	// aloneSpan is the time without a holder after which an entry's part of the rate
	// itself comes back too. Until then what was granted before still counts.
	aloneSpan = time.Second
)

// limit returns the number of requests tolerated in one window.
func (t Tolerance) limit(rate, burst float64) float64 {
	return (rate*t.Window.Seconds()+burst)*(1+t.Excess) + t.Slack
}

// spare returns the number of requests in one window that are left to the entries
// that do not reach the holder of a shard.
func (t Tolerance) spare(rate, burst float64) float64 {
	return alonePart * t.limit(rate, burst)
}

// early returns the number of requests that the holder of a shard may grant while it
// is new.
func (t Tolerance) early(rate, burst float64) int {
	if t.Window <= 0 {
		return 0
	}
	return int(newPart * t.limit(rate, burst))
}

// aloneBucket is an entry's own part of a workspace's rate, for the time in which the
// holder of its shard does not answer. The parts of all entries add up to what the
// holder leaves, and while there is none, to the rate.
//
// The pattern it answers: after a power loss nobody holds a shard for about a second,
// and a workspace's requests are spread over more entries than it has requests in
// that time.
type aloneBucket struct {
	tolerance Tolerance
	tokens    float64
	filled    time.Time
	// since is the start of the time without a holder.
	since time.Time
}

// newAloneBucket returns the part of one of n entries.
func newAloneBucket(t Tolerance, w state.Workspace, n int, now time.Time) *aloneBucket {
	return &aloneBucket{tolerance: t, tokens: t.spare(w.Rate, w.Burst) / float64(max(1, n)), filled: now, since: now}
}

// take uses one token and reports whether there was one. The holder has answered
// this entry last at an instant. Parts of many entries may be smaller than a token:
// each is one with the probability of its size.
func (b *aloneBucket) take(w state.Workspace, n int, answered, now time.Time) bool {
	part := 1 / float64(max(1, n))
	most := b.tolerance.spare(w.Rate, w.Burst) * part
	if answered.After(b.filled) {
		b.since = now
	}
	// What the holder leaves comes back within a window.
	passed := max(0, now.Sub(b.filled))
	refill := most * passed.Seconds() / b.tolerance.Window.Seconds()
	if without := min(passed, now.Sub(b.since)-aloneSpan); without > 0 {
		refill = max(refill, aloneFlow*w.Rate*part*without.Seconds())
	}
	b.tokens = min(b.tokens+refill, max(most, 1))
	b.filled = now
	if b.tokens < 1 {
		chance := b.tokens
		b.tokens = 0
		return rand.Float64() < chance
	}
	b.tokens--
	return true
}

// windowSpans is the number of parts of a window that grants are counted in.
const windowSpans = 20

// window counts grants over the last window.
type window struct {
	span   time.Duration
	counts [windowSpans]float64
	slot   int64
}

// windowSpan returns the length of one part of the window in which the grants of a
// holder count: tokens are used up to a lifetime after their grant.
func windowSpan(tolerated time.Duration) time.Duration {
	return (tolerated + maxLifetime) / windowSpans
}

// newWindow returns a window that is full, as if an earlier holder had granted
// the most that is tolerated.
func newWindow(tolerated time.Duration, total float64, now time.Time) *window {
	w := &window{span: windowSpan(tolerated)}
	w.slot = now.UnixNano() / int64(w.span)
	for i := range w.counts {
		w.counts[i] = total / windowSpans
	}
	return w
}

func (w *window) roll(now time.Time) {
	slot := now.UnixNano() / int64(w.span)
	for n := 0; w.slot < slot && n < windowSpans; n++ {
		w.slot++
		w.counts[((w.slot%windowSpans)+windowSpans)%windowSpans] = 0
	}
	w.slot = max(w.slot, slot)
}

func (w *window) add(n float64) {
	w.counts[((w.slot%windowSpans)+windowSpans)%windowSpans] += n
}

func (w *window) scale(by float64) {
	for i := range w.counts {
		w.counts[i] *= by
	}
}

func (w *window) sum() float64 {
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	return total
}
