package local_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	rateLimit = 80.0
	rateBurst = 40.0
	// dispatchSlack allows for the time between admission at an entry and the
	// backend server's time stamp on a busy machine.
	dispatchSlack = 100 * time.Millisecond
)

// checkRateWindows checks that no window of length t has more than burst + rate*t
// requests.
func checkRateWindows(t *testing.T, stamps []time.Time) {
	t.Helper()
	slices.SortFunc(stamps, time.Time.Compare)
	for i := range stamps {
		for j := i; j < len(stamps); j++ {
			span := stamps[j].Sub(stamps[i]) + dispatchSlack
			allowed := rateBurst + rateLimit*span.Seconds()
			if n := float64(j - i + 1); n > allowed {
				t.Fatalf("%.0f requests within %s, %.1f are allowed", n, span, allowed)
			}
		}
	}
}

// TestWorkspaceRateHoldsDuringPartition overloads one workspace through all entries
// while the lease holder of its rate-limit shard is partitioned away and returns, and
// the control processes are down. It guards against two holders that admit requests
// at the same time, and against no new holder taking over.
func TestWorkspaceRateHoldsDuringPartition(t *testing.T) {
	f, err := local.Start(local.Controls(3), local.Entries(6, "d1", "d2", "d3"), local.Folder(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	target, err := fake.New(
		fake.Name("b1"), fake.Pool("p"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...),
		fake.Slots(200, 200), fake.ServiceTime(func() time.Duration { return time.Millisecond }),
	)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	text := fmt.Sprintf(`number: 1
workspaces: [{name: east, rate: %g, burst: %g, key-digests: [%q]}]
pools: [{name: p}]
routes: [{name: r, path-prefix: /, pool: p, idempotent: true, deadline: 2s}]
lease-voters: [e1, e2, e3]
`, rateLimit, rateBurst, state.HashKey("key-east"))
	if answer, err := f.ApplyTicket(ctx, 1, text); err != nil || answer.Stage != "in-force" {
		t.Fatal(answer, err)
	}

	s := newTestEnv()
	s.fleet = f
	load, stopLoad := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for worker := range 24 {
		group.Go(func() {
			for load.Err() == nil {
				s.send(load, f.Entries[worker%len(f.Entries)].VM, http.MethodGet, "/x", "key-east")
			}
		})
	}
	time.Sleep(5 * time.Second)
	before := target.RunCount()
	holder, ok := f.LeaseHolder(limit.ShardOf("east"))
	if !ok {
		t.Fatal("no entry holds the lease of the shard")
	}
	restore := f.Isolate(holder)
	for _, c := range f.Controls {
		c.Shutdown()
	}
	time.Sleep(7 * time.Second)
	during := target.RunCount()
	restore()
	time.Sleep(3 * time.Second)
	stopLoad()
	group.Wait()
	checkRateWindows(t, target.ArrivalTimes("east"))
	t.Logf("%d requests before the holder %s was isolated, %d in the following 7 s, %d in total", before, holder, during-before, target.RunCount())
	if during == before {
		t.Fatal("no request was served after the holder was isolated")
	}
}
