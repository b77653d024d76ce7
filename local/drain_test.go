package local_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
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

// Late in a planned stop, an entry took requests that last longer than the rest of it, and passed
// them on. At the end of the stop they were cut without an answer.
func TestRequestsThatCannotEndBeforeAPlannedStopAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	const delay, limit = 300 * time.Millisecond, 900 * time.Millisecond
	f, err := local.Start(local.Controls(1), local.Entries(2, "d1"), local.Folder(t.TempDir()), local.Drain(delay, limit))
	is.NoErr(err)
	s := startPool(t, f, 1, fake.Slots(50, 50), fake.ServiceTime(func() time.Duration { return 1100 * time.Millisecond }))
	last := f.Entries[1]
	var conns []net.Conn
	for range 8 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(last.Callers, "http://"))
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	go last.Shutdown()
	// The requests come in the first half second of a stop that ends after 1.2 s, and take 1.1 s each.
	for i, conn := range conns {
		time.Sleep(60 * time.Millisecond)
		id := fmt.Sprint("late", i)
		fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: loan.example\r\nAuthorization: Bearer key-east\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", fake.RequestIDHeader, id)
	}
	for i, conn := range conns {
		id := fmt.Sprint("late", i)
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		runs := s.servers[0].RunsByID()[id]
		switch {
		case err != nil && runs > 0:
			t.Errorf("%s ran and was cut: %v", id, err)
		case err == nil && response.StatusCode != http.StatusOK && runs > 0:
			t.Errorf("%s ran and was answered %d", id, response.StatusCode)
		case err == nil && response.StatusCode != http.StatusOK:
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get("Dottereldeal-Outcome"), "not-run")
		}
	}
}
