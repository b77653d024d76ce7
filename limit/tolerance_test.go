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
				if b.take(w, entries, time.Time{}, now) {
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
			if b.take(w, entries, time.Time{}, start.Add(time.Duration(i)*time.Second/demand)) {
				served++
			}
		}
	}
	// The fluid share of an entry is 0.15 of a token at the start and 0.33 a second.
	if least := plays * demand * 2 / 10; served < least {
		t.Errorf("%d of %d served, %d are due", served, plays*demand, least)
	}
}

// A workspace sends ten times its rate while its shard's holder is lost again and
// again, each time for about a second, and an eighth of the entries never reach a
// holder. Whatever holders and entries admit stays inside what is tolerated.
func TestHoldersAndEntriesAloneTogetherKeepTheTolerance(t *testing.T) {
	const (
		entries = 40
		cutOff  = 5
		step    = 10 * time.Millisecond
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		w := state.Workspace{Name: "w", Rate: 10 + random.Float64()*100, Burst: 10 + random.Float64()*100}
		start := time.Unix(9000, 0)
		parts := make([]*aloneBucket, entries)
		for i := range parts {
			parts[i] = newAloneBucket(fiveSeconds, w, entries, start)
		}
		answered := make([]time.Time, entries)
		var holder *Bucket
		var since time.Time
		early := 0
		var used []time.Time
		change := start
		for now := start; now.Sub(start) < 20*time.Second; now = now.Add(step) {
			if !now.Before(change) {
				if holder != nil {
					holder = nil
					change = now.Add(time.Second)
				} else {
					since, early = now, fiveSeconds.early(w.Rate, w.Burst)
					ready := now.Add(MaxWait)
					holder = NewBucket(w.Rate, w.Burst, ready).WithTolerance(fiveSeconds, ready)
					change = now.Add(time.Duration(1+random.IntN(4)) * time.Second)
				}
			}
			for i := range parts {
				if random.Float64() >= 10*w.Rate/entries*step.Seconds() {
					continue
				}
				if holder != nil && i >= cutOff {
					settled := now.Sub(since) >= MaxWait+windowSpan(fiveSeconds.Window)
					granted := settled && holder.Take(1, 0, now).Tokens > 0
					if !settled && early > 0 {
						early--
						granted = true
					}
					if granted || settled {
						answered[i] = now
					}
					if granted || !settled && parts[i].take(w, entries, answered[i], now) {
						used = append(used, now)
					}
				} else if parts[i].take(w, entries, answered[i], now) {
					used = append(used, now)
				}
			}
		}
		if most, limit := mostIn(used, fiveSeconds.Window), fiveSeconds.limit(w.Rate, w.Burst); float64(most) > limit {
			t.Errorf("seed %d, rate %.0f, burst %.0f: %d in a window, tolerated %.0f", seed, w.Rate, w.Burst, most, limit)
		}
	}
}

// A data centre with a third of the entries is cut off for seven seconds while a workspace
// sends ten times its rate to both sides. The holder hears of it after two seconds.
func TestTheToleranceHoldsWhileADataCentreIsCutOff(t *testing.T) {
	const (
		entries = 44
		cutOff  = 16
		step    = 10 * time.Millisecond
	)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		w := state.Workspace{Name: "w", Rate: 10 + random.Float64()*100}
		w.Burst = w.Rate * (0.5 + random.Float64())
		start := time.Unix(9000, 0)
		cutFrom, cutTo := start.Add(7*time.Second), start.Add(14*time.Second)
		parts := make([]*aloneBucket, entries)
		for i := range parts {
			parts[i] = newAloneBucket(fiveSeconds, w, entries, start)
		}
		answered := make([]time.Time, entries)
		holder := NewBucket(w.Rate, w.Burst, start).WithTolerance(fiveSeconds, start)
		var used []time.Time
		for now := start; now.Sub(start) < 25*time.Second; now = now.Add(step) {
			cut := now.After(cutFrom) && now.Before(cutTo)
			absent := 0.0
			if cut && now.Sub(cutFrom) > 2*time.Second {
				absent = float64(cutOff) / entries
			}
			holder.SetUnreachable(absent, now)
			for i := range parts {
				if random.Float64() >= 10*w.Rate/entries*step.Seconds() {
					continue
				}
				if cut && i < cutOff {
					if parts[i].take(w, entries, answered[i], now) {
						used = append(used, now)
					}
					continue
				}
				answered[i] = now
				if holder.Take(1, 0, now).Tokens > 0 {
					used = append(used, now)
				}
			}
		}
		if most, limit := mostIn(used, fiveSeconds.Window), fiveSeconds.limit(w.Rate, w.Burst); float64(most) > limit {
			t.Errorf("seed %d, rate %.0f, burst %.0f: %d in a window, tolerated %.0f", seed, w.Rate, w.Burst, most, limit)
		}
	}
}

// heldSince is a lease that this VM has held since an instant.
type heldSince time.Time

func (h heldSince) Held(string) (time.Time, bool) { return time.Time(h), true }

func (heldSince) Holder(string) (string, bool) { return "e1", true }

func (heldSince) ReportSuccess(string) {}

func (heldSince) ReportFailure(string) {}

// A bucket is made when its workspace sends its first request, which may be long
// after this VM took over its shard. Earlier holders no longer count then.
func TestFirstRequestsLongAfterATakeoverAreServed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(9000, 0)
	w := state.Workspace{Name: "w", Rate: 20, Burst: 20}
	current := state.State{}.WithRecords(1, []state.Record{{Ref: w.Ref(), Object: w, Index: 1}})
	s := NewDistributed("e1", clock.NewManual(now), nil, heldSince(now.Add(-10*time.Second)), func() state.State { return current }).
		WithTolerance(fiveSeconds, func() int { return 40 })
	answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: 5}, now)
	is.Equal(answer.GetTokens(), uint32(5))
}

// The window of a holder that is new counts as full. Until it has room, the holder is
// not ready: a workspace inside its rate must not hear that it is over it.
func TestNewHoldersSayTheyAreNotReadyInsteadOfOverRate(t *testing.T) {
	now := time.Unix(9000, 0)
	w := state.Workspace{Name: "w", Rate: 20, Burst: 20}
	current := state.State{}.WithRecords(1, []state.Record{{Ref: w.Ref(), Object: w, Index: 1}})
	granted := false
	for age := time.Duration(0); age < 2*time.Second; age += 5 * time.Millisecond {
		s := NewDistributed("e1", clock.NewManual(now), nil, heldSince(now.Add(-age)), func() state.State { return current }).
			WithTolerance(fiveSeconds, func() int { return 40 })
		answer := s.grant(&wire.TokenAsk{Workspace: "w", Tokens: 1}, now)
		if !answer.GetNotHolder() && answer.GetTokens() == 0 {
			t.Fatalf("%s after the takeover the first request is over the rate", age)
		}
		granted = granted || answer.GetTokens() > 0
	}
	is.New(t).True(granted)
}

// silentLink loses everything.
type silentLink struct{ link.Link }

func (silentLink) Send(string, *wire.Envelope) bool { return true }

// heldByAnother is a lease of a VM that says nothing.
type heldByAnother struct{}

func (heldByAnother) Held(string) (time.Time, bool) { return time.Time{}, false }

func (heldByAnother) Holder(string) (string, bool) { return "e2", true }

func (heldByAnother) ReportSuccess(string) {}

func (heldByAnother) ReportFailure(string) {}

// An entry that has just started and does not know the others yet has no part of any
// rate: each of many such entries would take all of it.
func TestEntriesThatDoNotKnowTheOthersAdmitNothingAlone(t *testing.T) {
	is := is.New(t)
	w := state.Workspace{Name: "w", Rate: 100, Burst: 100}
	members := 0
	s := NewDistributed("e1", clock.New(), silentLink{}, heldByAnother{}, func() state.State { return state.State{} }).
		WithTolerance(fiveSeconds, func() int { return members })
	ctx, cancel := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer cancel()
	admission := s.Admit(ctx, &w)
	is.True(!admission.OK)
	is.True(admission.Unavailable)
	is.Equal(admission.Cause, "e2, known to hold "+ShardOf("w")+", gave no token in time")
	members = 4
	is.True(s.Admit(context.Background(), &w).OK)
}
