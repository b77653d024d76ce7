package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// delayedTransport delivers messages to one balancer after a delay.
type delayedTransport struct {
	link.Transport

	vm    string
	delay time.Duration
	to    func() *Balancer
}

func (l delayedTransport) Send(_ string, e *wire.Envelope) bool {
	time.AfterFunc(l.delay, func() { l.to().Receive(l.vm, e) })
	return true
}

// Guards against entries that choose servers by themselves as long as a holder takes longer to answer than
// usual, while it goes on assigning slots to them (SHORT).
func TestHolderBehindASlowLinkPlacesRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const delay = 110 * time.Millisecond
	holder := newRolloutEntry(t, PlacementHolder)
	var entry *Balancer
	holder.link = delayedTransport{vm: "e1", delay: delay, to: func() *Balancer { return entry }}
	c := clock.New()
	t.Cleanup(c.Stop)
	f := fleet.New(deafTransport{}, fleet.Self(fleet.Member{VM: "e2", DataCentre: "d1", Boot: 1}), fleet.Clock(c))
	f.UpdateRegistered(holder.fleet.Directory().Pool("desk"), nil)
	leases := lease.New(deafTransport{}, f, lease.VM("e2"), lease.Boot(1), lease.Clock(c))
	body, err := proto.Marshal(&wire.LeaseHolder{Vm: "e1", Boot: 1})
	is.NoErr(err)
	f.Publish(fleet.Item{Key: fleet.Key{Kind: fleet.KindLease, Name: LeaseName("desk")}, Version: fleet.Version{Count: 1}, Body: body})
	transport := delayedTransport{vm: "e2", delay: delay, to: func() *Balancer { return holder.Balancer }}
	entry = New(transport, f, leases, VM("e2"), DataCentre("d1"), Placement(PlacementHolder), Clock(c),
		State(func() state.State { return holder.current }), Settings(holder.options.Settings))
	placed := 0
	for range 10 {
		choice, err := entry.Pick(t.Context(), "desk", pick.Request{})
		is.NoErr(err)
		if choice.RetryCounted {
			placed++
		}
		choice.Done(health.Result{Kind: health.OK, Latency: time.Millisecond})
		time.Sleep(350 * time.Millisecond) // a holder that has just failed is not asked
	}
	is.True(placed >= 8)
}
