package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// order is a request that a client wants to have run once. All its attempts have the same
// idempotency key.
type order struct {
	key      string
	statuses []int
}

// playKeyedDenied has all targets turn a part of the requests away unread, as full ones do. Clients
// come back as they are told.
func playKeyedDenied(r *rig) (verdict, error) {
	const (
		targets   = 7
		clients   = 12
		span      = 20 * time.Second
		pause     = 150 * time.Millisecond
		work      = 40 * time.Millisecond
		shedFrom  = 4 * time.Second
		shedFor   = 8500 * time.Millisecond
		shedShare = 0.55
		deadline  = 1500 * time.Millisecond
	)
	var mu sync.Mutex
	runs := make(map[string]int)
	var shedStart time.Time
	handle := func(t *target, w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		since := time.Since(shedStart)
		sheds := r.trouble && !shedStart.IsZero() && since > 0 && since < shedFor && rand.Float64() < shedShare
		if !sheds {
			runs[q.Header.Get(names.RequestID)]++
		}
		mu.Unlock()
		if sheds {
			w.Header().Set(names.NotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		t.run(w, q, work, http.StatusOK)
	}
	if err := r.startAll(targets, handle); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	shedStart = time.Now().Add(shedFrom)
	mu.Unlock()
	var orders []order
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) {
				o := r.placeOrder(deadline)
				mu.Lock()
				orders = append(orders, o)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	attempts, denied, served := 0, 0, 0
	for _, o := range orders {
		for _, status := range o.statuses {
			attempts++
			switch status {
			case http.StatusOK:
				served++
			case http.StatusConflict:
				denied++
				r.record.printf("DENIED: %s was answered %v", o.key, o.statuses)
			}
		}
	}
	const allowed, one = 5, 500
	broken := float64(denied) > allowed+float64(attempts)/one
	text := fmt.Sprintf("%d requests in %d attempts, %d served, %d ended with 409 (%.1f are tolerated)", len(orders), attempts, served, denied, allowed+float64(attempts)/one)
	return verdict{broken, text}, nil
}

// placeOrder sends a request as the pages say: again after a promise, on a new connection to another
// entry, at the time named if that is within a third of what is left.
func (r *rig) placeOrder(deadline time.Duration) order {
	const maxRetries = 3
	entries := r.withRole("entry")
	o := order{key: newID()}
	end := time.Now().Add(deadline)
	for range maxRetries + 1 {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		c := r.newClient(entries[rand.IntN(len(entries))])
		a := c.send(newID(), http.MethodPost, "/commit/17", []byte("approve loan "+o.key), left, idempotencyKey(o.key))
		c.http.CloseIdleConnections()
		o.statuses = append(o.statuses, a.status)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0.1
		}
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3))
	}
	return o
}

// playKeyedRecover kills all processes at the same moment, and starts them again.
func playKeyedRecover(r *rig) (verdict, error) {
	const (
		targets  = 6
		clients  = 8
		pause    = 100 * time.Millisecond
		work     = 20 * time.Millisecond
		deadline = 1500 * time.Millisecond
		before   = 10 * time.Second
		down     = time.Second
		recovery = 15 * time.Second
		after    = 20 * time.Second
	)
	if err := r.startAll(targets, func(t *target, w http.ResponseWriter, q *http.Request) { t.run(w, q, work, http.StatusOK) }); err != nil {
		return verdict{}, err
	}
	servedBefore := r.loadWithKeys(clients, pause, deadline, before)
	if r.trouble {
		var group sync.WaitGroup
		for _, p := range r.processes {
			group.Go(func() { r.kill(p) })
		}
		group.Wait()
		time.Sleep(down)
		for _, p := range r.processes {
			if err := r.startProcess(p, false); err != nil {
				return verdict{}, err
			}
		}
		if err := r.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	r.record.printf("all machines are back")
	time.Sleep(recovery)
	servedAfter := r.loadWithKeys(clients, pause, deadline, after)
	const least = 0.25
	broken := servedBefore >= least && servedAfter < least
	if broken {
		r.record.printf("RECOVER: served %.3f before, %.3f later than %s after all machines were back", servedBefore, servedAfter, recovery)
	}
	return verdict{broken, fmt.Sprintf("served %.3f before the final fault and %.3f later than %s after it", servedBefore, servedAfter, recovery)}, nil
}

// playKeyedRoll stops the entries in order, one after the other, and starts them again. No rule speaks
// of what it shows; it is not a case.
func playKeyedRoll(r *rig) (verdict, error) {
	const (
		clients  = 8
		pause    = 100 * time.Millisecond
		deadline = 1500 * time.Millisecond
		span     = 10 * time.Second
		calm     = 10 * time.Second
	)
	if err := r.startAll(6, func(t *target, w http.ResponseWriter, q *http.Request) {
		t.run(w, q, 20*time.Millisecond, http.StatusOK)
	}); err != nil {
		return verdict{}, err
	}
	before := r.loadWithKeys(clients, pause, deadline, span)
	if r.trouble {
		for _, p := range r.withRole("entry") {
			r.signal(p, syscall.SIGTERM)
			<-p.exited
			if err := r.startProcess(p, false); err != nil {
				return verdict{}, err
			}
			time.Sleep(time.Second)
		}
		if err := r.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(calm)
	after := r.loadWithKeys(clients, pause, deadline, span)
	return verdict{text: fmt.Sprintf("served %.3f before the entries were restarted in turn, %.3f later than %s after it", before, after, calm)}, nil
}

// loadWithKeys sends requests for a time and returns the share that is served.
func (r *rig) loadWithKeys(clients int, pause, deadline, span time.Duration) float64 {
	var mu sync.Mutex
	all, served := 0, 0
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for range clients {
		group.Go(func() {
			for time.Now().Before(end) {
				o := r.placeOrder(deadline)
				mu.Lock()
				all++
				if o.statuses[len(o.statuses)-1] == http.StatusOK {
					served++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return float64(served) / float64(max(1, all))
}
