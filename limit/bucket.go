package limit

import (
	"math"
	"time"
)

const (
	// MaxWait bounds how far ahead tokens are granted.
	MaxWait = 300 * time.Millisecond
	// maxLifetime is the longest time between a grant and its use.
	maxLifetime = 500 * time.Millisecond
	// minLifetime leaves time for an answer to arrive.
	minLifetime = 5 * time.Millisecond
	// grantSpan is the time whose tokens are granted together when none are left.
	grantSpan = 10 * time.Millisecond
)

// lifetime returns how long after their grant the tokens of a workspace may be
// used. A long life lets entries hold tokens ready; it costs burst.
func lifetime(rate, burst float64) time.Duration {
	if rate <= 0 {
		return maxLifetime
	}
	spare := math.Min(burst/2, burst-1)
	l := time.Duration(spare / rate * float64(time.Second))
	return min(max(l, minLifetime), maxLifetime)
}

// capacity returns the size of a workspace's bucket. Tokens granted in any span
// t are at most capacity + rate*t, and are used within one lifetime more, so
// that requests in any span t are at most burst + rate*t.
func capacity(rate, burst float64) float64 {
	return math.Max(1, burst-rate*lifetime(rate, burst).Seconds())
}

// Bucket is the one token bucket of a workspace, at the holder of its shard. Its
// tokens may be negative: then they are granted ahead of time.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	filled time.Time

	// tolerance widens the rate, and granted keeps what is tolerated in any window.
	tolerance Tolerance
	granted   *window
	// absent is the part of the entries that the holder does not hear. They may be cut
	// off from it and serve their part of the rate. It was as large at absentAt.
	absent   float64
	absentAt time.Time
}

// NewBucket returns an empty bucket that starts to fill at an instant.
func NewBucket(rate, burst float64, start time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, filled: start}
}

// WithTolerance lets the bucket grant as much as operators tolerate.
func (b *Bucket) WithTolerance(t Tolerance, now time.Time) *Bucket {
	if t.Window <= 0 {
		return b
	}
	b.tolerance = t
	b.granted = newWindow(t.Window, b.most(), now)
	return b
}

// most returns the number of tokens that may be granted in a window.
func (b *Bucket) most() float64 {
	return max(0, holderPart*b.tolerance.limit(b.rate, b.burst)-b.absent*aloneFlow*b.rate*b.tolerance.Window.Seconds())
}

// SetUnreachable sets the part of the entries that the holder does not hear. What those that
// come back have admitted counts for one window more.
func (b *Bucket) SetUnreachable(part float64, now time.Time) {
	if part >= b.absent || now.Sub(b.absentAt) > b.tolerance.Window {
		b.absent, b.absentAt = part, now
	}
}

// flow returns the tokens that the bucket gets in a second: the rate, or what is
// tolerated over a long time.
func (b *Bucket) flow() float64 {
	if b.granted == nil {
		return b.rate
	}
	return math.Max(b.rate*(1-aloneFlow*b.absent), b.most()/(b.tolerance.Window+maxLifetime).Seconds())
}

// size returns the number of tokens that the bucket holds.
func (b *Bucket) size() float64 {
	if b.granted == nil {
		return capacity(b.rate, b.burst)
	}
	return math.Max(1, b.burst)
}

// room returns how many tokens may be granted now for the sake of the window.
func (b *Bucket) room(now time.Time) float64 {
	if b.granted == nil {
		return math.Inf(1)
	}
	b.granted.roll(now)
	return math.Max(0, math.Floor(b.most()-b.granted.sum()))
}

// SetRate changes rate and burst. Tokens above the new size are lost.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	if rate == b.rate && burst == b.burst {
		return
	}
	b.fill(now)
	before := b.tolerance.limit(b.rate, b.burst)
	b.rate, b.burst = rate, burst
	b.tokens = math.Min(b.tokens, b.size())
	if after := b.tolerance.limit(rate, burst); b.granted != nil && after < before {
		// What was granted under the higher rate does not count against the lower one.
		b.granted.scale(after / before)
	}
}

func (b *Bucket) fill(now time.Time) {
	passed := now.Sub(b.filled).Seconds()
	if passed <= 0 {
		return
	}
	b.tokens = math.Min(b.size(), b.tokens+b.flow()*passed)
	b.filled = now
}

// Grant is an answer of a bucket.
type Grant struct {
	Tokens int
	// Wait is the time until they may be used, and Lifetime how long after that.
	Wait     time.Duration
	Lifetime time.Duration
	// RetryAfter is the time until a token is there, if none was granted.
	RetryAfter time.Duration
}

// Take grants up to n tokens: those that are there, or else a few that will be
// there within maxWait.
func (b *Bucket) Take(n int, maxWait time.Duration, now time.Time) Grant {
	b.fill(now)
	if n <= 0 {
		return Grant{}
	}
	room := b.room(now)
	if room < 1 {
		return Grant{RetryAfter: max(b.until(1), b.granted.span)}
	}
	if b.tokens >= 1 {
		return b.grant(min(float64(n), math.Floor(b.tokens), room), 0)
	}
	ahead := math.Max(1, math.Floor(b.rate*grantSpan.Seconds()))
	k := min(float64(n), ahead, room)
	wait := b.until(k)
	if wait > min(maxWait, MaxWait) {
		return Grant{RetryAfter: b.until(1)}
	}
	return b.grant(k, wait)
}

func (b *Bucket) grant(k float64, wait time.Duration) Grant {
	b.tokens -= k
	if b.granted != nil {
		b.granted.add(k)
	}
	return Grant{Tokens: int(k), Wait: wait, Lifetime: lifetime(b.rate, b.burst)}
}

// until returns the time until there are k tokens.
func (b *Bucket) until(k float64) time.Duration {
	if b.flow() <= 0 {
		return time.Hour
	}
	return time.Duration(math.Max(0, k-b.tokens) / b.flow() * float64(time.Second))
}

// Return puts tokens back that were granted and not used.
func (b *Bucket) Return(n int, now time.Time) {
	b.fill(now)
	b.tokens = math.Min(b.size(), b.tokens+math.Max(0, float64(n)))
}
