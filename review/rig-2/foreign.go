package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sent is one client attempt as the check of the floor counts it.
type sent struct {
	at     time.Time
	served bool
}

// playForeignAddress has another writer send heartbeats of a service that nobody has named, with
// the addresses of three of six targets.
func playForeignAddress(r *rig) (verdict, error) {
	const (
		targets   = 6
		displaced = 3
		clients   = 74
		pause     = 290 * time.Millisecond
		work      = 100 * time.Millisecond
		calm      = 8 * time.Second
		span      = 34 * time.Second
		window    = 2 * time.Second
		floor     = 0.7
	)
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time)
	handle := func(t *target, w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		arrivals[t.name()] = append(arrivals[t.name()], time.Now())
		mu.Unlock()
		t.run(w, q, work, http.StatusOK)
	}
	if err := r.startAll(targets, handle); err != nil {
		return verdict{}, err
	}
	var attempts []sent
	start := time.Now()
	var group sync.WaitGroup
	entries := r.withRole("entry")
	for i := range clients {
		c := r.newClient(entries[i%len(entries)])
		group.Go(func() {
			for next := start.Add(time.Duration(i) * pause / clients); next.Before(start.Add(span)); next = next.Add(pause + work) {
				time.Sleep(time.Until(next))
				at, id := time.Now(), newID()
				a := c.send(id, http.MethodPost, "/commit/17", []byte("approve loan "+id), 1500*time.Millisecond)
				mu.Lock()
				attempts = append(attempts, sent{at, a.status == http.StatusOK})
				mu.Unlock()
			}
		})
	}
	time.Sleep(calm)
	if r.trouble {
		for i := range displaced {
			if err := r.foreignHeartbeat(fmt.Sprintf("report-%d", i+1), r.targets[i]); err != nil {
				r.record.printf("foreign heartbeat: %s", err)
			}
		}
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken, worst := 0, ""
	// The targets count as sound: they are ready, and nothing has happened to them or their links.
	for from := start.Add(time.Second); from.Add(window).Before(start.Add(span)); from = from.Add(200 * time.Millisecond) {
		to := from.Add(window)
		reached := 0
		for _, times := range arrivals {
			for _, at := range times {
				if at.After(from) && at.Before(to) {
					reached++
					break
				}
			}
		}
		all, unserved := 0, 0
		for _, a := range attempts {
			if a.at.After(from) && a.at.Before(to) {
				all++
				if !a.served {
					unserved++
				}
			}
		}
		if all == 0 {
			continue
		}
		share, lost := float64(reached)/targets, float64(unserved)/float64(all)
		if reached > 0 && share < floor && lost > 0.1 && lost < 0.5 {
			broken++
			worst = fmt.Sprintf("from %.1f s, %d of %d sound targets got requests, and %d of %d requests were not served", from.Sub(r.record.start).Seconds(), reached, targets, unserved, all)
			r.record.printf("FLOOR: %s", worst)
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d requests, %d spans of %s break the floor; the last: %s", len(attempts), broken, window, worst)}, nil
}

// foreignHeartbeat sends a heartbeat of a service that no configuration names, with the address of a
// target.
func (r *rig) foreignHeartbeat(id string, of *target) error {
	body, err := json.Marshal(map[string]any{
		"address": of.addr, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "nightly-report", "version": "v1", "zone": of.zone, "slots": 1},
		"status": map[string]any{"state": "ready", "sequence": 1, names.WarmupLeft: "0ms"},
	})
	if err != nil {
		return err
	}
	r.record.printf("a foreign heartbeat of %s names the address of %s", id, of.name())
	return r.operate(names.Heartbeat+id, body, beatPeriod)
}
