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
	// holderPart is the part of what is tolerated that the holder of a shard uses;
	// the rest is for entries that do not reach it.
	holderPart = 0.85
)

// limit returns the number of requests tolerated in one window.
func (t Tolerance) limit(rate, burst float64) float64 {
	return (rate*t.Window.Seconds()+burst)*(1+t.Excess) + t.Slack
}

// aloneBucket is an entry's own part of a workspace's rate, for the time in which the
// holder of its shard does not answer. The parts of all entries add up to the rate
// and, at the start, to what is tolerated beyond it.
type aloneBucket struct {
	tokens float64
	filled time.Time
}

// newAloneBucket returns the part of one of n entries. It starts with a token by
// chance, so that few tokens are spread over many entries.
func newAloneBucket(t Tolerance, w state.Workspace, n int, now time.Time) *aloneBucket {
	spare := (t.limit(w.Rate, w.Burst) - w.Rate*t.Window.Seconds()) * (1 - holderPart)
	b := &aloneBucket{filled: now}
	if share := spare / float64(max(1, n)); rand.Float64() < share {
		b.tokens = max(1, share)
	}
	return b
}

// take uses one token and reports whether there was one.
func (b *aloneBucket) take(w state.Workspace, n int, now time.Time) bool {
	part := 1 / float64(max(1, n))
	passed := max(0, now.Sub(b.filled).Seconds())
	b.tokens = min(b.tokens+w.Rate*part*passed, max(1, w.Burst*part))
	b.filled = now
	if b.tokens < 1 {
		// Small parts of many entries would never grow to a whole token: each is
		// one with the probability of its size.
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

// newWindow returns a window that is full, as if an earlier holder had granted
// the most that is tolerated.
func newWindow(length time.Duration, total float64, now time.Time) *window {
	w := &window{span: length / windowSpans}
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
