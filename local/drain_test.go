package local_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

// The load balancer sends requests for a while after a shutdown has begun. The entry
// must serve them during the drain delay, and other entries take over its leases.
func TestDrainingEntryServesLateRequests(t *testing.T) {
	is := is.New(t)
	f, err := local.Start(local.Controls(3), local.Entries(4, "d1", "d2"), local.Folder(t.TempDir()),
		local.Drain(3*time.Second, time.Second))
	is.NoErr(err)
	defer f.Stop()
	target, err := fake.New(fake.Name("b1"), fake.Pool("p"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...), fake.Slots(50, 50))
	is.NoErr(err)
	defer target.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	text := fmt.Sprintf(`number: 1
workspaces: [{name: east, rate: 500, burst: 500, key-digests: [%q]}]
pools: [{name: p}]
routes: [{name: r, path-prefix: /, pool: p, idempotent: true, deadline: 2s}]
lease-voters: [e1, e2, e3]
`, state.HashKey("key-east"))
	answer, err := f.ApplyTicket(ctx, 1, text)
	is.NoErr(err)
	is.Equal(string(answer.Stage), "in-force")
	s := newTestEnv()
	s.fleet = f
	for ready := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if err := s.expectStatus(http.StatusOK, "e4", http.MethodGet, "/x", "key-east"); err == nil {
			break
		} else if time.Now().After(ready) {
			t.Fatal(err) // the backend server is not known to the entry
		}
	}
	go f.Entries[3].Shutdown()
	time.Sleep(time.Second)
	is.True(f.Entries[3].Ready() != nil) // readiness check fails, so the load balancer stops sending
	for range 20 {
		is.NoErr(s.expectStatus(http.StatusOK, "e4", http.MethodGet, "/x", "key-east"))
	}
	is.Equal(len(f.Entries[3].HeldLeases()), 0) // leases were handed over
}
