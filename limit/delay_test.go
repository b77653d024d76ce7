package limit

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// delayedLink delivers messages after a delay, as links do that are full of bodies.
type delayedLink struct {
	link.Transport

	vm      string
	network *delayedNetwork
}

type delayedNetwork struct {
	delay time.Duration
	nodes map[string]*Distributed
	sent  atomic.Int64
}

func (l *delayedLink) Send(to string, e *wire.Envelope) bool {
	l.network.sent.Add(1)
	time.AfterFunc(l.network.delay, func() { l.network.nodes[to].Receive(l.vm, e) })
	return true
}

// Guards against a fleet whose entries drop every answer of a holder that takes longer than the time
// after which they ask again (SHORT).
func TestFleetIsServedByAHolderBehindASlowLink(t *testing.T) {
	t.Parallel()
	expectServed(t, 200*time.Millisecond)
}

// Tokens that arrive after their life, half a second from the request for them, serve nobody.
func TestFleetIsServedByAHolderBehindAFullLink(t *testing.T) {
	t.Parallel()
	expectServed(t, 300*time.Millisecond)
}

// expectServed checks that 440 entries serve a workspace at half its rate if messages take a time each way.
func expectServed(t *testing.T, delay time.Duration) {
	t.Helper()
	is := is.New(t)
	const entries, perSecond, seconds = 440, 150, 3
	w := state.Workspace{Name: "west", Rate: 2 * perSecond, Burst: 2 * perSecond}
	network := &delayedNetwork{delay: delay, nodes: make(map[string]*Distributed)}
	c := clock.New()
	t.Cleanup(c.Stop)
	tolerance := Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	for i := range entries {
		vm := fmt.Sprint("e", i)
		leases := fixedLeases{vm: vm, holder: "e0", since: time.Now().Add(-time.Hour)}
		network.nodes[vm] = NewDistributed(vm, c, &delayedLink{vm: vm, network: network}, leases, stateWith(w)).
			WithTolerance(tolerance, func() int { return entries })
	}
	var group sync.WaitGroup
	var admitted, sinceHalf atomic.Int64
	const requests = perSecond * seconds
	for i := range requests {
		entry := network.nodes[fmt.Sprint("e", 1+i*7%(entries-1))]
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			if entry.Admit(ctx, &w).OK {
				admitted.Add(1)
				if i >= requests/2 {
					sinceHalf.Add(1)
				}
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	is.True(admitted.Load() >= requests*95/100)
	is.True(sinceHalf.Load() >= requests/2*95/100)
	is.True(network.sent.Load() <= 2*2*requests) // two requests and answers for each, at most
}
