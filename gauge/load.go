package gauge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
)

const (
	// decisionShare is the part of requests that are not idempotent.
	decisionShare = 0.25
	// decisionWeight is how much more such a request counts.
	decisionWeight = 3.0
	callerTimeout  = 3 * time.Second
	maxIdleCallers = 256
)

// callers sends open-loop load of all workspaces to all entries.
type callers struct {
	fleet  *local.Fleet
	shape  shape
	random *rand.Rand
	client *http.Client
	ids    atomic.Uint64
}

func newCallers(f *local.Fleet, s shape, random *rand.Rand) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleCallers, DisableCompression: true}
	return &callers{fleet: f, shape: s, random: random, client: &http.Client{Transport: transport, Timeout: callerTimeout}}
}

// sample is one answered request.
type sample struct {
	workspace int
	weight    float64
	good      bool
	refused   bool
	latency   time.Duration
	read      bool
}

// tally is what a time span of load gave.
type tally struct {
	mu      sync.Mutex
	samples []sample
}

// works reports whether every workspace is served at an entry.
func (c *callers) works(ctx context.Context, e *local.Entry) bool {
	for w := range c.shape.workspaces {
		if !c.send(ctx, e, w, false).good {
			return false
		}
	}
	return true
}

// run offers load in proportion to the shape's for a time span, whatever the
// answers are, and waits for the last answers.
func (c *callers) run(ctx context.Context, span time.Duration, factor float64) *tally {
	t := &tally{}
	var group sync.WaitGroup
	rate := c.shape.offered() * factor
	next := time.Now()
	end := next.Add(span)
	for next.Before(end) && ctx.Err() == nil {
		time.Sleep(time.Until(next))
		e := c.fleet.Entries[c.random.IntN(len(c.fleet.Entries))]
		workspace := c.pickWorkspace()
		decision := c.random.Float64() < decisionShare
		group.Go(func() { t.add(c.send(ctx, e, workspace, decision)) })
		next = next.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
	}
	group.Wait()
	return t
}

func (c *callers) pickWorkspace() int {
	x := c.random.Float64()
	for i, share := range c.shape.shares() {
		if x < share {
			return i
		}
		x -= share
	}
	return 0
}

// send sends one request and judges its answer.
func (c *callers) send(ctx context.Context, e *local.Entry, workspace int, decision bool) sample {
	id := fmt.Sprintf("%d", c.ids.Add(1))
	method, path, weight := http.MethodGet, "/status/"+id, 1.0
	var body []byte
	if decision {
		method, path, weight = http.MethodPost, "/decisions/"+id, decisionWeight
		body = []byte("decision " + id)
	}
	s := sample{workspace: workspace, weight: weight, read: !decision}
	request, err := http.NewRequestWithContext(ctx, method, e.Callers+path, bytes.NewReader(body))
	if err != nil {
		return s
	}
	request.Header.Set("Authorization", "Bearer "+workspaceKey(workspace))
	request.Header.Set(fake.RequestIDHeader, id)
	began := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	s.latency = time.Since(began)
	s.refused = response.StatusCode == http.StatusTooManyRequests
	s.good = err == nil && response.StatusCode == http.StatusOK && string(data) == fake.ResponseBody(id, method, path, body)
	return s
}

func (t *tally) add(s sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, s)
}

func (t *tally) goodput() float64 { return goodput(t.samples) }

// goodput weighs each request by its kind and counts those answered well.
func goodput(samples []sample) float64 {
	good, all := 0.0, 0.0
	for _, s := range samples {
		all += s.weight
		if s.good {
			good += s.weight
		}
	}
	if all == 0 {
		return 0
	}
	return good / all
}

// worst returns the goodput of the worst-served workspace.
func (t *tally) worst() float64 {
	by := make(map[int][]sample)
	for _, s := range t.samples {
		by[s.workspace] = append(by[s.workspace], s)
	}
	worst := 1.0
	for _, samples := range by {
		worst = min(worst, goodput(samples))
	}
	return worst
}

// refusedShare returns the part of requests refused for the rate.
func (t *tally) refusedShare() float64 {
	n := 0
	for _, s := range t.samples {
		if s.refused {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.samples)))
}

// percentile returns a latency of good idempotent requests in milliseconds.
func (t *tally) percentile(p float64) float64 {
	var list []time.Duration
	for _, s := range t.samples {
		if s.good && s.read {
			list = append(list, s.latency)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return float64(list[int(p*float64(len(list)-1))].Microseconds()) / 1e3
}
