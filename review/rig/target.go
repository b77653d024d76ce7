package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	callTimeout = time.Second
)

// arrival is a request that reached a target.
type arrival struct {
	at time.Time
	// target is the id of the target then.
	target, id, path string
	ran              bool
}

// target is a stand-in for a target of the users' pages. It serves one request per slot, queues a
// few, turns the others away, and registers itself.
type target struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	// crashPath ends the target when a request for it begins to run.
	crashPath string
	registry  func() []string
	record    *record

	mu       sync.Mutex
	born     int64
	sequence int
	state    string
	silent   bool
	// node acknowledged the last call; it is called first. If there is none, chance decides.
	node     string
	listener net.Listener
	server   *http.Server
	running  chan struct{}
	waiting  int
	down     chan struct{}
	arrivals []arrival
	crashes  []time.Time
}

// start starts the target, or starts it again as a new incarnation at the same address.
func (t *target) start() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.addr = l.Addr().String()
	t.born, t.sequence, t.state = time.Now().UnixMilli(), 0, "ready"
	t.running = make(chan struct{}, t.slots)
	t.down = make(chan struct{})
	t.listener = l
	server := &http.Server{Handler: t}
	t.server = server
	down := t.down
	t.mu.Unlock()
	t.record.logf("target %s (%s, %s) starts, born %d", t.id, t.service, t.zone, t.born)
	go server.Serve(l)
	go t.beat(down)
	return nil
}

// end ends the process of the target: all its connections break.
func (t *target) end(why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.down:
		return
	default:
	}
	close(t.down)
	t.record.logf("target %s ends: %s", t.id, why)
	t.server.Close()
}

func (t *target) beat(down chan struct{}) {
	for {
		t.register()
		select {
		case <-down:
			return
		case <-time.After(heartbeat):
		}
	}
}

// register sends a heartbeat.
func (t *target) register() {
	t.mu.Lock()
	if t.silent {
		t.mu.Unlock()
		return
	}
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": t.addr, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": t.state, "sequence": t.sequence, names.WarmupLeft: "0ms"},
	})
	t.mu.Unlock()
	t.call(names.Heartbeat+t.id, body)
}

// deregister says that the target is gone.
func (t *target) deregister() {
	t.mu.Lock()
	body, _ := json.Marshal(map[string]any{"born": t.born})
	t.mu.Unlock()
	t.call(names.Deregister+t.id, body)
}

// call calls one node after the other until one acknowledges within a second.
func (t *target) call(path string, body []byte) {
	t.mu.Lock()
	first := t.node
	t.mu.Unlock()
	nodes := slices.Clone(t.registry())
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if first != "" {
		nodes = slices.DeleteFunc(nodes, func(n string) bool { return n == first })
		nodes = slices.Insert(nodes, 0, first)
	}
	for _, node := range nodes {
		status, _, err := post(node, path, body, callTimeout)
		acked := err == nil && status/100 == 2
		if !acked || !strings.HasPrefix(path, names.Heartbeat) {
			t.record.logf("target %s: POST %s %s to %s: %s", t.id, path, body, node, outcome(status, err))
		}
		if acked {
			t.setNode(node)
			return
		}
	}
}

// setNode sets the node that is called first.
func (t *target) setNode(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.node = addr
}

// post calls a node on a connection of its own and closes that after the timeout.
func post(node, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+node+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return strconv.Itoa(status)
}

// ServeHTTP serves the requests of the system.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", t.id)
		return
	}
	if expected := r.Header.Get(names.Expected); expected != "" && expected != t.id {
		h.Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	t.mu.Lock()
	index := len(t.arrivals)
	t.arrivals = append(t.arrivals, arrival{at: time.Now(), target: t.id, id: id, path: r.URL.Path})
	full := len(t.running) == t.slots && t.waiting >= 2*t.slots
	if !full {
		t.waiting++
	}
	running, down := t.running, t.down
	t.mu.Unlock()
	if full {
		h.Set(names.NotRun, "1")
		h.Set("Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 10_000
	}
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	select {
	case running <- struct{}{}:
		t.stopWaiting()
	case <-deadline:
		t.stopWaiting()
		h.Set(names.NotRun, "1")
		h.Set("Request-Id", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		t.stopWaiting()
		return
	}
	defer func() { <-running }()
	t.mu.Lock()
	t.arrivals[index].ran = true
	crash := t.crashPath != "" && r.URL.Path == t.crashPath
	if crash {
		t.crashes = append(t.crashes, time.Now())
	}
	t.mu.Unlock()
	if crash {
		t.end("crashed by request " + id)
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(t.work):
	case <-deadline:
		h.Set("Request-Id", id)
		h.Set(names.Seal, t.seal(id, http.StatusGatewayTimeout, nil))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-down:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	content := fmt.Appendf(nil, "%s %s %d bytes by %s\n", r.Method, r.URL.Path, len(body), t.id)
	h.Set("Request-Id", id)
	h.Set(names.Seal, t.seal(id, http.StatusOK, content))
	h.Set(names.Load, fmt.Sprintf("%d,%d,%d", len(running), 0, t.slots))
	h.Set("Content-Length", strconv.Itoa(len(content)))
	w.Write(content)
}

func (t *target) stopWaiting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// seal signs an answer.
func (t *target) seal(id string, status int, body []byte) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d %s", t.id, id, status, body))
	return hex.EncodeToString(sum[:8])
}

// ranAfter returns the requests that the target has run and that arrived in a span of time.
func (t *target) ranAfter(from, to time.Time) []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []arrival
	for _, a := range t.arrivals {
		if a.ran && a.at.After(from) && a.at.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

func (t *target) setState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// setSilent stops or resumes the heartbeats.
func (t *target) setSilent(silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = silent
}

// restartAfter starts the target again, some time after each crash.
func (t *target) restartAfter(pause time.Duration) {
	go func() {
		for {
			t.mu.Lock()
			down := t.down
			t.mu.Unlock()
			<-down
			time.Sleep(pause)
			t.mu.Lock()
			t.id += "r" // each start of a target has a new id, mostly
			t.mu.Unlock()
			for t.start() != nil {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}()
}

// writeArrivals writes to the record what reached each target, and whether it ran there.
func (p *play) writeArrivals() {
	for _, t := range p.targets {
		t.mu.Lock()
		for _, a := range t.arrivals {
			what := "turns away"
			if a.ran {
				what = "runs"
			}
			p.record.logAt(a.at, "target %s (%s) %s %s %s", a.target, t.zone, what, a.id, a.path)
		}
		t.mu.Unlock()
	}
}
