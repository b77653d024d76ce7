package limit

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// silent reports whether the holder has not answered for a while.
func (c *client) silent(now time.Time) bool {
	return c.silentSince.After(c.answered) && now.Sub(c.silentSince) < retryHolder
}

// admitAlone reports whether a request fits into this entry's own part of a
// workspace's rate. An entry that does not know yet how many others there are has
// none.
func (s *Distributed) admitAlone(w *state.Workspace, c *client, now time.Time) bool {
	n := s.entries()
	if n <= 0 {
		return false
	}
	if c.alone == nil {
		c.alone = newAloneBucket(s.tolerance, *w, n, now)
	}
	return c.alone.take(*w, n, c.answered, now)
}

// waitUntil returns the instant at which a request stops to wait for its token:
// half of its time must be left for the work itself. A holder that is silent may be
// gone for long, and is waited for less: a new one is there within a second.
func waitUntil(ctx context.Context, silent bool, now time.Time) time.Time {
	limit, part := patience, time.Duration(2)
	if silent {
		limit, part = silentPatience, 3
	}
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/part)
	}
	return now.Add(limit)
}

// await waits for a token. Where a tolerance is given and the holder says nothing,
// the entry admits by itself what fits into its part, and waits a little longer with
// the rest: a new holder is usually there within a second.
func (s *Distributed) await(ctx context.Context, w *state.Workspace, c *client, one *waiter, now time.Time) Admission {
	limit := one.until.Sub(now)
	first := limit
	if s.tolerance.Window > 0 {
		first = min(limit, holderPatience)
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case a := <-one.answer:
			return a
		case <-timer.C:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if first >= limit || ctx.Err() != nil {
			defer s.mu.Unlock()
			return s.giveUp(w, c, one)
		}
		heard := !c.answered.Before(now)
		if !heard && s.alone(w, c, one) {
			s.mu.Unlock()
			return Admission{OK: true}
		}
		if !heard {
			limit = max(first, waitUntil(ctx, true, now).Sub(now))
			one.until = now.Add(limit)
		}
		s.mu.Unlock()
		timer.Reset(limit - first)
		first = limit
	}
}

// alone admits a request that waits for a holder without a word of it, if it fits.
func (s *Distributed) alone(w *state.Workspace, c *client, one *waiter) bool {
	now := s.clock.Now()
	c.silentSince = now
	if !s.admitAlone(w, c, now) {
		return false
	}
	one.until = time.Time{}
	return true
}

// giveUp ends the wait for a token.
func (s *Distributed) giveUp(w *state.Workspace, c *client, one *waiter) Admission {
	select {
	case a := <-one.answer: // it came meanwhile
		return a
	default:
	}
	if s.tolerance.Window > 0 && s.alone(w, c, one) {
		return Admission{OK: true}
	}
	one.until = time.Time{}
	return Admission{Unavailable: true, RetryAfter: holderRetry, Cause: s.why(w.Name)}
}

// why says what kept a request from its token.
func (s *Distributed) why(workspace string) string {
	shard := ShardOf(workspace)
	holder, known := s.leases.Holder(shard)
	if !known {
		return "nobody is known to hold " + shard
	}
	return holder + ", known to hold " + shard + ", gave no token in time"
}
