package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

var fiveSeconds = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// grants asks a bucket for tokens at random and returns when they could be used at
// the latest: that is when they weigh most on a window.
func grants(b *Bucket, demand float64, span time.Duration, random *rand.Rand) []time.Time {
	start := time.Unix(9000, 0)
	var used []time.Time
	for now := start; now.Sub(start) < span; now = now.Add(10 * time.Millisecond) {
		if random.Float64() >= demand*0.01 {
			continue
		}
		g := b.Take(1+random.IntN(3), 0, now)
		late := time.Duration(random.Int64N(int64(max(g.Lifetime, 1))))
		for range g.Tokens {
			used = append(used, now.Add(g.Wait+late))
		}
	}
	return used
}

// most returns the most uses in any window.
func mostIn(used []time.Time, window time.Duration) int {
	most := 0
	for _, from := range used {
		n := 0
		for _, at := range used {
			if !at.Before(from) && at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A workspace sends ten times its rate, in bursts: what is tolerated holds in any
// window of the users.
func TestToleranceHoldsInAnyWindow(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		rate, burst := 5+random.Float64()*60, 5+random.Float64()*60
		b := NewBucket(rate, burst, time.Unix(9000, 0)).WithTolerance(fiveSeconds, time.Unix(9000, 0))
		used := grants(b, 10*rate, 15*time.Second, random)
		if most, limit := mostIn(used, fiveSeconds.Window), fiveSeconds.limit(rate, burst); float64(most) > limit {
			t.Errorf("seed %d: %d in a window, tolerated %.0f", seed, most, limit)
		}
	}
}

// A workspace sends a little more than its rate all the time, inside what the users
// tolerate: it is served.
func TestSteadyDemandInsideTheToleranceIsServed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	b := NewBucket(13, 13, start).WithTolerance(fiveSeconds, start)
	asked, served := 0, 0
	for now := start; now.Sub(start) < 30*time.Second; now = now.Add(62 * time.Millisecond) {
		asked++ // 16 a second
		served += b.Take(1, MaxWait, now).Tokens
	}
	is.True(float64(served) > 0.95*float64(asked))
}

// Entries that do not reach the holder admit no more together than the tolerance
// leaves beside it.
func TestEntriesAloneStayInsideTheToleranceTogether(t *testing.T) {
	const entries = 40
	w := state.Workspace{Name: "w", Rate: 13, Burst: 13}
	start := time.Unix(9000, 0)
	worst := 0
	for range 20 {
		admitted := 0
		for range entries {
			b := newAloneBucket(fiveSeconds, w, entries, start)
			for now := start; now.Sub(start) < fiveSeconds.Window; now = now.Add(20 * time.Millisecond) {
				if b.take(w, entries, now) {
					admitted++
				}
			}
		}
		worst = max(worst, admitted)
	}
	if limit := fiveSeconds.limit(w.Rate, w.Burst); float64(worst) > limit {
		t.Errorf("%d admitted in a window, tolerated %.0f", worst, limit)
	}
}

// A small workspace is spread over many entries. For a second after a power loss
// nobody holds its shard: it still gets about its rate.
func TestSmallWorkspacesAreServedWhileEntriesAreAlone(t *testing.T) {
	const (
		entries = 40
		plays   = 500
		demand  = 8 // requests in the second, at different entries
	)
	w := state.Workspace{Name: "w", Rate: 13, Burst: 13}
	start := time.Unix(9000, 0)
	served := 0
	for range plays {
		for i := range demand {
			b := newAloneBucket(fiveSeconds, w, entries, start)
			if b.take(w, entries, start.Add(time.Duration(i)*time.Second/demand)) {
				served++
			}
		}
	}
	// The fluid share of an entry is 0.15 of a token at the start and 0.33 a second.
	if least := plays * demand * 2 / 10; served < least {
		t.Errorf("%d of %d served, %d are due", served, plays*demand, least)
	}
}

// heldSince is a lease that this VM has held since an instant.
type heldSince time.Time

func (h heldSince) Held(string) (time.Time, bool) { return time.Time(h), true }

func (heldSince) Holder(string) (string, bool) { return "e1", true }

// A bucket is made when its workspace sends its first request, which may be long
// after this VM took over its shard. Earlier holders no longer count then.
func TestFirstRequestsLongAfterATakeoverAreServed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	w := state.Workspace{Name: "w", Rate: 20, Burst: 20}
	current := state.State{}.WithRecords(1, []state.Record{{Ref: w.Ref(), Object: w, Index: 1}})
	s := NewShared("e1", clock.NewManual(now), nil, heldSince(now.Add(-10*time.Second)), func() state.State { return current }).
		WithTolerance(fiveSeconds, func() int { return 40 })
	answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: 5}, now)
	is.Equal(answer.GetTokens(), uint32(5))
}
