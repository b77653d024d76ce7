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

// admitAlone admits a request from this entry's own part of a workspace's rate.
func (s *Shared) admitAlone(w *state.Workspace, c *client, now time.Time) Admission {
	if c.alone == nil {
		c.alone = newAloneBucket(s.tolerance, *w, s.entries(), now)
	}
	if c.alone.take(*w, s.entries(), now) {
		return Admission{OK: true}
	}
	return Admission{Unavailable: true, RetryAfter: time.Second}
}

// waitUntil returns the instant at which a request stops to wait for its token:
// half of its time must be left for the work itself.
func waitUntil(ctx context.Context, now time.Time) time.Time {
	limit := patience
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/2)
	}
	return now.Add(limit)
}

// await waits for a token. Where a tolerance is given, a holder that says nothing is
// waited for only for a short time.
func (s *Shared) await(ctx context.Context, w *state.Workspace, c *client, one *waiter, now time.Time) Admission {
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
		if first < limit && ctx.Err() == nil && !c.answered.Before(now) {
			// The holder has answered, and the token is to come.
			first = limit
			timer.Reset(limit - holderPatience)
			s.mu.Unlock()
			continue
		}
		defer s.mu.Unlock()
		return s.giveUp(w, c, one)
	}
}

// giveUp ends the wait for a token.
func (s *Shared) giveUp(w *state.Workspace, c *client, one *waiter) Admission {
	select {
	case a := <-one.answer: // it came meanwhile
		return a
	default:
	}
	one.until = time.Time{}
	if s.tolerance.Window <= 0 {
		return Admission{Unavailable: true, RetryAfter: time.Second}
	}
	now := s.clock.Now()
	c.silentSince = now
	return s.admitAlone(w, c, now)
}
