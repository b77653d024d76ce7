package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// sequentialPicker returns its targets in order, and records for each whether the request
// had reached a backend server before.
type sequentialPicker struct {
	targets []fleet.Target
	arrived []bool
}

func (p *sequentialPicker) Pick(_ context.Context, _ string, r pick.Request) (pick.Choice, error) {
	if len(p.arrived) == len(p.targets) {
		return pick.Choice{}, pick.ErrNoServer
	}
	p.arrived = append(p.arrived, r.Arrived)
	return pick.Choice{Target: p.targets[len(p.arrived)-1], Done: func(health.Result) {}, RetryCounted: true}, nil
}

func (*sequentialPicker) HedgeDelay(string) time.Duration { return 0 }
func (*sequentialPicker) String() string                  { return "in sequence" }

// After the loss of a data centre its servers refuse connections. A non-idempotent request
// must be sent to further servers until one accepts it, because the failed attempts did
// not reach any.
func TestUnreachableServersDoNotCountAsAttempts(t *testing.T) {
	is := is.New(t)
	backend := startKeepAliveServer(t, nil)
	picker := &sequentialPicker{}
	for range 4 {
		picker.targets = append(picker.targets, fleet.Target{Name: "gone", Pool: "p", Addr: fake.FreeAddr().String(), Slots: 4})
	}
	picker.targets = append(picker.targets, backend.target("there"))
	server := serve(t, picker, keepAliveOptions()...)
	response, body := sendNonIdempotent(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "first")
	for _, arrived := range picker.arrived {
		is.True(!arrived)
	}
}

// The maximum number of attempts applies to those that reached a backend server.
func TestAttemptsReachingServersAreLimited(t *testing.T) {
	is := is.New(t)
	picker := &sequentialPicker{}
	var servers []*resettingServer
	for range 5 {
		s := startResettingServer(t, 10)
		servers = append(servers, s)
		picker.targets = append(picker.targets, s.target("cuts"))
	}
	server := serve(t, picker)
	response := send(t, http.MethodGet, server.URL+"/read/1", strings.NewReader(""), nil)
	is.True(response.StatusCode >= 500)
	reached := int64(0)
	for _, s := range servers {
		reached += s.reached.Load()
	}
	is.True(reached <= 3)
	is.True(response.Header.Get(proxy.OutcomeHeader) != string(proxy.NotRun))
}

// A reused connection breaks when a request that may run twice has been sent on it. net/http sent
// such a request again by itself, so that it arrived without being counted by any retry budget,
// and ran again at a server that it may have crashed.
func TestRequestsAreNotSentAgainBehindTheRetryBudget(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	backend := startKeepAliveServer(t, func(_ int64, conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			arrivals.Add(1)
		}
		conn.SetLinger(0)
	})
	picker := &sequentialPicker{targets: []fleet.Target{backend.target("b1"), backend.target("b1")}}
	server := serve(t, picker, keepAliveOptions()...)
	first := send(t, http.MethodGet, server.URL+"/read/1", nil, http.Header{idHeader: {"one"}})
	is.Equal(first.StatusCode, http.StatusOK)
	io.Copy(io.Discard, first.Body)
	second := send(t, http.MethodGet, server.URL+"/read/2", nil, http.Header{idHeader: {"two"}})
	is.Equal(arrivals.Load(), int64(1))
	is.Equal(backend.firstResponses.Load(), int64(1)) // no other connection was opened
	is.Equal(second.StatusCode, http.StatusBadGateway)
	is.Equal(second.Header.Get(proxy.OutcomeHeader), string(proxy.Unknown))
}

// refusingPicker refuses some further attempts before it allows one.
type refusingPicker struct {
	sequentialPicker
	refusals int
	results  []health.Result
}

func (p *refusingPicker) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	if r.Arrived && p.refusals > 0 {
		p.refusals--
		return pick.Choice{}, pick.ErrRetryBudget
	}
	choice, err := p.sequentialPicker.Pick(ctx, pool, r)
	choice.Done = func(result health.Result) { p.results = append(p.results, result) }
	return choice, err
}

// A request met another server at an address that is used again, or was turned away unread, while the
// retry budget was empty. It came back as a 503 at once, with most of its time left.
func TestRequestThatHasNotRunWaitsForAFurtherAttempt(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		for refusals, want := range map[int]int{0: http.StatusOK, 2: http.StatusOK, 9: http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(status, refusals), func(t *testing.T) {
				is := is.New(t)
				away := startServer(t, "b1", func(conn *net.TCPConn, _ *http.Request) { io.WriteString(conn, refusal(status, "one")) })
				sound := startServer(t, "b2", func(conn *net.TCPConn, _ *http.Request) { io.WriteString(conn, keepAliveResponse("one", "sound")) })
				picker := &refusingPicker{sequentialPicker: sequentialPicker{targets: []fleet.Target{away, sound}}, refusals: refusals}
				server := serve(t, picker, keepAliveOptions()...)
				started := time.Now()
				response, _ := sendNonIdempotent(t, server.URL, "one")
				is.Equal(response.StatusCode, want)
				is.True(time.Since(started) < 400*time.Millisecond) // its deadline
				if want != http.StatusOK {
					is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.NotRun))
				}
				// Who is not there any more is neither failing nor full.
				gone := status == http.StatusMisdirectedRequest
				is.Equal(picker.results[0].Leaving, gone)
				is.Equal(picker.results[0].Kind == health.Cancelled, gone)
			})
		}
	}
}

// A request that may run twice got a server's own failure though sound servers were free, because
// the budget was empty at that moment.
func TestServersFailureIsNotTheLastWordWhileThereIsTime(t *testing.T) {
	is := is.New(t)
	failing := startServer(t, "b1", func(conn *net.TCPConn, _ *http.Request) {
		io.WriteString(conn, strings.Replace(keepAliveResponse("one", "failed"), "200", "500", 1))
	})
	sound := startServer(t, "b2", func(conn *net.TCPConn, _ *http.Request) { io.WriteString(conn, keepAliveResponse("one", "sound")) })
	picker := &refusingPicker{sequentialPicker: sequentialPicker{targets: []fleet.Target{failing, sound}}, refusals: 2}
	server := serve(t, picker, keepAliveOptions()...)
	response := send(t, http.MethodGet, server.URL+"/read/1", nil, http.Header{idHeader: {"one"}})
	is.Equal(response.StatusCode, http.StatusOK)
}
