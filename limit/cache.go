package limit

import "time"

const (
	// demandSpan is the time for whose requests tokens are asked ahead.
	demandSpan = 20 * time.Millisecond
	// demandWindow is the time over which requests are counted.
	demandWindow = 200 * time.Millisecond
	maxAhead     = 64
)

// TokenCache is the tokens of one workspace that one entry holds.
type TokenCache struct {
	batches []batch
	// unused counts tokens that ran out unused and can be given back.
	unused int
	// arrivals counts requests since windowStart; demand is the rate before that.
	arrivals    int
	windowStart time.Time
	demand      float64
}

// batch is tokens that may be used in a span of time.
type batch struct {
	tokens int
	from   time.Time
	until  time.Time
}

// RecordArrival counts a request, for the forecast.
func (s *TokenCache) RecordArrival(now time.Time) {
	s.arrivals++
	passed := now.Sub(s.windowStart)
	if passed < demandWindow {
		return
	}
	s.demand = float64(s.arrivals) / passed.Seconds()
	s.arrivals, s.windowStart = 0, now
}

// PrefetchTarget returns the number of tokens worth holding ready.
func (s *TokenCache) PrefetchTarget() int { return min(int(s.demand*demandSpan.Seconds()), maxAhead) }

// Add takes granted tokens. The lifetime counts from the sending of the request,
// which was not after the grant; the wait counts from now, which is not before it.
func (s *TokenCache) Add(g Grant, sent, now time.Time) {
	if g.Tokens <= 0 {
		return
	}
	s.batches = append(s.batches, batch{tokens: g.Tokens, from: now.Add(g.Wait), until: sent.Add(g.Wait + g.Lifetime)})
}

// Take uses one token and reports whether there was one.
func (s *TokenCache) Take(now time.Time) bool {
	s.drop(now)
	for i := range s.batches {
		if now.Before(s.batches[i].from) || s.batches[i].tokens == 0 {
			continue
		}
		s.batches[i].tokens--
		return true
	}
	return false
}

// Available returns the number of tokens that may be used now or soon.
func (s *TokenCache) Available(now time.Time) int {
	s.drop(now)
	n := 0
	for _, b := range s.batches {
		n += b.tokens
	}
	return n
}

// TakeExpired returns the number of tokens to give back, and forgets them.
func (s *TokenCache) TakeExpired() int {
	n := s.unused
	s.unused = 0
	return n
}

// DiscardExpired drops the tokens to give back, because their holder is gone.
func (s *TokenCache) DiscardExpired() { s.unused = 0 }

// drop moves tokens past their time to the unused ones.
func (s *TokenCache) drop(now time.Time) {
	kept := s.batches[:0]
	for _, b := range s.batches {
		if now.Before(b.until) && b.tokens > 0 {
			kept = append(kept, b)
			continue
		}
		s.unused += b.tokens
	}
	s.batches = kept
}
