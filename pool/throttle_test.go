package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

const (
	limitWindow = 4 * time.Second
	// limitExcess and limitSlack are what operators tolerate in a window.
	limitExcess = 1.5
	limitSlack  = 5
	// limitContact is the time after the first answer with a limit from which it binds.
	limitContact = 3 * time.Second
)

// checkLimit checks that no window has more requests than a limit allows.
func checkLimit(t *testing.T, server string, perSecond float64, sent []time.Time) {
	t.Helper()
	allowed := int(limitExcess*perSecond*limitWindow.Seconds()) + limitSlack
	for i, from := range sent {
		if from.Sub(startTime) < limitContact {
			continue
		}
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%s got %d requests within %s from %s on, %d are allowed", server, n, limitWindow, from.Sub(startTime), allowed)
		}
	}
}

// While a holder is away entries choose by themselves and do not know of each other. Together
// they stay within the limits, also after a pause, and leave a part to the holder.
func TestLocalChoicesOfManyEntriesStayWithinALimit(t *testing.T) {
	const entries = 124
	for seed := range 5 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			now := startTime
			cells := make([]*cellState, entries)
			for i := range cells {
				cells[i] = &cellState{servers: make(map[string]*serverStats)}
				cells[i].publishLimits(map[string]float64{"b1": 1}, now)
			}
			now = now.Add(time.Minute)
			targets := []fleet.Target{{Name: "b1"}, {Name: "b2"}}
			var sent []time.Time
			for range 2000 {
				now = now.Add(10 * time.Millisecond)
				for _, cs := range cells {
					unlimited, allowed := cs.withinLimits(targets, fallbackLimitShare/entries, now)
					if len(unlimited) != 1 || unlimited[0].Name != "b2" {
						t.Fatal("the server without a limit is left out")
					}
					for range allowed {
						sent = append(sent, now)
					}
				}
			}
			// The holder may use the limit itself meanwhile.
			checkLimit(t, "b1", 1-1/limitExcess, sent)
		})
	}
}

// An entry that becomes the holder knows the limits that its predecessor has published.
func TestPublishedLimitsAreKnownInEveryCell(t *testing.T) {
	is := is.New(t)
	now := startTime
	cs := &cellState{name: "p", servers: make(map[string]*serverStats)}
	cs.publishLimits(map[string]float64{"b1": 2, "b2": 3}, now)
	b := &Balancer{options: newOptions(), cellStates: map[string]*cellState{"p": cs}}
	is.Equal(b.knownLimits("p"), map[string]float64{"b1": 2, "b2": 3})
	// What this VM saw itself a moment ago may not be known to the holder yet.
	cs.server("b3").recordLimit(health.Result{Limit: health.Limit{Stated: health.LimitNamed, PerSecond: 1}}, now.Add(2*time.Second))
	cs.publishLimits(map[string]float64{"b2": 5}, now.Add(2*time.Second))
	is.Equal(b.knownLimits("p"), map[string]float64{"b2": 5, "b3": 1})
}
