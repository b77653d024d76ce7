package proxy_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// startBodyServer starts a backend server that answers with a body of the given size, with or
// without its length.
func startBodyServer(t *testing.T, size int, withLength bool) fleet.Target {
	t.Helper()
	addr := fake.FreeAddr()
	server := &http.Server{Addr: addr.String(), Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if withLength {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		w.Write(bytes.Repeat([]byte("x"), size))
	})}
	ready := make(chan struct{})
	go func() { close(ready); server.ListenAndServe() }()
	<-ready
	t.Cleanup(func() { server.Shutdown(context.Background()) })
	return fleet.Target{Name: "b1", Pool: "p", Addr: addr.String(), Slots: 4}
}

func TestPacedBodiesArriveWhole(t *testing.T) {
	is := is.New(t)
	target := startBodyServer(t, 100_000, true)
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, proxy.LinkRate(4<<20))
	for _, size := range []int{100, 40_000, 200_000} {
		response := send(t, http.MethodPost, server.URL+"/read/1", bytes.NewReader(make([]byte, size)), nil)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(body), 100_000)
	}
}

// A response whose time runs out while it is paced must not look complete, whether its length
// is known or not.
func TestPacedResponseThatRunsOutOfTimeIsBrokenOff(t *testing.T) {
	for name, withLength := range map[string]bool{"with length": true, "chunked": false} {
		for _, size := range []int{60_000, 70_000} {
			t.Run(name+" "+strconv.Itoa(size), func(t *testing.T) {
				is := is.New(t)
				target := startBodyServer(t, size, withLength)
				server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, proxy.LinkRate(40_000))
				request, err := http.NewRequest(http.MethodGet, server.URL+"/read/1", nil)
				is.NoErr(err)
				request.Header.Set("Authorization", "Bearer "+secret)
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return // broken off before its head was complete
				}
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				// A streamed response may take longer than the deadline of its route.
				is.True(err != nil || response.StatusCode != http.StatusOK || len(body) == size)
			})
		}
	}
}
