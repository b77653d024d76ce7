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

// fixedPicker takes targets in turn and never ejects.
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

// openLimiter admits everything.
type openLimiter struct{}

func (openLimiter) Admit(context.Context, *state.Workspace) limit.Admission {
	return limit.Admission{OK: true}
}
func (openLimiter) String() string { return "open" }

func view(t testing.TB) *proxy.Config {
	t.Helper()
	s, problems := state.State{}.WithChange(state.Change{Index: 1, Number: 1, Set: []state.Object{
		state.Pool{Name: "p"},
		state.Workspace{Name: "east", Rate: 1, Burst: 1, KeyDigests: []state.Digest{state.DigestOf(secret)}},
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
	v := view(t)
	opts = append([]proxy.Option{
		proxy.ConfigFunc(func() *proxy.Config { return v }), proxy.Limiter(openLimiter{}), proxy.Picker(p),
	}, opts...)
	server := httptest.NewServer(proxy.New(opts...))
	t.Cleanup(server.Close)
	return server
}

func ask(t testing.TB, method, url string, body io.Reader, header http.Header) *http.Response {
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

// cutter is a raw backend server that resets every connection after some bytes.
type cutter struct {
	listener net.Listener
	after    int
	// reached counts connections on which a part of a request arrived.
	reached atomic.Int64
}

func startCutter(t *testing.T, after int) *cutter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cutter{listener: l, after: after}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.cut(conn.(*net.TCPConn))
		}
	}()
	return c
}

func (c *cutter) cut(conn *net.TCPConn) {
	if c.after > 0 {
		n, _ := io.ReadFull(conn, make([]byte, c.after))
		if n > 0 {
			c.reached.Add(1)
		}
	}
	conn.SetLinger(0)
	conn.Close()
}

func (c *cutter) target(name string) fleet.Target {
	return fleet.Target{Name: name, Pool: "p", Addr: c.listener.Addr().String(), Slots: 4}
}

// TestOnceAtMostWithResetsAtEveryByte resets the connection after every number
// of bytes of a request that must not run twice.
func TestOnceAtMostWithResetsAtEveryByte(t *testing.T) {
	for after := 0; after < 420; after += 3 {
		one, two := startCutter(t, after), startCutter(t, after)
		server := serve(t, &fixedPicker{targets: []fleet.Target{one.target("b1"), two.target("b2")}})
		header := http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}
		response := ask(t, http.MethodPost, server.URL+"/once/1", strings.NewReader("sign this"), header)
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

// TestOutcomesAreTrue sends many requests while backend servers fail at random,
// and compares every outcome with the stand-ins' own count of runs.
func TestOutcomesAreTrue(t *testing.T) {
	const requests, workers, servers = 6000, 32, 5
	var targets []fleet.Target
	var fakes []*fake.Server
	for i := range servers {
		f, err := fake.New(fake.Slots(4, 4), fake.Service(func() time.Duration { return 300 * time.Microsecond }), fake.Keys(secret))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Stop)
		fakes = append(fakes, f)
		targets = append(targets, fleet.Target{Name: fmt.Sprint("b", i), Pool: "p", Addr: f.Addr(), Slots: 4, Connections: 350})
	}
	server := serve(t, &fixedPicker{targets: targets, hedge: 3 * time.Millisecond})
	quit := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { shakeUp(fakes, quit) })

	var ids atomic.Int64
	var mu sync.Mutex
	outcomes := make(map[string]string)
	var group sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for range workers {
		group.Go(func() {
			for n := ids.Add(1); n <= requests; n = ids.Add(1) {
				id, outcome := oneRequest(client, server.URL, n)
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
			}
		})
	}
	group.Wait()
	close(quit)
	faults.Wait()
	checkOutcomes(t, fakes, outcomes)
}

// shakeUp changes the stand-ins' faults at random.
func shakeUp(fakes []*fake.Server, quit chan struct{}) {
	random := rand.New(rand.NewPCG(1, 2))
	faults := []fake.Fault{
		{}, {}, {ErrorShare: 0.5}, {TornShare: 0.5}, {Refuse: true}, {SlowFactor: 30}, {Hang: true},
	}
	for {
		select {
		case <-quit:
			return
		case <-time.After(20 * time.Millisecond):
			fakes[random.IntN(len(fakes))].SetFault(faults[random.IntN(len(faults))])
		}
	}
}

// oneRequest sends a request and returns how it ended: "whole", "torn" or an outcome.
func oneRequest(client *http.Client, base string, n int64) (id, outcome string) {
	method, path := http.MethodGet, "/read/1"
	id = fmt.Sprint("read-", n)
	var body []byte
	if n%2 == 0 {
		method, path, id = http.MethodPost, "/once/1", fmt.Sprint("once-", n)
		body = []byte(id)
	}
	request, _ := http.NewRequest(method, base+path, bytes.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(fake.IDHeader, id)
	response, err := client.Do(request)
	if err != nil {
		return id, "torn"
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return id, "torn"
	case response.StatusCode == http.StatusOK && string(got) == fake.Answer(id, method, path, body):
		return id, "whole"
	case response.StatusCode == http.StatusOK:
		return id, "wrong"
	case response.Header.Get(proxy.OutcomeHeader) == "":
		return id, "server error"
	default:
		return id, response.Header.Get(proxy.OutcomeHeader)
	}
}

func checkOutcomes(t *testing.T, fakes []*fake.Server, outcomes map[string]string) {
	t.Helper()
	runs, counts := make(map[string]int), make(map[string]int)
	for _, f := range fakes {
		if f.Leaks() > 0 {
			t.Error("a backend server saw the caller's key")
		}
		for id, n := range f.Runs() {
			runs[id] += n
		}
	}
	for id, outcome := range outcomes {
		counts[outcome]++
		switch {
		case outcome == "wrong":
			t.Errorf("%s got another request's answer or half of its own", id)
		case outcome == string(proxy.NotRun) && runs[id] > 0:
			t.Errorf("%s was said not to have run, and ran %d times", id, runs[id])
		case strings.HasPrefix(id, "once") && runs[id] > 1:
			t.Errorf("%s ran %d times", id, runs[id])
		}
	}
	t.Logf("%d requests ended as %v", len(outcomes), counts)
	if counts["whole"] == 0 || counts[string(proxy.NotRun)]+counts[string(proxy.Unknown)] == 0 {
		t.Error("the faults had no effect, or nothing worked")
	}
}

func TestKeysAreStripped(t *testing.T) {
	is := is.New(t)
	var seen *http.Request
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen = r }))
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
	response := ask(t, http.MethodGet, server.URL+"/read/1?a=1&api-key="+secret+"&b="+secret, nil, header)
	is.Equal(response.StatusCode, http.StatusOK)
	var dump bytes.Buffer
	seen.Header.Write(&dump)
	dump.WriteString(seen.RequestURI)
	is.True(!strings.Contains(dump.String(), secret))
	is.Equal(seen.RequestURI, "/read/1?a=1")
	is.Equal(seen.Header.Get("Cookie"), "a=1; b=2")
	is.Equal(seen.Header.Get("X-Hop"), "")
	is.Equal(seen.Header.Get("Proxy-Authorization"), "")
	is.Equal(seen.Header.Get(proxy.WorkspaceHeader), "east")
	is.True(seen.Header.Get(proxy.DeadlineHeader) != "")
}

func TestOddRequestsAreRefused(t *testing.T) {
	server := serve(t, &fixedPicker{})
	for text, want := range map[string]string{
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
		go io.WriteString(conn, text)
		line := make([]byte, 12)
		io.ReadFull(conn, line)
		conn.Close()
		if got := string(line[9:]); got != want {
			t.Errorf("%.60q answered %s, not %s", text, got, want)
		}
	}
}

// TestLargeBodiesStream sends 64 MiB up and down through one entry.
func TestLargeBodiesStream(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		io.Copy(w, r.Body)
	}))
	defer backend.Close()
	target := fleet.Target{Name: "b", Addr: backend.Listener.Addr().String()}
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}})
	response := ask(t, http.MethodPost, server.URL+"/once/1", io.LimitReader(rand.NewChaCha8([32]byte{}), size), nil)
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(n, int64(size))
}

// TestRetriesStayInsideTheirBudget fails every request of an idempotent route.
func TestRetriesStayInsideTheirBudget(t *testing.T) {
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
		response := ask(t, http.MethodGet, server.URL+"/read/1", nil, nil)
		response.Body.Close()
	}
	is.True(arrivals.Load() <= requests*11/10)
}

func BenchmarkHandler(b *testing.B) {
	body := strings.Repeat("x", 1024)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	defer backend.Close()
	target := fleet.Target{Name: "b", Addr: backend.Listener.Addr().String()}
	v := view(b)
	handler := proxy.New(
		proxy.ConfigFunc(func() *proxy.Config { return v }), proxy.Limiter(openLimiter{}),
		proxy.Picker(&fixedPicker{targets: []fleet.Target{target}}),
	)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/read/1", nil)
		request.Header.Set("Authorization", "Bearer "+secret)
		handler.ServeHTTP(httptest.NewRecorder(), request)
	}
}

// BenchmarkBareCopy is a plain net/http handler that fetches the same bytes.
func BenchmarkBareCopy(b *testing.B) {
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
