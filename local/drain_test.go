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

// After the order to stop, callers go on coming until the balancer has noticed. An
// entry serves them as long as it listens, and its shards have other holders soon.
func TestStoppingEntryServesWhatStillComes(t *testing.T) {
	is := is.New(t)
	f, err := local.Start(local.Controls(3), local.Entries(4, "d1", "d2"), local.Folder(t.TempDir()),
		local.Drain(3*time.Second, time.Second))
	is.NoErr(err)
	defer f.Stop()
	target, err := fake.New(fake.Name("b1"), fake.Pool("p"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...), fake.Slots(50, 50))
	is.NoErr(err)
	defer target.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), stageWait)
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
	s := newStage()
	s.fleet = f
	for ready := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if err := s.check(http.StatusOK, "e4", http.MethodGet, "/x", "key-east"); err == nil {
			break
		} else if time.Now().After(ready) {
			t.Fatal(err) // the backend server's announcement has not arrived
		}
	}
	go f.Entries[3].Shutdown()
	time.Sleep(time.Second)
	is.True(f.Entries[3].Ready() != nil) // the balancer looks elsewhere
	for range 20 {
		is.NoErr(s.check(http.StatusOK, "e4", http.MethodGet, "/x", "key-east"))
	}
	is.Equal(len(f.Entries[3].HeldLeases()), 0) // its duties are elsewhere
}
