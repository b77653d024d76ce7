package limit

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

var fiveSeconds = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// useTokens takes tokens from a bucket at random times, with a demand in requests per
// second, and returns a random time of use within the lifetime of each.
func useTokens(b *Bucket, demand float64, span time.Duration, random *rand.Rand) []time.Time {
	start := time.Unix(9000, 0)
	var used []time.Time
	for now := start; now.Sub(start) < span; now = now.Add(10 * time.Millisecond) {
		if random.Float64() >= demand*0.01 {
			continue
		}
		g := b.Take(1+random.IntN(3), 0, now)
		delay := time.Duration(random.Int64N(int64(max(g.Lifetime, 1))))
		for range g.Tokens {
			used = append(used, now.Add(g.Wait+delay))
		}
	}
	return used
}

// maxInWindow returns the largest number of uses in any window.
func maxInWindow(used []time.Time, window time.Duration) int {
	largest := 0
	for _, from := range used {
		n := 0
		for _, at := range used {
			if !at.Before(from) && at.Sub(from) < window {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

// A workspace that sends ten times its rate, in bursts, must not exceed the tolerance
// in any window.
func TestToleranceIsKeptInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		rate, burst := 5+random.Float64()*60, 5+random.Float64()*60
		b := NewBucket(rate, burst, time.Unix(9000, 0)).WithTolerance(fiveSeconds, time.Unix(9000, 0))
		used := useTokens(b, 10*rate, 15*time.Second, random)
		if n, limit := maxInWindow(used, fiveSeconds.Window), fiveSeconds.windowLimit(rate, burst); float64(n) > limit {
			t.Errorf("seed %d: %d requests in a window, tolerated %.0f", seed, n, limit)
		}
	}
}

// A workspace that permanently sends a little more than its rate, but within the
// tolerance, must be served.
func TestSteadyDemandInsideTheToleranceIsServed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	b := NewBucket(13, 13, start).WithTolerance(fiveSeconds, start)
	sent, served := 0, 0
	for now := start; now.Sub(start) < 30*time.Second; now = now.Add(62 * time.Millisecond) {
		sent++ // 16 per second
		served += b.Take(1, MaxWait, now).Tokens
	}
	is.True(float64(served) > 0.95*float64(sent))
}

// If no entry reaches the holder, the fallback buckets of all entries together must
// stay within the tolerance.
func TestFallbackBucketsTogetherKeepTheTolerance(t *testing.T) {
	const entries = 40
	w := state.Workspace{Name: "w", Rate: 13, Burst: 13}
	start := time.Unix(9000, 0)
	worst := 0
	for range 20 {
		admitted := 0
		for range entries {
			b := newFallbackBucket(fiveSeconds, w, entries, start)
			for now := start; now.Sub(start) < fiveSeconds.Window; now = now.Add(20 * time.Millisecond) {
				if b.take(w, entries, time.Time{}, now) {
					admitted++
				}
			}
		}
		worst = max(worst, admitted)
	}
	if limit := fiveSeconds.windowLimit(w.Rate, w.Burst); float64(worst) > limit {
		t.Errorf("%d requests admitted in a window, tolerated %.0f", worst, limit)
	}
}

// After a power loss a shard has no holder for about a second. The requests of a small
// workspace are spread over many entries, each of which has less than one token for
// it. Enough of these requests must still be admitted.
func TestSmallWorkspacesAreServedWithoutAHolder(t *testing.T) {
	const (
		entries = 40
		rounds  = 500
		demand  = 8 // requests in the second, at different entries
	)
	w := state.Workspace{Name: "w", Rate: 13, Burst: 13}
	start := time.Unix(9000, 0)
	served := 0
	for range rounds {
		for i := range demand {
			b := newFallbackBucket(fiveSeconds, w, entries, start)
			if b.take(w, entries, time.Time{}, start.Add(time.Duration(i)*time.Second/demand)) {
				served++
			}
		}
	}
	// An entry starts with 0.32 tokens, and its part of the rate is 0.33 tokens per second.
	if minimum := rounds * demand * 2 / 10; served < minimum {
		t.Errorf("%d of %d requests served, want at least %d", served, rounds*demand, minimum)
	}
}

// A workspace sends ten times its rate while its shard loses its holder repeatedly, each
// time for a second, and an eighth of the entries never reach a holder. Requests
// admitted by settled holders, new holders and fallback buckets together must stay
// within the tolerance.
func TestHoldersAndFallbackTogetherKeepTheTolerance(t *testing.T) {
	const (
		entries     = 40
		partitioned = 5
		step        = 10 * time.Millisecond
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		w := state.Workspace{Name: "w", Rate: 10 + random.Float64()*100, Burst: 10 + random.Float64()*100}
		start := time.Unix(9000, 0)
		buckets := make([]*fallbackBucket, entries)
		for i := range buckets {
			buckets[i] = newFallbackBucket(fiveSeconds, w, entries, start)
		}
		lastAnswer := make([]time.Time, entries)
		var holder *Bucket
		var heldSince time.Time
		newHolderTokens := 0
		var used []time.Time
		nextChange := start
		for now := start; now.Sub(start) < 20*time.Second; now = now.Add(step) {
			if !now.Before(nextChange) {
				if holder != nil {
					holder = nil
					nextChange = now.Add(time.Second)
				} else {
					heldSince, newHolderTokens = now, fiveSeconds.newHolderBudget(w.Rate, w.Burst)
					refillFrom := now.Add(MaxWait)
					holder = NewBucket(w.Rate, w.Burst, refillFrom).WithTolerance(fiveSeconds, refillFrom)
					nextChange = now.Add(time.Duration(1+random.IntN(4)) * time.Second)
				}
			}
			for i := range buckets {
				if random.Float64() >= 10*w.Rate/entries*step.Seconds() {
					continue
				}
				if holder != nil && i >= partitioned {
					settled := now.Sub(heldSince) >= MaxWait+slotLength(fiveSeconds.Window)
					granted := settled && holder.Take(1, 0, now).Tokens > 0
					if !settled && newHolderTokens > 0 {
						newHolderTokens--
						granted = true
					}
					if granted || settled {
						lastAnswer[i] = now
					}
					if granted || !settled && buckets[i].take(w, entries, lastAnswer[i], now) {
						used = append(used, now)
					}
				} else if buckets[i].take(w, entries, lastAnswer[i], now) {
					used = append(used, now)
				}
			}
		}
		if n, limit := maxInWindow(used, fiveSeconds.Window), fiveSeconds.windowLimit(w.Rate, w.Burst); float64(n) > limit {
			t.Errorf("seed %d, rate %.0f, burst %.0f: %d requests in a window, tolerated %.0f", seed, w.Rate, w.Burst, n, limit)
		}
	}
}

// A data centre with a third of the entries is partitioned for seven seconds while a
// workspace sends ten times its rate to both sides. The holder notices the missing
// entries after two seconds. Requests admitted on both sides must stay within the
// tolerance.
func TestToleranceIsKeptWhileADataCentreIsPartitioned(t *testing.T) {
	const (
		entries     = 44
		partitioned = 16
		step        = 10 * time.Millisecond
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		w := state.Workspace{Name: "w", Rate: 10 + random.Float64()*100}
		w.Burst = w.Rate * (0.5 + random.Float64())
		start := time.Unix(9000, 0)
		partitionedAt, healedAt := start.Add(7*time.Second), start.Add(14*time.Second)
		buckets := make([]*fallbackBucket, entries)
		for i := range buckets {
			buckets[i] = newFallbackBucket(fiveSeconds, w, entries, start)
		}
		lastAnswer := make([]time.Time, entries)
		holder := NewBucket(w.Rate, w.Burst, start).WithTolerance(fiveSeconds, start)
		var used []time.Time
		for now := start; now.Sub(start) < 25*time.Second; now = now.Add(step) {
			partition := now.After(partitionedAt) && now.Before(healedAt)
			unreachable := 0.0
			if partition && now.Sub(partitionedAt) > 2*time.Second {
				unreachable = float64(partitioned) / entries
			}
			holder.SetUnreachable(unreachable, now)
			for i := range buckets {
				if random.Float64() >= 10*w.Rate/entries*step.Seconds() {
					continue
				}
				if partition && i < partitioned {
					if buckets[i].take(w, entries, lastAnswer[i], now) {
						used = append(used, now)
					}
					continue
				}
				lastAnswer[i] = now
				if holder.Take(1, 0, now).Tokens > 0 {
					used = append(used, now)
				}
			}
		}
		if n, limit := maxInWindow(used, fiveSeconds.Window), fiveSeconds.windowLimit(w.Rate, w.Burst); float64(n) > limit {
			t.Errorf("seed %d, rate %.0f, burst %.0f: %d requests in a window, tolerated %.0f", seed, w.Rate, w.Burst, n, limit)
		}
	}
}

// heldByThisVM is a lease table in which this VM holds every lease since a point in time.
type heldByThisVM time.Time

func (h heldByThisVM) Held(string) (time.Time, bool) { return time.Time(h), true }

func (heldByThisVM) Holder(string) (string, bool) { return "e1", true }

func (heldByThisVM) ReportSuccess(string) {}

func (heldByThisVM) ReportFailure(string) {}

// A bucket is created with the first request of its workspace, possibly long after this
// VM took over the shard. By then grants of earlier holders must no longer count:
// otherwise the first requests are refused as if the holder were new.
func TestFirstRequestLongAfterATakeoverIsAdmitted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	w := state.Workspace{Name: "w", Rate: 20, Burst: 20}
	current := state.State{}.WithRecords(1, []state.Record{{Ref: w.Ref(), Object: w, Index: 1}})
	s := NewDistributed("e1", clock.NewManual(now), nil, heldByThisVM(now.Add(-10*time.Second)), func() state.State { return current }).
		WithTolerance(fiveSeconds, func() int { return 40 })
	answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: 5}, now)
	is.Equal(answer.GetTokens(), uint32(5))
}

// The window of a new holder starts full. Until it has room, the holder must answer that
// it does not hold the shard: an empty grant would refuse a workspace inside its rate as
// over its rate.
func TestNewHolderAnswersNotHolderUntilItsWindowHasRoom(t *testing.T) {
	now := time.Unix(9000, 0)
	w := state.Workspace{Name: "w", Rate: 20, Burst: 20}
	current := state.State{}.WithRecords(1, []state.Record{{Ref: w.Ref(), Object: w, Index: 1}})
	granted := false
	for age := time.Duration(0); age < 2*time.Second; age += 5 * time.Millisecond {
		s := NewDistributed("e1", clock.NewManual(now), nil, heldByThisVM(now.Add(-age)), func() state.State { return current }).
			WithTolerance(fiveSeconds, func() int { return 40 })
		answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: 1}, now)
		if !answer.GetNotHolder() && answer.GetTokens() == 0 {
			t.Fatalf("%s after the takeover the first request is refused as over the rate", age)
		}
		granted = granted || answer.GetTokens() > 0
	}
	is.New(t).True(granted)
}

// lossyLink drops every message.
type lossyLink struct{ link.Transport }

func (lossyLink) Send(string, *wire.Envelope) bool { return true }

// heldByOtherVM is a lease table in which another VM holds every lease.
type heldByOtherVM struct{}

func (heldByOtherVM) Held(string) (time.Time, bool) { return time.Time{}, false }

func (heldByOtherVM) Holder(string) (string, bool) { return "e2", true }

func (heldByOtherVM) ReportSuccess(string) {}

func (heldByOtherVM) ReportFailure(string) {}

// An entry that has just started does not know the number of entries. It must not use its
// fallback bucket: each of many such entries would admit the whole rate.
func TestNoFallbackWhileTheNumberOfEntriesIsUnknown(t *testing.T) {
	is := is.New(t)
	w := state.Workspace{Name: "w", Rate: 100, Burst: 100}
	entries := 0
	s := NewDistributed("e1", clock.New(), lossyLink{}, heldByOtherVM{}, func() state.State { return state.State{} }).
		WithTolerance(fiveSeconds, func() int { return entries })
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	admission := s.Admit(ctx, &w)
	is.True(!admission.OK)
	is.True(admission.Unavailable)
	is.Equal(admission.Cause, "e2, known to hold "+ShardOf("w")+", gave no token in time")
	entries = 4
	is.True(s.Admit(context.Background(), &w).OK)
}
