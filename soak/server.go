package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/platform/caller"
)

const (
	heartbeatPeriod = 1500 * time.Millisecond
	callTimeout     = time.Second
	serverSlots     = 16
	serviceTime     = 5 * time.Millisecond
)

// server is a stand-in backend server that registers itself.
type server struct {
	id, pool, centre string
	addr             string
	fleet            *fleet
	record           *recorder
	http             *http.Server
	born             int64
	count            int
	answers          atomic.Int64
	log              func(format string, args ...any)
}

func startServer(ctx context.Context, id, pool, centre string, f *fleet, r *recorder, group *sync.WaitGroup, log func(format string, args ...any)) (*server, error) {
	l, err := net.Listen("tcp", f.base+".1.200:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, pool: pool, centre: centre, addr: l.Addr().String(), fleet: f, record: r, born: time.Now().UnixMilli(), log: log}
	s.http = &http.Server{Handler: s}
	group.Go(func() { s.http.Serve(l) })
	group.Go(func() {
		<-ctx.Done()
		s.http.Close()
	})
	group.Go(func() { s.register(ctx) })
	return s, nil
}

func (s *server) register(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		s.count++
		body, err := caller.Heartbeat(caller.Server{
			Addr: s.addr, Born: s.born, Pool: s.pool, Centre: s.centre, Slots: serverSlots, Count: s.count,
		})
		if err != nil {
			s.log("heartbeat of %s: %s", s.id, err)
			return
		}
		nodes := s.fleet.platformAddrs()
		rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		for _, node := range nodes {
			if status, err := post(ctx, node, caller.Register+s.id, body); err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// maxRedirects is the number of redirects that callers of control follow.
const maxRedirects = 2

// post makes a call, each on a connection of its own that is closed after a second, and follows
// redirects.
func post(ctx context.Context, node, path string, body []byte) (status int, err error) {
	url := "http://" + node + path
	for range maxRedirects + 1 {
		var location string
		if status, location, err = postOnce(ctx, url, body); err != nil || status != http.StatusTemporaryRedirect {
			break
		}
		url = location
	}
	return status, err
}

func postOnce(ctx context.Context, url string, body []byte) (status int, location string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	response, err := callTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Location"), err
}

var callTransport = &http.Transport{DisableKeepAlives: true}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(caller.Instance, s.id)
		return
	}
	if expected := r.Header.Get(caller.Expected); expected != "" && expected != s.id {
		w.Header().Set(caller.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(caller.RequestID)
	body := fmt.Sprintf("%s by %s\n", id, s.id)
	odd := s.oddity(r)
	s.record.run(Arrival{ID: id, Server: s.id, Pool: s.pool, Centre: s.centre, At: time.Now(), Body: body, Odd: odd})
	if odd != "" {
		s.misbehave(w, odd, id, body)
		return
	}
	io.Copy(io.Discard, r.Body)
	time.Sleep(serviceTime)
	w.Header().Set(caller.RequestID, id)
	w.Header().Set(caller.Proof, "proof-"+id)
	io.WriteString(w, body)
}

// Oddity is something that is sent in place of an answer.
type Oddity string

const (
	// ResetUpload is a part of an answer without a length, and a reset while the upload is written.
	ResetUpload Oddity = "reset-upload"
	// StatusZero is an answer with the status 000.
	StatusZero Oddity = "status-zero"
	// BlankInName is a head in which the name of a field holds a blank.
	BlankInName Oddity = "blank-in-name"
	// OwnRefusal is a 503 of a server that has run the request.
	OwnRefusal Oddity = "own-refusal"
)

const (
	// oddEvery is the number of answers of a server of which one is odd, and half of those to
	// large uploads are: often enough for each oddity to show in a run of 30 seconds.
	oddEvery      = 40
	oddUpload     = 2
	resetDelay    = 20 * time.Millisecond
	largeUpload   = 2 << 20
	largeEvery    = 60
	answersPerOdd = 3
)

// oddity returns what to send in place of the answer, or "".
func (s *server) oddity(r *http.Request) Oddity {
	n := s.answers.Add(1)
	switch {
	case r.ContentLength == largeUpload && n%oddUpload == 0:
		return ResetUpload
	case n%oddEvery != 0:
		return ""
	}
	return [answersPerOdd]Oddity{StatusZero, BlankInName, OwnRefusal}[n/oddEvery%answersPerOdd]
}

func (s *server) misbehave(w http.ResponseWriter, odd Oddity, id, body string) {
	if odd == OwnRefusal {
		w.Header().Set(caller.RequestID, id)
		w.Header().Set(caller.Proof, "proof-"+id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log("odd answer of %s: %s", s.id, err)
		return
	}
	defer conn.Close()
	status, field := "200 OK", ""
	switch odd {
	case StatusZero:
		status = "000 OK"
	case BlankInName:
		field = "Odd Name: 1\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s%s: %s\r\n%s: proof-%s\r\n\r\n%s", status, field, caller.RequestID, id, caller.Proof, id, body[:len(body)/2])
	if tcp, ok := conn.(*net.TCPConn); ok && odd == ResetUpload {
		time.Sleep(resetDelay)
		tcp.SetLinger(0)
	}
}

// clients send requests to all entries.
type clients struct {
	fleet  *fleet
	record *recorder
	kept   *http.Transport
	fresh  *http.Transport
	count  atomic.Uint64
	// recent are the prefixes that clients ask for: all that are present, and the last that were
	// added and dropped.
	mu     sync.Mutex
	recent []Route
}

func newClients(f *fleet, r *recorder) *clients {
	return &clients{fleet: f, record: r, kept: &http.Transport{MaxIdleConnsPerHost: 8}, fresh: &http.Transport{DisableKeepAlives: true}}
}

// follow lets clients ask for the routes of a version, and go on asking for those that it drops.
func (c *clients) follow(routes []Route) {
	const keep = 24
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range routes {
		known := false
		for _, old := range c.recent {
			known = known || old.Prefix == r.Prefix
		}
		if !known {
			c.recent = append(c.recent, r)
		}
	}
	if n := len(c.recent) - keep; n > 0 {
		c.recent = append(c.recent[:steadyRoutes:steadyRoutes], c.recent[steadyRoutes+n:]...)
	}
}

const (
	clientTimeout = time.Second
	// maxPending bounds the requests of a client that wait for an entry that stands still.
	maxPending = 20
)

// ask sends requests to an entry until ctx is done.
func (c *clients) ask(ctx context.Context, p *process, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	pending := make(chan struct{}, maxPending)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case pending <- struct{}{}:
		default:
			continue
		}
		c.mu.Lock()
		route := c.recent[rand.IntN(len(c.recent))]
		c.mu.Unlock()
		group.Go(func() {
			c.send(p, route)
			<-pending
		})
	}
}

func (c *clients) send(p *process, route Route) {
	n := c.count.Add(1)
	q := Request{
		ID: fmt.Sprintf("%016x", n), Entry: p.vm, Prefix: route.Prefix, Idempotent: route.Idempotent, Kept: n%2 == 0,
	}
	method, body := http.MethodGet, io.Reader(nil)
	if !q.Idempotent {
		contract := []byte("contract " + q.ID)
		if n%largeEvery == 0 {
			contract = make([]byte, largeUpload)
		}
		method, body = http.MethodPost, bytes.NewReader(contract)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.addr(p, "callers")+route.Prefix+q.ID, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody, net/http does not send a request again by itself.
	request.GetBody = nil
	request.Host = "soak.example"
	request.Header.Set(caller.RequestID, q.ID)
	request.Header.Set(caller.Deadline, fmt.Sprint(clientTimeout.Milliseconds()))
	request.Header.Set("Authorization", caller.Authorization)
	transport := c.fresh
	if q.Kept {
		transport = c.kept
	}
	q.Sent = time.Now()
	response, err := transport.RoundTrip(request)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		response.Body.Close()
		if err == nil {
			q.Status, q.Body = response.StatusCode, string(answer)
		}
	}
	q.Done = time.Now()
	c.record.request(q)
}
