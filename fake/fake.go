// Package fake implements a backend server for tests: it announces itself, limits
// concurrent requests, reports its load and injects faults. It counts the runs of
// each request, so that tests can check that none ran twice.
//
// # Usage
//
//	s, err := fake.New(fake.Name("b1"), fake.Pool("loan-desk"), fake.AnnounceURLs(urls...))
//	defer s.Stop()
//	s.SetFault(fake.Fault{ErrorRate: 0.2})
package fake

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// RequestIDHeader carries the ID by which the runs of a request are counted.
const RequestIDHeader = "X-Request-Id"

// Headers between entries and backend servers.
const (
	shedHeader      = "Dottereldeal-Shed"
	loadHeader      = "Dottereldeal-Load"
	phaseHeader     = "Dottereldeal-Phase"
	leavingHeader   = "Dottereldeal-Leaving"
	deadlineHeader  = "Dottereldeal-Deadline-Ms"
	workspaceHeader = "Dottereldeal-Workspace"
)

// Fault describes the faults that a server injects. The zero value injects none.
type Fault struct {
	// ErrorRate is the fraction of requests answered with status 500.
	ErrorRate float64
	// SlowFactor multiplies the service time, if above 1.
	SlowFactor float64
	// SlowRate is the fraction of requests that SlowFactor applies to; 0 means all.
	SlowRate float64
	// Hang accepts requests and never answers.
	Hang bool
	// TruncateRate is the fraction of responses cut off after half of the body.
	TruncateRate float64
	// Refuse closes connections at once.
	Refuse bool
	// Leaving is what responses say about whether the server leaves, if not empty.
	Leaving string
	// Another answers as another server that has taken over the address.
	Another bool
	// CrashPath ends the server when a request with this path has begun to run.
	CrashPath string
	// From limits the fault to requests from these entries; empty means all.
	From []string
}

// Server is a running fake backend server.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	slots    chan struct{}
	boot     uint64

	fault         atomic.Pointer[Fault]
	phase         atomic.Pointer[string]
	reportedPhase atomic.Pointer[string]
	sequence      atomic.Uint64
	active        atomic.Int64
	maxActive     atomic.Int64
	runCount      atomic.Uint64
	leakedKeys    atomic.Uint64
	crashed       atomic.Bool
	// arrivals counts requests, and connections that a fault refused.
	arrivals atomic.Uint64

	mu           sync.Mutex
	runs         map[string]int
	arrivalTimes map[string][]time.Time
}

// New starts a server on a loopback port.
func New(opts ...Option) (*Server, error) {
	o := newOptions(opts...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: o, listener: listener, ctx: ctx, cancel: cancel,
		client:       &http.Client{Timeout: time.Second},
		slots:        make(chan struct{}, o.Slots),
		boot:         uint64(time.Now().UnixNano()),
		runs:         make(map[string]int),
		arrivalTimes: make(map[string][]time.Time),
	}
	s.SetFault(Fault{})
	s.SetPhase(o.Phase)
	s.http = &http.Server{Handler: s}
	s.group.Go(func() { s.http.Serve(&faultyListener{listener, s}) })
	s.group.Go(s.announceLoop)
	return s, nil
}

// Addr returns the address on which requests are served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Name returns the announced name.
func (s *Server) Name() string { return s.options.Name }

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

// SetPhase sets the announced phase and announces it at once.
func (s *Server) SetPhase(phase string) {
	s.phase.Store(&phase)
	s.reportedPhase.Store(&phase)
	go s.announce()
}

// SetReportedPhase changes the phase in responses, but not the announced one.
func (s *Server) SetReportedPhase(phase string) { s.reportedPhase.Store(&phase) }

// ResetMaxActive resets the highest number of concurrent requests.
func (s *Server) ResetMaxActive() { s.maxActive.Store(0) }

// RunCount returns the number of requests that have run.
func (s *Server) RunCount() uint64 { return s.runCount.Load() }

// LeakedKeys returns the number of requests that carried a caller's key.
func (s *Server) LeakedKeys() uint64 { return s.leakedKeys.Load() }

// MaxActive returns the highest number of concurrent requests.
func (s *Server) MaxActive() int64 { return s.maxActive.Load() }

// RunsByID returns the number of runs of each request ID.
func (s *Server) RunsByID() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

// Arrivals returns the number of requests and refused connections so far.
func (s *Server) Arrivals() uint64 { return s.arrivals.Load() }

// maxArrivalTimes limits the arrival times kept for one workspace.
const maxArrivalTimes = 100_000

// ArrivalTimes returns the times at which a workspace's requests arrived.
func (s *Server) ArrivalTimes(workspace string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivalTimes[workspace]...)
}

// recordArrival records the arrival of a workspace's request.
func (s *Server) recordArrival(workspace string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.arrivalTimes[workspace]) < maxArrivalTimes {
		s.arrivalTimes[workspace] = append(s.arrivalTimes[workspace], now)
	}
}

// crash ends the server like a process that crashes: all connections break.
func (s *Server) crash() {
	s.crashed.Store(true)
	s.cancel()
	s.http.Close()
	panic(http.ErrAbortHandler)
}

// Crashed reports whether a request has ended the server.
func (s *Server) Crashed() bool { return s.crashed.Load() }

// Stop closes the server without draining requests.
func (s *Server) Stop() {
	s.cancel()
	s.http.Close()
	s.group.Wait()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Write([]byte("ok\n"))
		return
	}
	s.arrivals.Add(1)
	s.recordArrival(r.Header.Get(workspaceHeader))
	s.checkLeakedKeys(r)
	if s.fault.Load().Another {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream") {
		s.stream(w, r)
		return
	}
	active := s.active.Add(1)
	defer s.active.Add(-1)
	if active > int64(s.options.Slots+s.options.Queue) {
		w.Header().Set(shedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.acquireSlot(r) {
		w.Header().Set(shedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, body)
}

// acquireSlot waits for a free slot as long as the request's deadline allows.
func (s *Server) acquireSlot(r *http.Request) bool {
	limit := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get(deadlineHeader)); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

// checkLeakedKeys counts a request that carries a key which the entry should have removed.
func (s *Server) checkLeakedKeys(r *http.Request) {
	for _, key := range s.options.CallerKeys {
		for _, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), key) {
				s.leakedKeys.Add(1)
				return
			}
		}
		if strings.Contains(r.RequestURI, key) {
			s.leakedKeys.Add(1)
			return
		}
	}
}

// run handles a request that holds a slot.
func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	s.recordRun(r.Header.Get(RequestIDHeader))
	fault := s.fault.Load()
	if fault.CrashPath != "" && r.URL.Path == fault.CrashPath {
		s.crash()
	}
	if fault.Hang {
		select {
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		return
	}
	if !s.waitServiceTime(r, s.serviceTime(fault)) {
		return
	}
	w.Header().Set(loadHeader, strconv.FormatFloat(s.load(), 'f', 2, 64))
	w.Header().Set(phaseHeader, *s.reportedPhase.Load())
	if fault.Leaving != "" {
		w.Header().Set(leavingHeader, fault.Leaving)
	}
	if rand.Float64() < fault.ErrorRate {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.reply(w, r, body, rand.Float64() < fault.TruncateRate)
}

func (s *Server) load() float64 { return float64(len(s.slots)) / float64(s.options.Slots) }

func (s *Server) recordRun(id string) {
	s.runCount.Add(1)
	active := int64(len(s.slots))
	for {
		highest := s.maxActive.Load()
		if active <= highest || s.maxActive.CompareAndSwap(highest, active) {
			break
		}
	}
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (s *Server) serviceTime(f *Fault) time.Duration {
	d := s.options.ServiceTime()
	if f.SlowFactor > 1 && (f.SlowRate == 0 || rand.Float64() < f.SlowRate) {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

// waitServiceTime waits for the service time and reports whether neither the client nor the
// server has gone away.
func (s *Server) waitServiceTime(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// reply sends a body that is derived from the request, optionally cut off half-way.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte, truncate bool) {
	content := ResponseBody(r.Header.Get(RequestIDHeader), r.Method, r.URL.Path, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if !truncate {
		io.WriteString(w, content)
		return
	}
	io.WriteString(w, content[:len(content)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// streamInterval is the time between two chunks of a streaming response.
const streamInterval = 20 * time.Millisecond

// stream sends chunks until the client disconnects or the server stops.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	for s.waitServiceTime(r, streamInterval) {
		io.WriteString(w, "part of a long answer\n")
		control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// ResponseBody returns the response body for a request.
func ResponseBody(id, method, path string, body []byte) string {
	sum := sha256.New()
	io.WriteString(sum, id+"\n"+method+"\n"+path+"\n")
	sum.Write(body)
	return "request " + id + " sum " + hex.EncodeToString(sum.Sum(nil)) + "\n"
}

// faultyListener closes accepted connections while Fault.Refuse is set.
type faultyListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.server.fault.Load().Refuse {
			return conn, nil
		}
		l.server.arrivals.Add(1)
		conn.Close()
	}
}

// DataCentre returns the announced data centre.
func (s *Server) DataCentre() string { return s.options.DataCentre }
