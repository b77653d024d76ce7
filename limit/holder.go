package limit

import (
	"time"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// holderBucket is the holder's bucket of one workspace. It is valid as long as the
// lease of the shard is held without a gap.
type holderBucket struct {
	bucket    *Bucket // nil until the holder has settled
	heldSince time.Time
	// newHolderTokens is the number of tokens that may still be granted before the
	// holder has settled.
	newHolderTokens int
}

// grant answers a token request from the bucket if this VM holds the shard.
func (d *Distributed) grant(m *wire.TokenAsk, now time.Time) *wire.TokenAnswer {
	answer := &wire.TokenAnswer{Workspace: m.GetWorkspace(), Seq: m.GetSeq()}
	heldSince, held := d.leases.Held(ShardOf(m.GetWorkspace()))
	w, known := state.Get[state.Workspace](d.state(), m.GetWorkspace())
	if !held || !known {
		answer.NotHolder = true
		return answer
	}
	if now.Before(heldSince.Add(d.settlingTime())) {
		return d.grantBeforeSettled(m, w, heldSince, answer)
	}
	b := d.bucket(w, heldSince, now)
	b.Return(min(int(m.GetReturned()), maxPrefetch), now)
	n := min(int(m.GetTokens()), maxPending+maxPrefetch)
	g := b.Take(n, time.Duration(m.GetMaxWaitMicros())*time.Microsecond, now)
	answer.Tokens = uint32(g.Tokens)
	answer.WaitMicros = uint64(g.Wait.Microseconds())
	answer.LifetimeMicros = uint64(g.Lifetime.Microseconds())
	answer.RetryMicros = uint64(g.RetryAfter.Microseconds())
	return answer
}

// grantBeforeSettled answers a token request while this holder is new, from the budget
// reserved for that time or, when that is used up, with NotHolder. Tokens that an
// earlier holder granted ahead of time may still be used.
func (d *Distributed) grantBeforeSettled(m *wire.TokenAsk, w state.Workspace, heldSince time.Time, answer *wire.TokenAnswer) *wire.TokenAnswer {
	hb, ok := d.buckets[w.Name]
	if !ok || !hb.heldSince.Equal(heldSince) {
		hb = &holderBucket{heldSince: heldSince, newHolderTokens: d.tolerance.newHolderBudget(w.Rate, w.Burst)}
		d.buckets[w.Name] = hb
	}
	n := min(int(m.GetTokens()), hb.newHolderTokens)
	if n <= 0 {
		answer.NotHolder = true
		return answer
	}
	hb.newHolderTokens -= n
	answer.Tokens = uint32(n)
	answer.LifetimeMicros = uint64(lifetime(w.Rate, w.Burst).Microseconds())
	return answer
}

// settlingTime returns how long a holder is new. An earlier holder's tokens may be
// used until MaxWait has passed, and the window that starts full needs one more slot
// to have room again. Otherwise callers inside their rate would be refused as over
// their rate after each change of the holder.
func (d *Distributed) settlingTime() time.Duration {
	if d.tolerance.Window <= 0 {
		return MaxWait
	}
	return MaxWait + slotLength(d.tolerance.Window)
}

// bucket returns a workspace's bucket. One from an earlier period of holding the lease
// is replaced by an empty one, which is refilled from MaxWait after the start of this
// period on: by then no token of an earlier holder is ahead of time any more.
func (d *Distributed) bucket(w state.Workspace, heldSince, now time.Time) *Bucket {
	hb, ok := d.buckets[w.Name]
	if !ok || !hb.heldSince.Equal(heldSince) || hb.bucket == nil {
		start := heldSince.Add(MaxWait)
		hb = &holderBucket{bucket: NewBucket(w.Rate, w.Burst, start).WithTolerance(d.tolerance, start), heldSince: heldSince}
		d.buckets[w.Name] = hb
	}
	hb.bucket.SetRate(w.Rate, w.Burst, now)
	hb.bucket.SetUnreachable(d.unreachable, now)
	return hb.bucket
}

// unreachableFraction returns the fraction of all entries that are not known to be alive.
func (d *Distributed) unreachableFraction() float64 {
	all := d.entries()
	if all <= 0 {
		return 0
	}
	return max(0, 1-float64(d.liveEntries())/float64(all))
}

// removeStaleBuckets removes buckets from earlier periods of holding a lease.
func (d *Distributed) removeStaleBuckets() {
	for workspace, hb := range d.buckets {
		heldSince, held := d.leases.Held(ShardOf(workspace))
		if !held || !heldSince.Equal(hb.heldSince) {
			delete(d.buckets, workspace)
		}
	}
}
