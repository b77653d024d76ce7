package limit

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// Tolerance is the allowed excess over a workspace's rate and burst: at most
// (rate x window + burst) x (1 + excess) + slack requests in any window.
type Tolerance struct {
	// Window is 0 if no excess is allowed.
	Window time.Duration
	Excess float64
	Slack  float64
}

// The tolerated requests of a window are divided between the settled holder of a
// shard, a new holder that has to allow for its predecessor's grants, and the entries
// that cannot reach a holder.
const (
	holderFraction    = 0.82
	newHolderFraction = 0.06
	fallbackFraction  = 1 - holderFraction - newHolderFraction
	// fallbackRateFraction is the fraction of its part of the rate that an entry without a
	// holder admits in the long run. Most workspaces use no more, and the holder has to
	// reserve it for every entry that it does not reach, including dead ones.
	fallbackRateFraction = 0.6
	// fallbackRateDelay is the time without a holder after which an entry also refills
	// from the rate. Until then the holder's earlier grants may still be in use.
	fallbackRateDelay = time.Second
)

// windowLimit returns the number of requests tolerated in one window.
func (t Tolerance) windowLimit(rate, burst float64) float64 {
	return (rate*t.Window.Seconds()+burst)*(1+t.Excess) + t.Slack
}

// fallbackBudget returns the number of requests in one window that are reserved for
// the entries that cannot reach the holder of a shard.
func (t Tolerance) fallbackBudget(rate, burst float64) float64 {
	return fallbackFraction * t.windowLimit(rate, burst)
}

// newHolderBudget returns the number of requests that a holder may grant before it
// has settled.
func (t Tolerance) newHolderBudget(rate, burst float64) int {
	if t.Window <= 0 {
		return 0
	}
	return int(newHolderFraction * t.windowLimit(rate, burst))
}

// fallbackBucket is an entry's local part of a workspace's rate, used while the
// holder of the shard does not answer. The parts of all entries add up to the
// fallback budget, or to a fraction of the rate during a longer time without a holder.
//
// After a power loss a shard has no holder for about a second, and the requests of
// one workspace are spread over more entries than it has requests in that time.
type fallbackBucket struct {
	tolerance  Tolerance
	tokens     float64
	refilledAt time.Time
	// noHolderSince is the start of the time without a holder.
	noHolderSince time.Time
}

// newFallbackBucket returns the bucket of one of n entries.
func newFallbackBucket(t Tolerance, w state.Workspace, n int, now time.Time) *fallbackBucket {
	return &fallbackBucket{tolerance: t, tokens: t.fallbackBudget(w.Rate, w.Burst) / float64(max(1, n)), refilledAt: now, noHolderSince: now}
}

// take uses one token of one of n entries and reports whether there was one;
// lastAnswer is the time of the holder's last answer to this entry. With many entries
// a bucket may hold less than one token: it then admits with that probability.
func (b *fallbackBucket) take(w state.Workspace, n int, lastAnswer, now time.Time) bool {
	part := 1 / float64(max(1, n))
	budget := b.tolerance.fallbackBudget(w.Rate, w.Burst) * part
	if lastAnswer.After(b.refilledAt) {
		b.noHolderSince = now
	}
	// The whole budget is refilled within one window.
	elapsed := max(0, now.Sub(b.refilledAt))
	refill := budget * elapsed.Seconds() / b.tolerance.Window.Seconds()
	if withoutHolder := min(elapsed, now.Sub(b.noHolderSince)-fallbackRateDelay); withoutHolder > 0 {
		refill = max(refill, fallbackRateFraction*w.Rate*part*withoutHolder.Seconds())
	}
	b.tokens = min(b.tokens+refill, max(budget, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		probability := b.tokens
		b.tokens = 0
		return rand.Float64() < probability
	}
	b.tokens--
	return true
}

// windowSlots is the number of slots that the window is divided into.
const windowSlots = 20

// grantWindow counts grants over a sliding window.
type grantWindow struct {
	slotLength time.Duration
	counts     [windowSlots]float64
	slot       int64
}

// slotLength returns the length of one slot of the window in which a holder's grants
// count. It is longer than the tolerated window by maxLifetime, because tokens may be
// used that long after their grant.
func slotLength(window time.Duration) time.Duration {
	return (window + maxLifetime) / windowSlots
}

// newFullWindow returns a full window, as if an earlier holder had granted the whole
// budget.
func newFullWindow(window time.Duration, budget float64, now time.Time) *grantWindow {
	w := &grantWindow{slotLength: slotLength(window)}
	w.slot = now.UnixNano() / int64(w.slotLength)
	for i := range w.counts {
		w.counts[i] = budget / windowSlots
	}
	return w
}

func (w *grantWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.slotLength)
	for n := 0; w.slot < slot && n < windowSlots; n++ {
		w.slot++
		w.counts[((w.slot%windowSlots)+windowSlots)%windowSlots] = 0
	}
	w.slot = max(w.slot, slot)
}

func (w *grantWindow) add(n float64) {
	w.counts[((w.slot%windowSlots)+windowSlots)%windowSlots] += n
}

func (w *grantWindow) scale(factor float64) {
	for i := range w.counts {
		w.counts[i] *= factor
	}
}

func (w *grantWindow) sum() float64 {
	total := 0.0
	for _, n := range w.counts {
		total += n
	}
	return total
}
