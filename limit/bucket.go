package limit

import (
	"math"
	"time"
)

const (
	// MaxWait bounds how far ahead of time tokens are granted.
	MaxWait = 300 * time.Millisecond
	// maxLifetime bounds the time between a grant and its use.
	maxLifetime = 500 * time.Millisecond
	// minLifetime leaves time for the answer to reach the entry.
	minLifetime = 5 * time.Millisecond
	// batchSpan is the time whose tokens are granted ahead together when the bucket is
	// empty.
	batchSpan = 10 * time.Millisecond
)

// lifetime returns how long after their grant the tokens of a workspace may be
// used. A longer lifetime lets entries prefetch tokens, but leaves less of the burst
// to the bucket; see capacity.
func lifetime(rate, burst float64) time.Duration {
	if rate <= 0 {
		return maxLifetime
	}
	spare := math.Min(burst/2, burst-1)
	l := time.Duration(spare / rate * float64(time.Second))
	return min(max(l, minLifetime), maxLifetime)
}

// capacity returns the size of a workspace's bucket. At most capacity + rate*t tokens
// are granted in any time t, and each is used within one lifetime of its grant.
// Therefore at most burst + rate*t requests are admitted in any time t.
func capacity(rate, burst float64) float64 {
	return math.Max(1, burst-rate*lifetime(rate, burst).Seconds())
}

// Bucket is the token bucket of a workspace. Only the holder of the workspace's shard
// has one. The number of tokens is negative while tokens are granted ahead of time.
type Bucket struct {
	rate       float64
	burst      float64
	tokens     float64
	refilledAt time.Time

	// tolerance allows more than the rate, and window bounds the grants by it. window is
	// nil if there is no tolerance.
	tolerance Tolerance
	window    *grantWindow
	// unreachable is the fraction of the entries that the holder does not know to be
	// alive. They may be partitioned from it and admit their part of the rate themselves.
	unreachable float64
	// unreachableAt is when unreachable was last confirmed.
	unreachableAt time.Time
}

// NewBucket returns an empty bucket that is refilled from start on.
func NewBucket(rate, burst float64, start time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, refilledAt: start}
}

// WithTolerance lets the bucket grant more than the rate, up to the tolerance.
func (b *Bucket) WithTolerance(t Tolerance, now time.Time) *Bucket {
	if t.Window <= 0 {
		return b
	}
	b.tolerance = t
	b.window = newFullWindow(t.Window, b.windowBudget(), now)
	return b
}

// windowBudget returns the number of tokens that may be granted in one window.
func (b *Bucket) windowBudget() float64 {
	return max(0, holderFraction*b.tolerance.windowLimit(b.rate, b.burst)-b.unreachable*fallbackRateFraction*b.rate*b.tolerance.Window.Seconds())
}

// SetUnreachable sets the fraction of the entries that are not known to be alive. A
// lower fraction takes effect one window later, because requests that the returning
// entries admitted still count.
func (b *Bucket) SetUnreachable(fraction float64, now time.Time) {
	if fraction >= b.unreachable || now.Sub(b.unreachableAt) > b.tolerance.Window {
		b.unreachable, b.unreachableAt = fraction, now
	}
}

// refillRate returns the tokens that the bucket gains per second: the rate less the
// part of unreachable entries, or the long-term average of the tolerance if that is
// higher.
func (b *Bucket) refillRate() float64 {
	if b.window == nil {
		return b.rate
	}
	return math.Max(b.rate*(1-fallbackRateFraction*b.unreachable), b.windowBudget()/(b.tolerance.Window+maxLifetime).Seconds())
}

// size returns the largest number of tokens that the bucket holds.
func (b *Bucket) size() float64 {
	if b.window == nil {
		return capacity(b.rate, b.burst)
	}
	return math.Max(1, b.burst)
}

// windowRemaining returns how many more tokens the window allows now.
func (b *Bucket) windowRemaining(now time.Time) float64 {
	if b.window == nil {
		return math.Inf(1)
	}
	b.window.advance(now)
	return math.Max(0, math.Floor(b.windowBudget()-b.window.sum()))
}

// SetRate changes rate and burst. Tokens above the new size are discarded.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.refill(now)
	before := b.tolerance.windowLimit(b.rate, b.burst)
	b.rate, b.burst = rate, burst
	b.tokens = math.Min(b.tokens, b.size())
	if after := b.tolerance.windowLimit(rate, burst); b.window != nil && after < before {
		// Grants under the higher rate must not use up the window of the lower one.
		b.window.scale(after / before)
	}
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.tokens = math.Min(b.size(), b.tokens+b.refillRate()*elapsed)
	b.refilledAt = now
}

// Grant is the result of taking tokens from a bucket.
type Grant struct {
	Tokens int
	// Wait is the time until the tokens may be used, and Lifetime how long after that.
	Wait     time.Duration
	Lifetime time.Duration
	// RetryAfter is the time until a token will be available, if none was granted.
	RetryAfter time.Duration
}

// Take grants up to n tokens: available ones or, if there are none, a small batch that
// becomes available within maxWait.
func (b *Bucket) Take(n int, maxWait time.Duration, now time.Time) Grant {
	b.refill(now)
	if n <= 0 {
		return Grant{}
	}
	remaining := b.windowRemaining(now)
	if remaining < 1 {
		return Grant{RetryAfter: max(b.timeUntil(1), b.window.slotLength)}
	}
	if b.tokens >= 1 {
		return b.grant(min(float64(n), math.Floor(b.tokens), remaining), 0)
	}
	batchSize := math.Max(1, math.Floor(b.rate*batchSpan.Seconds()))
	k := min(float64(n), batchSize, remaining)
	wait := b.timeUntil(k)
	if wait > min(maxWait, MaxWait) {
		return Grant{RetryAfter: b.timeUntil(1)}
	}
	return b.grant(k, wait)
}

func (b *Bucket) grant(k float64, wait time.Duration) Grant {
	b.tokens -= k
	if b.window != nil {
		b.window.add(k)
	}
	return Grant{Tokens: int(k), Wait: wait, Lifetime: lifetime(b.rate, b.burst)}
}

// timeUntil returns the time until k tokens are available.
func (b *Bucket) timeUntil(k float64) time.Duration {
	if b.refillRate() <= 0 {
		return time.Hour
	}
	return time.Duration(math.Max(0, k-b.tokens) / b.refillRate() * float64(time.Second))
}

// Return puts back tokens that were granted and not used.
func (b *Bucket) Return(n int, now time.Time) {
	b.refill(now)
	b.tokens = math.Min(b.size(), b.tokens+math.Max(0, float64(n)))
}
