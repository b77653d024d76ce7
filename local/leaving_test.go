package local_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/pool"
)

// A backend server that leaves says so in its answers, while what it announces still says that it
// is ready. Requests went there until control heard of it.
func TestServersThatSayInAnswersThatTheyLeaveGetNothingMore(t *testing.T) {
	for _, placement := range []pool.PlacementMode{pool.PlacementHolder, pool.PlacementLocal} {
		t.Run(string(placement), func(t *testing.T) { testLeaving(t, placement, fake.Fault{Leaving: "1"}) })
	}
}

// The addresses of servers go to other services, which answer 421. Requests went there as long as the
// registrations stayed, and some came back unserved although other servers stood idle.
func TestAddressesThatAreAnotherServersGetNothingMore(t *testing.T) {
	for _, placement := range []pool.PlacementMode{pool.PlacementHolder, pool.PlacementLocal} {
		t.Run(string(placement), func(t *testing.T) { testLeaving(t, placement, fake.Fault{Another: true}) })
	}
}

func testLeaving(t *testing.T, placement pool.PlacementMode, gone fake.Fault) {
	is := is.New(t)
	f, err := local.Start(local.Controls(1), local.Entries(3, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.Placement(placement)))
	is.NoErr(err)
	s := startPool(t, f, 3)
	load := func(span time.Duration) (statuses map[int]int) {
		statuses = make(map[int]int)
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, e := range f.Entries {
				result, err := s.send(s.ctx, e.VM, http.MethodGet, "/x", "key-east")
				is.NoErr(err)
				statuses[result.status]++
			}
		}
		return statuses
	}
	s.servers[2].SetFault(fake.Fault{Leaving: "0"}) // says nothing
	s.servers[0].SetFault(gone)
	load(time.Second)
	before, other := s.servers[0].Arrivals(), s.servers[2].Arrivals()
	statuses := load(2 * time.Second)
	is.Equal(len(statuses), 1) // all served
	is.Equal(s.servers[0].Arrivals(), before)
	is.True(s.servers[2].Arrivals() > other)

	// If all leave, callers hear it at once.
	for _, server := range s.servers {
		server.SetFault(gone)
	}
	load(time.Second)
	started := time.Now()
	is.NoErr(s.expectStatus(http.StatusServiceUnavailable, "e1", http.MethodGet, "/x", "key-east"))
	is.True(time.Since(started) < 500*time.Millisecond)
}
