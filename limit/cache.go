package limit

import "time"

const (
	// prefetchSpan is the time whose expected requests are covered by prefetched tokens.
	prefetchSpan = 20 * time.Millisecond
	// demandWindow is the time over which the request rate is measured.
	demandWindow = 200 * time.Millisecond
	maxPrefetch  = 64
)

// TokenCache holds the tokens of one workspace that were granted to one entry.
type TokenCache struct {
	batches []batch
	// expired counts tokens that expired unused and can be returned to the holder.
	expired int
	// arrivals counts requests since windowStart.
	arrivals    int
	windowStart time.Time
	// demand is the number of requests per second in the window before.
	demand float64
}

// batch is a number of tokens that are valid from one time until another.
type batch struct {
	tokens int
	from   time.Time
	until  time.Time
}

// RecordArrival counts a request towards the demand.
func (c *TokenCache) RecordArrival(now time.Time) {
	c.arrivals++
	elapsed := now.Sub(c.windowStart)
	if elapsed < demandWindow {
		return
	}
	c.demand = float64(c.arrivals) / elapsed.Seconds()
	c.arrivals, c.windowStart = 0, now
}

// PrefetchTarget returns the number of tokens to keep in the cache.
func (c *TokenCache) PrefetchTarget() int {
	return min(int(c.demand*prefetchSpan.Seconds()), maxPrefetch)
}

// Add stores granted tokens. To be valid no longer than the holder intends, their
// lifetime counts from the sending of the request, which precedes the grant, and
// their wait from now, which follows it.
func (c *TokenCache) Add(g Grant, sent, now time.Time) {
	if g.Tokens <= 0 {
		return
	}
	c.batches = append(c.batches, batch{tokens: g.Tokens, from: now.Add(g.Wait), until: sent.Add(g.Wait + g.Lifetime)})
}

// Take uses one token and reports whether there was one.
func (c *TokenCache) Take(now time.Time) bool {
	c.dropExpired(now)
	for i := range c.batches {
		if now.Before(c.batches[i].from) || c.batches[i].tokens == 0 {
			continue
		}
		c.batches[i].tokens--
		return true
	}
	return false
}

// Available returns the number of tokens that are valid now or will be after their wait.
func (c *TokenCache) Available(now time.Time) int {
	c.dropExpired(now)
	n := 0
	for _, b := range c.batches {
		n += b.tokens
	}
	return n
}

// TakeExpired returns the number of tokens that expired unused, and resets it.
func (c *TokenCache) TakeExpired() int {
	n := c.expired
	c.expired = 0
	return n
}

// DiscardExpired resets the number of expired tokens when the holder changes: tokens
// are returned only to the holder that granted them.
func (c *TokenCache) DiscardExpired() { c.expired = 0 }

// dropExpired removes batches that have expired and counts their tokens.
func (c *TokenCache) dropExpired(now time.Time) {
	kept := c.batches[:0]
	for _, b := range c.batches {
		if now.Before(b.until) && b.tokens > 0 {
			kept = append(kept, b)
			continue
		}
		c.expired += b.tokens
	}
	c.batches = kept
}
