package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatPeriod  = 1500 * time.Millisecond
	idleTimeout = 10 * time.Second
	targetSlots = 4
)

// target is a stand-in for a backend server.
type target struct {
	rig     *rig
	id      string
	service string
	zone    string
	addr    string
	born    int64
	server  *http.Server
	// handle runs a request that is meant for this target.
	handle func(t *target, w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	sequence int
	running  int
}

// startTarget starts a target that registers itself with control.
func (r *rig) startTarget(ctx context.Context, id, service, zone string, handle func(*target, http.ResponseWriter, *http.Request)) (*target, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.base, 61+len(r.targets)))
	if err != nil {
		return nil, err
	}
	t := &target{rig: r, id: id, service: service, zone: zone, addr: l.Addr().String(), born: time.Now().UnixMilli(), handle: handle}
	t.server = &http.Server{Handler: t, IdleTimeout: idleTimeout}
	r.targets = append(r.targets, t)
	go t.server.Serve(l)
	go t.beat(ctx)
	return t, nil
}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		t.server.Close()
	}
}

// name returns the id of the present start.
func (t *target) name() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id
}

// beat registers the target, and again at each period.
func (t *target) beat(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		t.mu.Lock()
		t.sequence++
		id, born, sequence, up := t.id, t.born, t.sequence, t.server != nil
		t.mu.Unlock()
		if !up {
			time.Sleep(beatPeriod / 10)
			continue
		}
		body, _ := json.Marshal(map[string]any{
			"address": t.addr, "born": born,
			"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": targetSlots},
			"status": map[string]any{"state": "ready", "sequence": sequence, names.WarmupLeft: "0ms"},
		})
		t.rig.operate(names.Heartbeat+id, body, beatPeriod)
		select {
		case <-ctx.Done():
		case <-time.After(beatPeriod):
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names.Instance, t.name())
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != t.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	full := t.running >= targetSlots
	if !full {
		t.running++
	}
	t.mu.Unlock()
	if full {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	t.handle(t, w, r)
}

// crash ends the target and all its connections. It starts again at its address, under a new id.
func (t *target) crash(down time.Duration) {
	t.mu.Lock()
	server := t.server
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return
	}
	go func() {
		server.Close()
		time.Sleep(down)
		l, err := net.Listen("tcp", t.addr)
		if err != nil {
			t.rig.record.printf("%s does not start again: %s", t.id, err)
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.id, t.born, t.sequence = newID(), time.Now().UnixMilli(), 0
		t.server = &http.Server{Handler: t, IdleTimeout: idleTimeout}
		go t.server.Serve(l)
	}()
}

// seal returns the proof that an answer is this target's.
func (t *target) seal(id string) string { return "seal." + t.name() + "." + id }

// run reads the request, works on it and answers it.
func (t *target) run(w http.ResponseWriter, r *http.Request, work time.Duration, status int) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names.RequestID)
	t.rig.record.printf("%s runs %s", t.name(), id)
	time.Sleep(work)
	w.Header().Set(names.Seal, t.seal(id))
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s of %s\n", id, t.name())
}
