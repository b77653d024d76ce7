package prog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
)

const (
	demoWorkers = 16
	demoPause   = 10 * time.Millisecond
)

// demoAnswer is what a caller of the demonstration got.
type demoAnswer struct {
	status  int
	outcome string
	whole   bool
}

// demoTally counts the answers of a time span.
type demoTally struct {
	sent, good, refused, wrong int64
}

// share returns the part of requests answered whole and well.
func (t demoTally) share() float64 { return float64(t.good) / float64(max(1, t.sent)) }

// String summarizes the tally.
func (t demoTally) String() string {
	return fmt.Sprintf("%d sent, %.2f%% answered, %d refused, %d wrong", t.sent, 100*t.share(), t.refused, t.wrong)
}

var demoRequests atomic.Uint64

// request sends one request to an entry and checks its answer.
func (d *demo) request(ctx context.Context, entry int, key, method, path string) demoAnswer {
	id := fmt.Sprintf("%s%d", map[string]string{"GET": "g", "POST": "p"}[method], demoRequests.Add(1))
	var body []byte
	if method == http.MethodPost {
		body = []byte("decision " + id)
	}
	e := d.fleet.Entries[entry%len(d.fleet.Entries)]
	request, err := http.NewRequestWithContext(ctx, method, e.Callers+path, bytes.NewReader(body))
	if err != nil {
		return demoAnswer{}
	}
	request.Host = "loan.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(fake.RequestIDHeader, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return demoAnswer{}
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return demoAnswer{
		status:  response.StatusCode,
		outcome: response.Header.Get("Dottereldeal-Outcome"),
		whole:   err == nil && string(got) == fake.ResponseBody(id, method, path, body),
	}
}

// load sends requests of both kinds for some time.
func (d *demo) load(ctx context.Context, span time.Duration) demoTally {
	var tally demoTally
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for worker := range demoWorkers {
		group.Go(func() {
			for i := worker; time.Now().Before(end) && ctx.Err() == nil; i++ {
				d.count(&tally, d.one(ctx, i))
				time.Sleep(demoPause)
			}
		})
	}
	group.Wait()
	return tally
}

// one sends a status check, or a decision every fourth time.
func (d *demo) one(ctx context.Context, i int) demoAnswer {
	if i%4 == 0 {
		return d.request(ctx, i/4, demoKey, http.MethodPost, "/decisions/7")
	}
	return d.request(ctx, i, demoKey, http.MethodGet, "/status/7")
}

func (d *demo) count(t *demoTally, a demoAnswer) {
	atomic.AddInt64(&t.sent, 1)
	switch {
	case a.status == http.StatusOK && a.whole:
		atomic.AddInt64(&t.good, 1)
	case a.status == http.StatusOK:
		atomic.AddInt64(&t.wrong, 1)
	default:
		atomic.AddInt64(&t.refused, 1)
	}
}
