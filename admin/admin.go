// Package admin serves the operators' HTTP interface of a process: /healthz,
// /readyz, /metrics, /v1/status, /v1/events and the handlers that a role adds.
//
// # Usage
//
//	server := admin.New(
//		admin.Ready(func() error { return nil }),
//		admin.Status(func() any { return status }),
//		admin.EventLog(log),
//	)
//	go server.Serve(listener)
//	defer server.Stop()
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/dottereldeal/dottereldeal/event"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	stopTimeout    = 2 * time.Second
	maxHeaderBytes = 16 << 10
)

// Server serves the operators' HTTP interface of a process.
type Server struct {
	options Options
	http    *http.Server
}

// New returns a server. Call Serve to accept connections.
func New(opts ...Option) *Server {
	s := &Server{options: newOptions(opts...)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/events", s.events)
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.options.Meter.Gatherer(), promhttp.HandlerOpts{}))
	for pattern, handler := range s.options.Handlers {
		mux.Handle(pattern, handler)
	}
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve accepts connections on listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Stop waits up to stopTimeout for running requests and closes the remaining
// connections.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		s.http.Close()
	}
}

// health answers that the process is alive.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.Write([]byte("ok\n"))
}

// ready answers whether the process can do its work at present.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.options.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, s.options.Status())
}

// events is the JSON response of /v1/events.
type events struct {
	Lost   uint64        `json:"lost"`
	Events []event.Event `json:"events"`
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "since is not a non-negative integer", http.StatusBadRequest)
			return
		}
		since = parsed
	}
	list, lost := s.options.EventLog.Since(since)
	WriteJSON(w, http.StatusOK, events{Lost: lost, Events: list})
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}
