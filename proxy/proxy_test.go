package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/state"
)

const secret = "the-callers-key"

// fixedPicker returns its targets in turn and never ejects one.
type fixedPicker struct {
	targets []fleet.Target
	next    atomic.Uint64
	hedge   time.Duration
	results sync.Map
}

func (p *fixedPicker) Pick(_ context.Context, _ string, r pick.Request) (pick.Choice, error) {
	for range p.targets {
		t := p.targets[int(p.next.Add(1))%len(p.targets)]
		if !strings.Contains(strings.Join(r.Avoid, ","), t.Name) {
			return pick.Choice{Target: t, Done: func(res health.Result) { p.results.Store(res.Kind, true) }}, nil
		}
	}
	return pick.Choice{}, pick.ErrNoServer
}

func (p *fixedPicker) HedgeDelay(string) time.Duration { return p.hedge }
func (p *fixedPicker) String() string                  { return "fixed" }

// openLimiter admits all requests.
type openLimiter struct{}

func (openLimiter) Admit(context.Context, *state.Workspace) limit.Admission {
	return limit.Admission{OK: true}
}
func (openLimiter) String() string { return "open" }

func newConfig(t testing.TB) *proxy.Config {
	t.Helper()
	s, problems := state.State{}.WithChange(state.Change{Index: 1, TicketNumber: 1, Set: []state.Object{
		state.Pool{Name: "p"},
		state.Workspace{Name: "east", Rate: 1, Burst: 1, KeyDigests: []state.KeyDigest{state.HashKey(secret)}},
		state.Route{Name: "once", PathPrefix: "/once/", Pool: "p", Deadline: state.Duration(400 * time.Millisecond)},
		state.Route{Name: "read", PathPrefix: "/read/", Pool: "p", Idempotent: true, Deadline: state.Duration(time.Second)},
	}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return proxy.NewConfig(s)
}

func serve(t testing.TB, p pick.Picker, opts ...proxy.Option) *httptest.Server {
	t.Helper()
	config := newConfig(t)
	opts = append([]proxy.Option{
		proxy.ConfigFunc(func() *proxy.Config { return config }), proxy.Limiter(openLimiter{}), proxy.Picker(p),
	}, opts...)
	server := httptest.NewServer(proxy.New(opts...))
	t.Cleanup(server.Close)
	return server
}

func send(t testing.TB, method, url string, body io.Reader, header http.Header) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if request.Header.Get("Authorization") == "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// resettingServer is a raw backend server that resets every connection after a number of
// bytes.
type resettingServer struct {
	listener net.Listener
	after    int
	// reached counts the connections on which any part of a request arrived.
	reached atomic.Int64
}

func startResettingServer(t *testing.T, after int) *resettingServer {
	t.Helper()
	s := &resettingServer{after: after}
	s.listener = acceptRaw(t, s.serve)
	return s
}

// acceptRaw listens until the test ends and serves every connection by itself.
func acceptRaw(t testing.TB, serve func(*net.TCPConn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l
}

func (s *resettingServer) serve(conn *net.TCPConn) {
	if s.after > 0 {
		n, _ := io.ReadFull(conn, make([]byte, s.after))
		if n > 0 {
			s.reached.Add(1)
		}
	}
	conn.SetLinger(0)
	conn.Close()
}

func (s *resettingServer) target(name string) fleet.Target {
	return fleet.Target{Name: name, Pool: "p", Addr: s.listener.Addr().String(), Slots: 4}
}

// A backend server may reset a connection after any number of bytes of a request. A
// non-idempotent request must reach at most one backend server, and its outcome must not
// be not-run if any byte arrived.
func TestConnectionResetAtEveryByte(t *testing.T) {
	for after := 0; after < 420; after += 3 {
		one, two := startResettingServer(t, after), startResettingServer(t, after)
		server := serve(t, &fixedPicker{targets: []fleet.Target{one.target("b1"), two.target("b2")}})
		header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
		response := send(t, http.MethodPost, server.URL+"/once/1", strings.NewReader("sign this"), header)
		reached := one.reached.Load() + two.reached.Load()
		if reached > 1 {
			t.Fatalf("reset after %d bytes: %d backend servers were reached", after, reached)
		}
		outcome := response.Header.Get(proxy.OutcomeHeader)
		if response.StatusCode < 500 || outcome == "" || outcome == string(proxy.NotRun) && reached > 0 {
			t.Fatalf("reset after %d bytes: status %d, outcome %q, %d reached", after, response.StatusCode, outcome, reached)
		}
	}
}

// TestOutcomesMatchExecutions sends requests while the fake backend servers fail at random,
// and compares every outcome with the number of times that the servers ran the request.
func TestOutcomesMatchExecutions(t *testing.T) {
	const requests, workers, servers = 6000, 32, 5
	var targets []fleet.Target
	var backends []*fake.Server
	for i := range servers {
		backend, err := fake.New(fake.Slots(4, 4), fake.ServiceTime(func() time.Duration { return 300 * time.Microsecond }), fake.CallerKeys(secret))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(backend.Stop)
		backends = append(backends, backend)
		targets = append(targets, fleet.Target{Name: fmt.Sprint("b", i), Pool: "p", Addr: backend.Addr(), Slots: 4, Connections: 350})
	}
	server := serve(t, &fixedPicker{targets: targets, hedge: 3 * time.Millisecond})
	quit := make(chan struct{})
	var injector sync.WaitGroup
	injector.Go(func() { injectFaults(backends, quit) })

	var ids atomic.Int64
	var mu sync.Mutex
	outcomes := make(map[string]string)
	var senders sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for range workers {
		senders.Go(func() {
			for n := ids.Add(1); n <= requests; n = ids.Add(1) {
				id, outcome := sendRequest(client, server.URL, n)
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	close(quit)
	injector.Wait()
	checkOutcomes(t, backends, outcomes)
}

// injectFaults changes the faults of the fake backend servers at random.
func injectFaults(backends []*fake.Server, quit chan struct{}) {
	random := rand.New(rand.NewPCG(1, 2))
	faults := []fake.Fault{
		{}, {}, {ErrorRate: 0.5}, {TruncateRate: 0.5}, {Refuse: true}, {SlowFactor: 30}, {Hang: true},
	}
	for {
		select {
		case <-quit:
			return
		case <-time.After(20 * time.Millisecond):
			backends[random.IntN(len(backends))].SetFault(faults[random.IntN(len(faults))])
		}
	}
}

// sendRequest sends a request and returns its result: "complete", "truncated", "wrong",
// "server error" or an outcome.
func sendRequest(client *http.Client, base string, n int64) (id, outcome string) {
	method, path := http.MethodGet, "/read/1"
	id = fmt.Sprint("read-", n)
	var body []byte
	if n%2 == 0 {
		method, path, id = http.MethodPost, "/once/1", fmt.Sprint("once-", n)
		body = []byte(id)
	}
	request, _ := http.NewRequest(method, base+path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(fake.RequestIDHeader, id)
	response, err := client.Do(request)
	if err != nil {
		return id, "truncated"
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return id, "truncated"
	case response.StatusCode == http.StatusOK && string(got) == fake.ResponseBody(id, method, path, body):
		return id, "complete"
	case response.StatusCode == http.StatusOK:
		return id, "wrong"
	case response.Header.Get(proxy.OutcomeHeader) == "":
		return id, "server error"
	default:
		return id, response.Header.Get(proxy.OutcomeHeader)
	}
}

func checkOutcomes(t *testing.T, backends []*fake.Server, outcomes map[string]string) {
	t.Helper()
	runs, counts := make(map[string]int), make(map[string]int)
	for _, backend := range backends {
		if backend.LeakedKeys() > 0 {
			t.Error("a backend server saw the caller's key")
		}
		for id, n := range backend.RunsByID() {
			runs[id] += n
		}
	}
	for id, outcome := range outcomes {
		counts[outcome]++
		switch {
		case outcome == "wrong":
			t.Errorf("%s got the response to another request or an incomplete one", id)
		case outcome == string(proxy.NotRun) && runs[id] > 0:
			t.Errorf("%s has the outcome not-run but ran %d times", id, runs[id])
		case strings.HasPrefix(id, "once") && runs[id] > 1:
			t.Errorf("%s ran %d times", id, runs[id])
		}
	}
	t.Logf("%d requests ended as %v", len(outcomes), counts)
	if counts["complete"] == 0 || counts[string(proxy.NotRun)]+counts[string(proxy.Unknown)] == 0 {
		t.Error("no request was refused, or none was successful")
	}
}

func TestKeysAreRemoved(t *testing.T) {
	is := is.New(t)
	var received *http.Request
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received = r }))
	defer backend.Close()
	target := fleet.Target{Name: "b", Addr: backend.Listener.Addr().String()}
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, proxy.KeyQuery("api-key"), proxy.KeyCookie("session"))
	header := http.Header{
		"Proxy-Authorization":    {"Basic x"},
		"X-Copy":                 {"my key is " + secret},
		"Cookie":                 {"a=1; session=" + secret + "; b=2"},
		"Connection":             {"X-Hop"},
		"X-Hop":                  {"1"},
		"Dottereldeal-Workspace": {"west"},
	}
	response := send(t, http.MethodGet, server.URL+"/read/1?a=1&api-key="+secret+"&b="+secret, nil, header)
	is.Equal(response.StatusCode, http.StatusOK)
	var dump bytes.Buffer
	received.Header.Write(&dump)
	dump.WriteString(received.RequestURI)
	is.True(!strings.Contains(dump.String(), secret))
	is.Equal(received.RequestURI, "/read/1?a=1")
	is.Equal(received.Header.Get("Cookie"), "a=1; b=2")
	is.Equal(received.Header.Get("X-Hop"), "")
	is.Equal(received.Header.Get("Proxy-Authorization"), "")
	is.Equal(received.Header.Get(proxy.WorkspaceHeader), "east")
	is.True(received.Header.Get(proxy.DeadlineHeader) != "")
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	server := serve(t, &fixedPicker{})
	for request, want := range map[string]string{
		"GET /read/../once/1 HTTP/1.1\r\nHost: x\r\n\r\n":                                              "400",
		"GET /read/%2e%2e/once/1 HTTP/1.1\r\nHost: x\r\n\r\n":                                          "400",
		"POST /once/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc":        "400",
		"POST /once/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n":    "501",
		"POST /once/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n":             "400",
		"GET /read/1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n":                                           "400",
		"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n":                                                      "405",
		"GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Big: " + strings.Repeat("a", 2<<20) + "\r\n\r\n":         "431",
		"GET /read/" + secret + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secret + "\r\n\r\n": "400",
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		go io.WriteString(conn, request)
		line := make([]byte, 12)
		io.ReadFull(conn, line)
		conn.Close()
		if got := string(line[9:]); got != want {
			t.Errorf("%.60q answered %s, not %s", request, got, want)
		}
	}
}

// TestLargeBodiesAreStreamed sends 64 MiB in both directions at the same time.
func TestLargeBodiesAreStreamed(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		io.Copy(w, r.Body)
	}))
	defer backend.Close()
	target := fleet.Target{Name: "b", Addr: backend.Listener.Addr().String()}
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}})
	response := send(t, http.MethodPost, server.URL+"/once/1", io.LimitReader(rand.NewChaCha8([32]byte{}), size), nil)
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
}

// TestRetriesStayWithinTheBudget sends requests of an idempotent route to backend servers
// that always fail. Retries may add at most 10%.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	var arrivals atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer backend.Close()
	addr := backend.Listener.Addr().String()
	server := serve(t, &fixedPicker{targets: []fleet.Target{{Name: "b1", Addr: addr}, {Name: "b2", Addr: addr}, {Name: "b3", Addr: addr}}})
	const requests = 1000
	for range requests {
		response := send(t, http.MethodGet, server.URL+"/read/1", nil, nil)
		response.Body.Close()
	}
	is.True(arrivals.Load() <= requests*11/10)
}

func BenchmarkHandler(b *testing.B) {
	body := strings.Repeat("x", 1024)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	defer backend.Close()
	target := fleet.Target{Name: "b", Addr: backend.Listener.Addr().String()}
	config := newConfig(b)
	handler := proxy.New(
		proxy.ConfigFunc(func() *proxy.Config { return config }), proxy.Limiter(openLimiter{}),
		proxy.Picker(&fixedPicker{targets: []fleet.Target{target}}),
	)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/read/1", nil)
		request.Header.Set("Authorization", "Bearer "+secret)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
}

// BenchmarkPlainHandler measures a minimal net/http handler as the baseline for
// BenchmarkHandler.
func BenchmarkPlainHandler(b *testing.B) {
	body := strings.Repeat("x", 1024)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	defer backend.Close()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, _ := http.NewRequestWithContext(r.Context(), r.Method, backend.URL+r.URL.Path, nil)
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			b.Fatal(err)
		}
		defer response.Body.Close()
		io.Copy(w, response.Body)
	})
	b.ReportAllocs()
	for b.Loop() {
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/read/1", nil))
	}
}

// A server may name anything as its limit. What is no rate must neither bind nor end a limit.
func TestInvalidLimitOfABackendServerIsIgnored(t *testing.T) {
	headers := proxy.DefaultHeaders()
	headers.Limit = "X-Limit"
	limits := map[string]health.Limit{
		"2.5": {Stated: health.LimitNamed, PerSecond: 2.5}, "0": {Stated: health.LimitNamed}, "": {},
		"-1": {}, "many": {}, "NaN": {}, "+Inf": {}, "1,2": {},
	}
	for text, want := range limits {
		is := is.New(t)
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Limit", text) }))
		results := make(chan health.Result, 1)
		picker := pickerFunc(func() pick.Choice {
			return pick.Choice{Target: fleet.Target{Name: "b1", Addr: backend.Listener.Addr().String()}, Done: func(r health.Result) { results <- r }}
		})
		send(t, http.MethodGet, serve(t, picker, proxy.HeaderNames(headers)).URL+"/read/1", nil, nil)
		is.Equal((<-results).Limit, want) // limit
		backend.Close()
	}
}

// pickerFunc is a picker that does not fail.
type pickerFunc func() pick.Choice

func (f pickerFunc) Pick(context.Context, string, pick.Request) (pick.Choice, error) { return f(), nil }
func (f pickerFunc) HedgeDelay(string) time.Duration                                 { return 0 }
func (f pickerFunc) String() string                                                  { return "func" }

// A backend server says by the value 1 that it leaves. Anything else says nothing.
func TestOnlyAClearStatementThatAServerLeavesCounts(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]bool{"1": true, "0": false, "true": false, "": false, "1, 1": false} {
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(proxy.LeavingHeader, text)
		}))
		defer backend.Close()
		results := make(chan health.Result, 1)
		picker := pickerFunc(func() pick.Choice {
			return pick.Choice{Target: fleet.Target{Name: "b1", Addr: backend.Listener.Addr().String()}, Done: func(r health.Result) { results <- r }}
		})
		is.Equal(send(t, http.MethodGet, serve(t, picker).URL+"/read/1", nil, nil).StatusCode, http.StatusOK)
		is.Equal((<-results).Leaving, want) // leaving
	}
}

// A refusal of a backend server may name a pause, in seconds or as a date. What is no time says
// nothing, and an endless one is bounded.
func TestPauseOfARefusalIsReadAndBounded(t *testing.T) {
	is := is.New(t)
	soon := time.Now().Add(30 * time.Second).UTC().Format(http.TimeFormat)
	for text, want := range map[string][2]time.Duration{
		"2": {2 * time.Second, 2 * time.Second}, "0.25": {250 * time.Millisecond, 250 * time.Millisecond}, "": {}, "-1": {}, "soon": {}, "NaN": {}, "0": {},
		"1e300": {10 * time.Minute, 10 * time.Minute}, "Inf": {10 * time.Minute, 10 * time.Minute}, soon: {20 * time.Second, 30 * time.Second},
		"Mon, 02 Jan 2006 15:04:05 GMT": {},
	} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if text != "" {
					w.Header().Set("Retry-After", text)
				}
				w.Header().Set(proxy.ShedHeader, "1")
				w.WriteHeader(status)
			}))
			defer backend.Close()
			results := make(chan health.Result, 8)
			picker := pickerFunc(func() pick.Choice {
				return pick.Choice{Target: fleet.Target{Name: "b1", Addr: backend.Listener.Addr().String()}, Done: func(r health.Result) { results <- r }}
			})
			send(t, http.MethodPost, serve(t, picker).URL+"/once/1", nil, nil)
			got := (<-results).Pause
			if status != http.StatusServiceUnavailable {
				is.Equal(got, time.Duration(0)) // only a 503 names a pause
				continue
			}
			is.True(got >= want[0] && got <= want[1])
		}
	}
}
