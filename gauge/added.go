package gauge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	addedTimeout = 2 * time.Minute
	addedService = 2 * time.Millisecond
)

// addedCommand measures the time that an entry adds to a request.
func addedCommand(set *conf.Set) func(io.Writer) error {
	entries := set.Int("entries", "number of entries", 1, conf.Default("6"))
	rate := set.Int("rate", "requests a second", 1, conf.Default("400"))
	span := set.Duration("span", "length of each part", conf.Default("10s"))
	return func(out io.Writer) error { return added(out, *entries, *rate, *span) }
}

func added(out io.Writer, entries, rate int, span time.Duration) error {
	folder, err := os.MkdirTemp("", "gauge-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), addedTimeout)
	defer cancel()
	f, err := local.Start(local.Controls(3), local.Entries(entries, "d1", "d2", "d3"), local.Folder(folder))
	if err != nil {
		return err
	}
	defer f.Stop()
	var targets []*fake.Server
	for i := range 6 {
		t, err := fake.New(
			fake.Name(fmt.Sprint("b", i)), fake.Pool("main"), fake.DataCentre("d1"), fake.AnnounceURLs(f.AnnounceURLs()...),
			fake.Slots(64, 64), fake.ServiceTime(func() time.Duration { return addedService }),
		)
		if err != nil {
			return err
		}
		defer t.Stop()
		targets = append(targets, t)
	}
	ticket := fmt.Sprintf(`number: 1
workspaces: [{name: w0, rate: %d, burst: %d, key-digests: [%q]}]
pools: [{name: main}]
routes:
  - {name: status, path-prefix: /status/, pool: main, idempotent: true, deadline: 2s}
  - {name: decisions, path-prefix: /decisions/, pool: main, deadline: 2s}
`, 4*rate, 4*rate, state.HashKey(workspaceKey(0)))
	if _, err := f.ApplyTicket(ctx, 1, ticket); err != nil {
		return err
	}
	s := shape{workspaces: 1, entries: entries}
	callers := newCallers(f, s, rand.New(rand.NewPCG(1, 1)))
	for _, e := range f.Entries {
		for !callers.works(ctx, e) && ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleCallers}}
	paced(span/5, rate, func(i int) (time.Duration, bool) { return viaEntry(ctx, callers, f, i, false) })
	direct := paced(span, rate, func(i int) (time.Duration, bool) { return directly(client, targets[i%len(targets)]) })
	read := paced(span, rate, func(i int) (time.Duration, bool) { return viaEntry(ctx, callers, f, i, false) })
	decision := paced(span, rate, func(i int) (time.Duration, bool) { return viaEntry(ctx, callers, f, i, true) })
	fmt.Fprintf(out, "%d entries, %d requests/s, service %s\n", entries, rate, addedService)
	fmt.Fprintf(out, "direct                p50 %.2f ms, p99 %.2f ms, %d answered\n", at(direct, 0.5), at(direct, 0.99), len(direct))
	for name, list := range map[string][]time.Duration{"idempotent": read, "not idempotent": decision} {
		fmt.Fprintf(out, "%-16s adds p50 %.2f ms, p99 %.2f ms, %d answered\n",
			name, at(list, 0.5)-at(direct, 0.5), at(list, 0.99)-at(direct, 0.99), len(list))
	}
	return nil
}

// paced sends at a steady rate and returns the times of good answers, in order.
func paced(span time.Duration, rate int, send func(i int) (time.Duration, bool)) []time.Duration {
	var mu sync.Mutex
	var list []time.Duration
	var group sync.WaitGroup
	next, end := time.Now(), time.Now().Add(span)
	for i := 0; next.Before(end); i++ {
		time.Sleep(time.Until(next))
		group.Go(func() {
			took, ok := send(i)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, took)
		})
		next = next.Add(time.Second / time.Duration(rate))
	}
	group.Wait()
	slices.Sort(list)
	return list
}

func viaEntry(ctx context.Context, c *callers, f *local.Fleet, i int, decision bool) (time.Duration, bool) {
	s := c.send(ctx, f.Entries[i%len(f.Entries)], 0, decision)
	return s.latency, s.good
}

func directly(client *http.Client, t *fake.Server) (time.Duration, bool) {
	began := time.Now()
	response, err := client.Get("http://" + t.Addr() + "/status/1")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(began), err == nil
}

func at(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(p*float64(len(sorted)-1))].Microseconds()) / 1e3
}
