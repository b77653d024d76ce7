package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playPoison sends requests of one tenant that crash each target that begins to run them, again and
// again, at any entry.
func playPoison(r *rig) (verdict, error) {
	const (
		poisons = 40
		targets = 9
		again   = 1500 * time.Millisecond
		down    = 1500 * time.Millisecond
		work    = 30 * time.Millisecond
		span    = 80 * time.Second
		contact = 3 * time.Second
		most    = 3
	)
	var mu sync.Mutex
	runs := make(map[string][]time.Time)
	handle := func(t *target, w http.ResponseWriter, q *http.Request) {
		if !strings.HasPrefix(q.URL.Path, "/look/poison-") || !r.trouble {
			t.run(w, q, work, http.StatusOK)
			return
		}
		mu.Lock()
		runs[q.URL.Path] = append(runs[q.URL.Path], time.Now())
		mu.Unlock()
		r.record.printf("%s begins to run %s and crashes", t.name(), q.URL.Path)
		t.crash(down)
		panic(http.ErrAbortHandler)
	}
	if err := r.startAll(targets, handle); err != nil {
		return verdict{}, err
	}
	entries := r.withRole("entry")
	end := time.Now().Add(span)
	var group sync.WaitGroup
	for i := range poisons {
		group.Go(func() {
			path := fmt.Sprintf("/look/poison-%d", i+1)
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Now().Before(end) {
				c := r.newClient(entries[rand.IntN(len(entries))])
				c.send(newID(), http.MethodGet, path, nil, 1200*time.Millisecond)
				c.http.CloseIdleConnections()
				time.Sleep(again)
			}
		})
	}
	for i := range 4 {
		c := r.newClient(entries[i])
		group.Go(func() {
			for time.Now().Before(end) {
				c.send(newID(), http.MethodGet, "/look/17", nil, 1200*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken, total := 0, 0
	for path, times := range runs {
		total += len(times)
		if len(times) < 3 {
			continue
		}
		late := 0
		for _, at := range times[3:] {
			if at.Sub(times[2]) > contact {
				late++
			}
		}
		if late > most {
			broken++
			r.record.printf("BUDGET: %s crashed %d targets, and reached %d later than %s after it had crashed the third", path, len(times), late, contact)
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d requests crashed targets %d times; %d of them reached more than %d targets later than %s after the third crash", poisons, total, broken, most, contact)}, nil
}
