package limit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// unresponsive reports whether a token request timed out recently and the holder has
// not answered since.
func (c *client) unresponsive(now time.Time) bool {
	return c.timedOutAt.After(c.lastAnswer) && now.Sub(c.timedOutAt) < unresponsivePeriod
}

// takeFallbackToken reports whether a request fits into this entry's local part of a
// workspace's rate. An entry that does not know the number of entries yet has no part.
func (d *Distributed) takeFallbackToken(w *state.Workspace, c *client, now time.Time) bool {
	n := d.entries()
	if n <= 0 {
		return false
	}
	if c.fallback == nil {
		c.fallback = newFallbackBucket(d.tolerance, *w, n, now)
	}
	return c.fallback.take(*w, n, c.lastAnswer, now)
}

// waitDeadline returns the time until which a request waits for its token. At least
// half of the request's remaining time is left for the backend server. The wait for an
// unresponsive holder is shorter: it may be gone for long, and another VM usually takes
// the shard over within a second.
func waitDeadline(ctx context.Context, unresponsive bool, now time.Time) time.Time {
	limit, divisor := waitTimeout, time.Duration(2)
	if unresponsive {
		limit, divisor = unresponsiveWaitTimeout, 3
	}
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/divisor)
	}
	return now.Add(limit)
}

// awaitToken waits for a token. If a tolerance is set and the holder does not answer
// within holderAnswerTimeout, requests that fit into this entry's fallback bucket are
// admitted and the others keep waiting for a new holder.
func (d *Distributed) awaitToken(ctx context.Context, w *state.Workspace, c *client, p *pendingRequest, now time.Time) Admission {
	limit := p.deadline.Sub(now)
	first := limit
	if d.tolerance.Window > 0 {
		first = min(limit, holderAnswerTimeout)
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case a := <-p.result:
			return a
		case <-timer.C:
		case <-ctx.Done():
		}
		d.mu.Lock()
		if first >= limit || ctx.Err() != nil {
			defer d.mu.Unlock()
			return d.endWait(w, c, p)
		}
		answered := !c.lastAnswer.Before(now)
		if !answered && d.admitByFallback(w, c, p) {
			d.mu.Unlock()
			return Admission{OK: true}
		}
		if !answered {
			limit = max(first, waitDeadline(ctx, true, now).Sub(now))
			p.deadline = now.Add(limit)
		}
		d.mu.Unlock()
		timer.Reset(limit - first)
		first = limit
	}
}

// admitByFallback notes that the holder did not answer in time, and admits a pending
// request if it fits into the fallback bucket.
func (d *Distributed) admitByFallback(w *state.Workspace, c *client, p *pendingRequest) bool {
	now := d.clock.Now()
	c.timedOutAt = now
	if !d.takeFallbackToken(w, c, now) {
		return false
	}
	p.deadline = time.Time{}
	return true
}

// endWait ends the wait of a pending request for its token.
func (d *Distributed) endWait(w *state.Workspace, c *client, p *pendingRequest) Admission {
	select {
	case a := <-p.result: // sent after the wait ended, before d.mu was locked
		return a
	default:
	}
	if d.tolerance.Window > 0 && d.admitByFallback(w, c, p) {
		return Admission{OK: true}
	}
	p.deadline = time.Time{}
	return Admission{Unavailable: true, RetryAfter: unavailableRetryAfter + rand.N(2*unavailableRetryAfter), Cause: d.timeoutCause(w.Name)}
}

// timeoutCause returns why a request got no token, for the log.
func (d *Distributed) timeoutCause(workspace string) string {
	shard := ShardOf(workspace)
	holder, known := d.leases.Holder(shard)
	if !known {
		return "no VM is known to hold " + shard
	}
	return holder + ", known to hold " + shard + ", gave no token in time"
}
