package local_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/state"
)

// A backend server that leaves says so in its answers, while what it announces still says that it
// is ready. Requests went there until control heard of it.
func TestServersThatSayInAnswersThatTheyLeaveGetNothingMore(t *testing.T) {
	for _, placement := range []pool.PlacementMode{pool.PlacementHolder, pool.PlacementLocal} {
		t.Run(string(placement), func(t *testing.T) { testLeaving(t, placement) })
	}
}

func testLeaving(t *testing.T, placement pool.PlacementMode) {
	is := is.New(t)
	f, err := local.Start(local.Controls(1), local.Entries(3, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.Placement(placement)))
	is.NoErr(err)
	defer f.Stop()
	var servers []*fake.Server
	for i := range 3 {
		server, err := fake.New(fake.Name(fmt.Sprint("b", i)), fake.Pool("p"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...))
		is.NoErr(err)
		defer server.Stop()
		servers = append(servers, server)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err = f.ApplyTicket(ctx, 1, fmt.Sprintf(`number: 1
workspaces: [{name: east, rate: 1000, burst: 1000, key-digests: [%q]}]
pools: [{name: p, floor: 0.9}]
routes: [{name: r, path-prefix: /, pool: p, idempotent: true, deadline: 2s}]
lease-voters: [e1, e2, e3]
`, state.HashKey("key-east")))
	is.NoErr(err)
	s := newTestEnv()
	s.fleet = f
	load := func(span time.Duration) (statuses map[int]int) {
		statuses = make(map[int]int)
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, e := range f.Entries {
				result, err := s.send(ctx, e.VM, http.MethodGet, "/x", "key-east")
				is.NoErr(err)
				statuses[result.status]++
			}
		}
		return statuses
	}
	for statuses := load(100 * time.Millisecond); len(statuses) > 1 || statuses[http.StatusOK] == 0; statuses = load(100 * time.Millisecond) {
		is.NoErr(ctx.Err())
	}
	servers[2].SetFault(fake.Fault{Leaving: "0"}) // says nothing
	servers[0].SetFault(fake.Fault{Leaving: "1"})
	load(time.Second)
	before, other := servers[0].Arrivals(), servers[2].Arrivals()
	statuses := load(2 * time.Second)
	is.Equal(len(statuses), 1) // all served
	is.Equal(servers[0].Arrivals(), before)
	is.True(servers[2].Arrivals() > other)

	// If all leave, callers hear it at once.
	for _, server := range servers {
		server.SetFault(fake.Fault{Leaving: "1"})
	}
	load(time.Second)
	started := time.Now()
	is.NoErr(s.expectStatus(http.StatusServiceUnavailable, "e1", http.MethodGet, "/x", "key-east"))
	is.True(time.Since(started) < 500*time.Millisecond)
}
