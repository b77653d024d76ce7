package proxy_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// departingPicker returns its targets in order. The first one leaves a moment after it was chosen.
type departingPicker struct {
	sequentialPicker

	after    time.Duration
	results  []health.Kind
	departed atomic.Bool
}

func (p *departingPicker) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	choice, err := p.sequentialPicker.Pick(ctx, pool, r)
	if len(p.arrived) == 1 {
		time.AfterFunc(p.after, func() { p.departed.Store(true) })
		choice.Done = func(r health.Result) { p.results = append(p.results, r.Kind) }
		choice.Check = func() error {
			if p.departed.Load() {
				return pick.ErrDeparted
			}
			return nil
		}
	}
	return choice, err
}

// Guards against a request that reaches a server which has left while the request waited for its
// connection (DRAIN).
func TestServerThatLeavesBeforeARequestIsSentGetsNoByteOfIt(t *testing.T) {
	is := is.New(t)
	leaves, stays := startKeepAliveServer(t, nil), startKeepAliveServer(t, nil)
	picker := &departingPicker{after: 50 * time.Millisecond}
	first, second := leaves.target("leaves"), stays.target("stays")
	picker.targets = []fleet.Target{first, second}
	slowDial := proxy.Dial(func(ctx context.Context, addr string) (net.Conn, error) {
		if addr == first.Addr {
			time.Sleep(200 * time.Millisecond)
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", addr)
	})
	server := serve(t, picker, append(keepAliveOptions(), slowDial)...)
	response, _ := sendNonIdempotent(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(leaves.firstResponses.Load(), int64(0))
	is.Equal(stays.firstResponses.Load(), int64(1))
	is.Equal(picker.results, []health.Kind{health.Cancelled}) // nothing speaks against the server
	is.Equal(picker.arrived, []bool{false, false})            // it does not count as a retry
}
