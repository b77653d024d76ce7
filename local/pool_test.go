package local_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

// onePool is a fleet whose workspace "east" sends requests to the servers of one pool. The route
// /once/ must run once, all others may be repeated.
type onePool struct {
	*testEnv
	ctx     context.Context
	servers []*fake.Server
}

// startPool starts servers for the entries of a fleet and waits until each entry serves.
func startPool(t *testing.T, f *local.Fleet, servers int, opts ...fake.Option) *onePool {
	t.Helper()
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	p := &onePool{testEnv: newTestEnv(), ctx: ctx}
	p.fleet = f
	for i := range servers {
		server, err := fake.New(append([]fake.Option{
			fake.Name(fmt.Sprint("b", i)), fake.Pool("p"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...),
		}, opts...)...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		p.servers = append(p.servers, server)
	}
	_, err := f.ApplyTicket(ctx, 1, fmt.Sprintf(`number: 1
workspaces: [{name: east, rate: 1000, burst: 1000, key-digests: [%q]}]
pools: [{name: p, floor: 0.5}]
routes: [{name: any, path-prefix: /, pool: p, idempotent: true, deadline: 2s}, {name: once, path-prefix: /once/, pool: p, deadline: 2s}]
lease-voters: [%s]
`, state.HashKey("key-east"), f.Entries[0].VM))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries {
		for p.expectStatus(http.StatusOK, e.VM, http.MethodGet, "/x", "key-east") != nil {
			if ctx.Err() != nil {
				t.Fatal(e.VM, "does not serve")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return p
}
