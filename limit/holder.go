package limit

import (
	"time"

	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// owned is a bucket at the holder, valid for one time of holding.
type owned struct {
	bucket *Bucket // nil while the holder is new
	since  time.Time
	// early is the number of tokens that may be granted while the holder is new.
	early int
}

// grant answers an ask from the bucket, if this VM holds the shard.
func (s *Distributed) grant(m *wire.TokenAsk, now time.Time) *wire.TokenAnswer {
	answer := &wire.TokenAnswer{Workspace: m.GetWorkspace(), Seq: m.GetSeq()}
	since, held := s.leases.Held(ShardOf(m.GetWorkspace()))
	w, known := state.Get[state.Workspace](s.state(), m.GetWorkspace())
	if !held || !known {
		answer.NotHolder = true
		return answer
	}
	if now.Before(since.Add(s.settling())) {
		return s.grantNew(m, w, since, answer)
	}
	b := s.bucket(w, since, now)
	b.Return(min(int(m.GetReturned()), maxAhead), now)
	n := min(int(m.GetTokens()), maxWaiting+maxAhead)
	g := b.Take(n, time.Duration(m.GetMaxWaitMicros())*time.Microsecond, now)
	answer.Tokens = uint32(g.Tokens)
	answer.WaitMicros = uint64(g.Wait.Microseconds())
	answer.LifetimeMicros = uint64(g.Lifetime.Microseconds())
	answer.RetryMicros = uint64(g.RetryAfter.Microseconds())
	return answer
}

// grantNew answers an ask in the time in which this holder is new: from the part
// that is set aside for it, or not at all. Tokens that an earlier holder granted
// ahead may still come into use.
func (s *Distributed) grantNew(m *wire.TokenAsk, w state.Workspace, since time.Time, answer *wire.TokenAnswer) *wire.TokenAnswer {
	o, ok := s.buckets[w.Name]
	if !ok || !o.since.Equal(since) {
		o = &owned{since: since, early: s.tolerance.early(w.Rate, w.Burst)}
		s.buckets[w.Name] = o
	}
	n := min(int(m.GetTokens()), o.early)
	if n <= 0 {
		answer.NotHolder = true
		return answer
	}
	o.early -= n
	answer.Tokens = uint32(n)
	answer.LifetimeMicros = uint64(lifetime(w.Rate, w.Burst).Microseconds())
	return answer
}

// settling is the time for which a holder is new. Tokens of an earlier one may still
// come into use, and a window that is counted as full must have room again:
// a caller must not be told that it is over its rate because a holder is new.
func (s *Distributed) settling() time.Duration {
	if s.tolerance.Window <= 0 {
		return MaxWait
	}
	return MaxWait + windowSpan(s.tolerance.Window)
}

// bucket returns a workspace's bucket. One from an earlier time of holding is
// replaced by an empty one, which starts to fill when no token of an earlier
// holder can be ahead of time any more.
func (s *Distributed) bucket(w state.Workspace, since, now time.Time) *Bucket {
	o, ok := s.buckets[w.Name]
	if !ok || !o.since.Equal(since) || o.bucket == nil {
		start := since.Add(MaxWait)
		o = &owned{bucket: NewBucket(w.Rate, w.Burst, start).WithTolerance(s.tolerance, start), since: since}
		s.buckets[w.Name] = o
	}
	o.bucket.SetRate(w.Rate, w.Burst, now)
	o.bucket.SetUnreachable(s.missing, now)
	return o.bucket
}

// absent returns the part of the entries that is not heard now.
func (s *Distributed) absent() float64 {
	all := s.entries()
	if all <= 0 {
		return 0
	}
	return max(0, 1-float64(s.present())/float64(all))
}

// sweepBuckets forgets buckets of earlier times of holding.
func (s *Distributed) sweepBuckets() {
	for workspace, o := range s.buckets {
		since, held := s.leases.Held(ShardOf(workspace))
		if !held || !since.Equal(o.since) {
			delete(s.buckets, workspace)
		}
	}
}
