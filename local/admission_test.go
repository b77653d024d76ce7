package local_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/sched"
)

// Three times as many requests arrive as the servers can run, and the holder with the queue is
// lost meanwhile. Every refusal is true, nothing that must run once runs twice, and the others
// go on serving.
func TestHolderWithAQueueIsLostAtOverload(t *testing.T) {
	is := is.New(t)
	f, err := local.Start(local.Controls(1), local.Entries(3, "d1"), local.Folder(t.TempDir()),
		local.EntryOptions(entry.Placement(pool.PlacementHolder), entry.PoolOptions(pool.Admission(sched.AdmissionWork))))
	is.NoErr(err)
	s := startPool(t, f, 3, fake.Slots(2, 2), fake.ServiceTime(func() time.Duration { return 200 * time.Millisecond }))
	holder, held := f.LeaseHolder(pool.LeaseName("p"))
	is.True(held)
	var others []string
	admin := ""
	for _, e := range f.Entries {
		if e.VM == holder {
			admin = e.Admin
		} else {
			others = append(others, e.Callers)
		}
	}
	const requests, lostAt = 400, 200
	var (
		mu                             sync.Mutex
		group                          sync.WaitGroup
		servedAfter, refused, false503 int
	)
	for i := range requests {
		if i == lostAt {
			is.True(waiting(t, admin) > 0)
			defer f.Isolate(holder)()
		}
		group.Go(func() {
			id := fmt.Sprint("overload-", i)
			request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, others[i%2]+"/once/x", nil)
			if err != nil {
				t.Error(err)
				return
			}
			request.Header.Set("Authorization", "Bearer key-east")
			request.Header.Set(fake.RequestIDHeader, id)
			response, err := s.client.Do(request)
			if err != nil {
				t.Error(err)
				return
			}
			response.Body.Close()
			runs := 0
			for _, server := range s.servers {
				runs += server.RunsByID()[id]
			}
			mu.Lock()
			defer mu.Unlock()
			if runs > 1 {
				t.Error(id, "must run once and ran", runs, "times")
			}
			switch {
			case response.StatusCode == http.StatusOK && i > lostAt:
				servedAfter++
			case response.StatusCode == http.StatusServiceUnavailable:
				refused++
				if runs > 0 || response.Header.Get("Retry-After") == "" {
					false503++
				}
			}
		})
		time.Sleep(11 * time.Millisecond)
	}
	group.Wait()
	t.Logf("%d refused, %d served after the holder was lost", refused, servedAfter)
	is.True(refused > 0)
	is.Equal(false503, 0)
	is.True(servedAfter > 30) // the servers can run 30 a second
}

// waiting returns the number of requests that wait in the queue of an entry.
func waiting(t *testing.T, admin string) int {
	response, err := http.Get(admin + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var status struct {
		Pools []struct {
			Queues map[string]sched.QueueStatus `json:"queues"`
		} `json:"pools"`
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, p := range status.Pools {
		for _, q := range p.Queues {
			for _, count := range q.Waiting {
				n += count
			}
		}
	}
	return n
}
