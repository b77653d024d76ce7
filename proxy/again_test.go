package proxy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/retry"
)

// replay plays seconds 8 to 14 of a day in which the addresses of servers go to other services: 100
// requests per second, of which two in five meet another server for 0.4 s after each change of addresses.
// Each may be sent to one further server. It returns how many are refused, and the largest number
// of further arrivals beyond what the budget's rule allows.
func replay(patient bool) (refused int, excess float64) {
	const (
		interval = 10 * time.Millisecond
		ratio    = 0.2
		slack    = 5
		usual    = 60 * time.Millisecond
		timeout  = time.Second
	)
	type asked struct {
		at, until time.Duration
		pauses    pauses
	}
	random := rand.New(rand.NewPCG(8, 14))
	budget := retry.NewBudget(retry.Ratio(ratio), retry.Burst(slack))
	var waiting []asked
	var arrivals, further float64
	for now := time.Duration(0); now < 7*time.Second; now += interval {
		if now < 6*time.Second {
			arrivals++
			budget.Deposit()
			if now%(1500*time.Millisecond) < 400*time.Millisecond && random.Float64() < 0.4 {
				waiting = append(waiting, asked{at: now, until: now + timeout})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(a asked) bool { return a.at < now-interval })
		for i := range waiting {
			a := &waiting[i]
			if a.at > now {
				continue
			}
			if budget.Withdraw() {
				further++
				a.at = -timeout
				continue
			}
			wait, ok := a.pauses.next(0, usual, a.until-now, random.Float64())
			if !ok || !patient {
				refused++
				a.at = -timeout
				continue
			}
			a.at = now + wait.Truncate(interval)
		}
		excess = max(excess, further-ratio*arrivals-slack)
	}
	return refused, excess
}

func TestRequestsWaitForTheRetryBudget(t *testing.T) {
	is := is.New(t)
	before, _ := replay(false)
	after, excess := replay(true)
	t.Logf("refused: %d at once, %d with pauses", before, after)
	is.True(before >= 5)
	is.True(after <= before/4)
	is.True(excess <= 0) // the budget is kept
}

func TestPausesAreBoundedAndEndInTime(t *testing.T) {
	is := is.New(t)
	var p pauses
	total := time.Duration(0)
	for range maxPauses {
		wait, ok := p.next(0, 0, time.Second, 0)
		is.True(ok)
		total += wait
	}
	is.Equal(total, 280*time.Millisecond)
	_, ok := p.next(0, 0, time.Second, 0)
	is.True(!ok)
	p = pauses{}
	_, ok = p.next(0, 100*time.Millisecond, 130*time.Millisecond, 0)
	is.True(!ok) // the answer would be late
	_, ok = p.next(time.Second, 0, 900*time.Millisecond, 0)
	is.True(!ok) // no server is free in time
	wait, ok := p.next(200*time.Millisecond, 0, time.Second, 0.9)
	is.True(ok)
	is.True(wait >= 200*time.Millisecond && wait < 300*time.Millisecond)
}

func TestNobodyWaitsWhileItDoesNotPay(t *testing.T) {
	is := is.New(t)
	var p prospect
	for range maxMisses {
		is.True(p.allows())
		p.note(false)
	}
	waits := 0
	for range 10 * probeEvery {
		if p.allows() {
			waits++
		}
	}
	is.Equal(waits, 10)
	p.note(true)
	is.True(p.allows())
}
