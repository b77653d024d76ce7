// Package fake is a stand-in for a backend server: it announces itself, has a
// number of slots, reports its load, and fails in the ways that a test asks
// for. It keeps its own count of runs, by which promises are checked.
//
// # Usage
//
//	s, err := fake.New(fake.Name("b1"), fake.Pool("loan-desk"), fake.Entries(urls...))
//	defer s.Stop()
//	s.SetFault(fake.Fault{ErrorShare: 0.2})
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

// RequestIDHeader names a request, so that its runs can be counted.
const RequestIDHeader = "X-Request-Id"

// Headers between entries and backend servers.
const (
	shedHeader      = "Dottereldeal-Shed"
	loadHeader      = "Dottereldeal-Load"
	phaseHeader     = "Dottereldeal-Phase"
	deadlineHeader  = "Dottereldeal-Deadline-Ms"
	workspaceHeader = "Dottereldeal-Workspace"
)

// Fault is how a stand-in fails. The zero value is healthy.
type Fault struct {
	// ErrorRate is the part of requests answered by 500.
	ErrorRate float64
	// SlowFactor multiplies the service time, if above 1.
	SlowFactor float64
	// SlowRate is the part of requests that SlowFactor applies to; 0 means all.
	SlowRate float64
	// Hang accepts requests and never answers.
	Hang bool
	// TruncateRate is the part of answers that break off half-way.
	TruncateRate float64
	// Refuse closes connections at once.
	Refuse bool
	// From limits the fault to requests from these entries; empty means all.
	From []string
}

// Server is one running stand-in.
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

	fault  atomic.Pointer[Fault]
	phase  atomic.Pointer[string]
	shown  atomic.Pointer[string]
	count  atomic.Uint64
	active atomic.Int64
	most   atomic.Int64
	total  atomic.Uint64
	leaks  atomic.Uint64
	// arrivals counts requests, and connections that a fault refused.
	arrivals atomic.Uint64

	mu     sync.Mutex
	runs   map[string]int
	stamps map[string][]time.Time
}

// New starts a stand-in on loopback.
func New(opts ...Option) (*Server, error) {
	o := newOptions(opts...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		options: o, listener: listener, ctx: ctx, cancel: cancel,
		client: &http.Client{Timeout: time.Second},
		slots:  make(chan struct{}, o.Slots),
		boot:   uint64(time.Now().UnixNano()),
		runs:   make(map[string]int),
		stamps: make(map[string][]time.Time),
	}
	s.SetFault(Fault{})
	s.SetPhase(o.Phase)
	s.http = &http.Server{Handler: s}
	s.group.Go(func() { s.http.Serve(&faultyListener{listener, s}) })
	s.group.Go(s.announceAll)
	return s, nil
}

// Addr returns the address on which requests are served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Name returns the name that the stand-in announces.
func (s *Server) Name() string { return s.options.Name }

// SetFault makes the stand-in fail, or heals it.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

// SetPhase sets the announced phase and announces it at once.
func (s *Server) SetPhase(phase string) {
	s.phase.Store(&phase)
	s.shown.Store(&phase)
	go s.announce()
}

// SetReportedPhase changes the phase that answers show, but not the announced one.
func (s *Server) SetReportedPhase(phase string) { s.shown.Store(&phase) }

// ResetMaxActive starts the count of requests at once anew.
func (s *Server) ResetMaxActive() { s.most.Store(0) }

// RunCount returns the number of runs.
func (s *Server) RunCount() uint64 { return s.total.Load() }

// LeakedKeys returns the number of requests that carried a caller's key.
func (s *Server) LeakedKeys() uint64 { return s.leaks.Load() }

// MaxActive returns the highest number of requests that ran at once.
func (s *Server) MaxActive() int64 { return s.most.Load() }

// RunsByID returns how often each request identity has run.
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

// maxStamps bounds the remembered instants of one workspace.
const maxStamps = 100_000

// ArrivalTimes returns the instants at which a workspace's requests arrived.
func (s *Server) ArrivalTimes(workspace string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.stamps[workspace]...)
}

// noteArrival remembers when a workspace's request arrived.
func (s *Server) noteArrival(workspace string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stamps[workspace]) < maxStamps {
		s.stamps[workspace] = append(s.stamps[workspace], now)
	}
}

// Stop ends the stand-in at once.
func (s *Server) Stop() {
	s.cancel()
	s.http.Close()
	s.group.Wait()
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Write([]byte("ok\n"))
		return
	}
	s.arrivals.Add(1)
	s.noteArrival(r.Header.Get(workspaceHeader))
	s.inspect(r)
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
	if !s.takeSlot(r) {
		w.Header().Set(shedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, body)
}

// takeSlot waits for a free slot as long as the request's deadline allows.
func (s *Server) takeSlot(r *http.Request) bool {
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

// inspect looks for keys that should have been stripped.
func (s *Server) inspect(r *http.Request) {
	for _, key := range s.options.CallerKeys {
		for _, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), key) {
				s.leaks.Add(1)
				return
			}
		}
		if strings.Contains(r.RequestURI, key) {
			s.leaks.Add(1)
			return
		}
	}
}

// run does the work of a request that holds a slot.
func (s *Server) run(w http.ResponseWriter, r *http.Request, body []byte) {
	s.noteRun(r.Header.Get(RequestIDHeader))
	fault := s.fault.Load()
	if fault.Hang {
		select {
		case <-r.Context().Done():
		case <-s.ctx.Done():
		}
		return
	}
	if !s.work(r, s.serviceTime(fault)) {
		return
	}
	w.Header().Set(loadHeader, strconv.FormatFloat(s.load(), 'f', 2, 64))
	w.Header().Set(phaseHeader, *s.shown.Load())
	if rand.Float64() < fault.ErrorRate {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.reply(w, r, body, rand.Float64() < fault.TruncateRate)
}

func (s *Server) load() float64 { return float64(len(s.slots)) / float64(s.options.Slots) }

func (s *Server) noteRun(id string) {
	s.total.Add(1)
	now := int64(len(s.slots))
	for {
		most := s.most.Load()
		if now <= most || s.most.CompareAndSwap(most, now) {
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

// work holds the slot for a time and reports whether the caller is still there.
func (s *Server) work(r *http.Request, d time.Duration) bool {
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

// reply answers with a body that only this request can have.
func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte, torn bool) {
	answer := ResponseBody(r.Header.Get(RequestIDHeader), r.Method, r.URL.Path, body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if !torn {
		io.WriteString(w, answer)
		return
	}
	io.WriteString(w, answer[:len(answer)/2])
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// streamPause is the time between two parts of a long answer.
const streamPause = 20 * time.Millisecond

// stream answers without end, until the caller goes.
func (s *Server) stream(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	for s.work(r, streamPause) {
		io.WriteString(w, "part of a long answer\n")
		control.Flush()
	}
	panic(http.ErrAbortHandler)
}

// ResponseBody returns the body that a stand-in gives to a request.
func ResponseBody(id, method, path string, body []byte) string {
	sum := sha256.New()
	io.WriteString(sum, id+"\n"+method+"\n"+path+"\n")
	sum.Write(body)
	return "request " + id + " sum " + hex.EncodeToString(sum.Sum(nil)) + "\n"
}

// faultyListener closes accepted connections while the fault says so.
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
