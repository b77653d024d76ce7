package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	sent   time.Time
	id     string
	entry  string
	path   string
	status int
	took   time.Duration
}

// clients send requests at a steady rate to the entries.
type clients struct {
	fleet  *fleet
	host   string
	key    string
	record *record

	transport *http.Transport
	mu        sync.Mutex
	answers   []answer
	group     sync.WaitGroup
	count     atomic.Uint64
}

func newClients(f *fleet, host, key string, r *record) *clients {
	return &clients{fleet: f, host: host, key: key, record: r, transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// send sends one request to an entry and waits for its answer.
func (c *clients) send(m *machine, method, path string, body io.Reader, deadline time.Duration) answer {
	a := answer{sent: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64()), entry: m.name, path: path}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.addr(m, "front")+path, body)
	if err != nil {
		return a
	}
	request.Host = c.host
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+c.key)
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	if err == nil {
		a.status = response.StatusCode
	}
	a.took = time.Since(a.sent)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// traffic sends requests at a rate to all entries in turn until the context ends. Those that are not
// idempotent have a small body.
func (c *clients) traffic(ctx context.Context, method, path string, perSecond float64, deadline time.Duration) {
	interval := time.Duration(float64(time.Second) / perSecond)
	ticker := time.NewTicker(interval)
	c.group.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			n := c.count.Add(1)
			m := c.fleet.entries[int(n)%len(c.fleet.entries)]
			c.group.Go(func() {
				var body io.Reader
				if method != http.MethodGet {
					body = strings.NewReader(fmt.Sprintf("contract %d", n))
				}
				c.send(m, method, fmt.Sprintf("%s%d", path, n), body, deadline)
			})
		}
	})
}

// between returns the answers to requests sent in a span of time.
func (c *clients) between(from, to time.Time) []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []answer
	for _, a := range c.answers {
		if a.sent.After(from) && a.sent.Before(to) {
			list = append(list, a)
		}
	}
	return list
}

// writeAll writes all answers to the record.
func (c *clients) writeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.answers, func(a, b answer) int { return a.sent.Compare(b.sent) })
	for _, a := range c.answers {
		status := fmt.Sprint(a.status)
		if a.status == 0 {
			status = "no answer"
		}
		c.record.logAt(a.sent, "client: %s %s to %s: %s after %s", a.id, a.path, a.entry, status, a.took.Round(time.Millisecond))
	}
}

// operator gives orders to the control machines, as the pages say: the next node after a failure,
// a 5xx, or a second without a response.
type operator struct {
	fleet  *fleet
	record *record
}

// order sends an order until it is acknowledged. If first is set, that node is called before the
// others. It returns the time of the acknowledgement.
func (o *operator) order(path string, body string, first *machine, limit time.Duration) (time.Time, error) {
	nodes := slices.Clone(o.fleet.controls)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	if first != nil {
		nodes = slices.DeleteFunc(nodes, func(m *machine) bool { return m == first })
		nodes = slices.Insert(nodes, 0, first)
	}
	end, pause := time.Now().Add(limit), 50*time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		m := nodes[i%len(nodes)]
		status, answered, err := post(o.fleet.addr(m, "control"), path, []byte(body), callTimeout)
		o.record.logf("operator: POST %s %s to %s: %s", path, strings.TrimSpace(body), m.name, outcome(status, err))
		switch {
		case err == nil && status/100 == 2:
			return time.Now(), nil
		case err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return time.Time{}, fmt.Errorf("%s refused: %d %s", path, status, answered)
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, fmt.Errorf("%s was not acknowledged", path)
}

// upload sends a request whose body follows its head after a pause.
func (c *clients) upload(m *machine, path, body string, pause time.Duration) answer {
	reader, writer := io.Pipe()
	go func() {
		time.Sleep(pause)
		io.WriteString(writer, body)
		writer.Close()
	}()
	return c.send(m, http.MethodPost, path, reader, 1500*time.Millisecond)
}

func sortTimes(list []time.Time) {
	slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
}
