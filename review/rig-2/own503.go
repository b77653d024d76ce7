package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playOwn503 has one target of seven answer a part of the requests that it has run with a failure of
// its own.
func playOwn503(r *rig) (verdict, error) {
	const (
		targets   = 7
		clients   = 60
		span      = 20 * time.Second
		pause     = 400 * time.Millisecond
		work      = 190 * time.Millisecond
		greyFrom  = 4 * time.Second
		greyFor   = 6500 * time.Millisecond
		greyShare = 0.4
	)
	var mu sync.Mutex
	ran := make(map[string]int)
	var greyStart time.Time
	handle := func(t *target, w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		ran[q.Header.Get(names.RequestID)]++
		since := time.Since(greyStart)
		isGrey := r.trouble && t == r.targets[0] && !greyStart.IsZero() && since > 0 && since < greyFor
		mu.Unlock()
		status := http.StatusOK
		if isGrey && rand.Float64() < greyShare {
			status = http.StatusServiceUnavailable
		}
		t.run(w, q, work, status)
	}
	if err := r.startAll(targets, handle); err != nil {
		return verdict{}, err
	}
	mu.Lock()
	greyStart = time.Now().Add(greyFrom)
	mu.Unlock()
	entries := r.withRole("entry")
	answers := make(map[string]answer)
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for i := range clients {
		c := r.newClient(entries[i%len(entries)])
		group.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := c.send(id, http.MethodPost, "/commit/17", []byte("approve loan "+id), 1500*time.Millisecond)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	promised, ok := 0, 0
	for id, a := range answers {
		switch a.status {
		case http.StatusOK:
			ok++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran[id] > 0 {
				promised++
				r.record.printf("REFUSED: %s was answered %d and has run", id, a.status)
			}
		}
	}
	text := fmt.Sprintf("%d requests, %d served, %d answered with a promise although they have run", len(answers), ok, promised)
	return verdict{promised > 0, text}, nil
}
