package local_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dottereldeal/dottereldeal/fake"
)

var requestIDs atomic.Uint64

// callResult is the response to one request.
type callResult struct {
	id          string
	status      int
	outcome     string
	bodyMatches bool
}

// send sends one request to an entry.
func (s *testEnv) send(ctx context.Context, entry, method, path, key string) (callResult, error) {
	id := fmt.Sprintf("r%d", requestIDs.Add(1))
	var body []byte
	if method == http.MethodPost {
		id = "once" + id
		body = []byte("body of " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.entry(entry).Callers+path, bytes.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	request.Host = "loan.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(fake.RequestIDHeader, id)
	response, err := s.client.Do(request)
	if err != nil {
		return callResult{id: id}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	bodyMatches := err == nil && string(data) == fake.ResponseBody(id, method, path, body)
	return callResult{id, response.StatusCode, response.Header.Get("Dottereldeal-Outcome"), bodyMatches}, nil
}

// expectStatus sends a request and expects a status. A 200 must have the complete
// expected body, any other response an outcome header.
func (s *testEnv) expectStatus(want int, entry, method, path, key string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	g, err := s.send(ctx, entry, method, path, key)
	switch {
	case err != nil:
		return err
	case g.status != want:
		return fmt.Errorf("%s %s at %s: status %d, outcome %q", method, path, entry, g.status, g.outcome)
	case g.status == http.StatusOK && !g.bodyMatches:
		return fmt.Errorf("%s %s at %s: response body is truncated or wrong", method, path, entry)
	case g.status != http.StatusOK && g.outcome == "":
		return fmt.Errorf("%s %s at %s: error response has no Dottereldeal-Outcome header", method, path, entry)
	}
	return nil
}

// requestStatus: request STATUS ENTRY METHOD PATH KEY
func requestStatus(s *testEnv, ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	return s.expectStatus(want, args[1], args[2], args[3], args[4])
}

// awaitStatus: await STATUS ENTRY[,ENTRY...] METHOD PATH KEY [LIMIT]
func awaitStatus(s *testEnv, ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	limit := testTimeout
	if len(args) > 5 {
		limit, err = time.ParseDuration(args[5])
		ts.Check(err)
	}
	began := time.Now()
	for entry := range strings.SplitSeq(args[1], ",") {
		err := eventually(func() error { return s.expectStatus(want, entry, args[2], args[3], args[4]) })
		if err != nil {
			return err
		}
	}
	if took := time.Since(began); took > limit {
		return fmt.Errorf("took %s, more than %s", took, limit)
	}
	return nil
}

// loadGenerator sends requests in the background and counts the results by kind.
type loadGenerator struct {
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	counts  map[string]int
	ids     []string
	lastErr error
}

// startLoad: load NAME ENTRY[,ENTRY...] METHOD PATH KEY WORKERS
func startLoad(s *testEnv, ts *testscript.TestScript, args []string) error {
	workers, err := strconv.Atoi(args[5])
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	run := &loadGenerator{cancel: cancel, counts: make(map[string]int)}
	s.loads[args[0]] = run
	entries := strings.Split(args[1], ",")
	for worker := range workers {
		run.group.Go(func() {
			for i := worker; ctx.Err() == nil; i++ {
				g, err := s.send(context.Background(), entries[i%len(entries)], args[2], args[3], args[4])
				run.record(g, err)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return nil
}

func (l *loadGenerator) record(g callResult, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, g.id)
	kind := strconv.Itoa(g.status)
	if g.status != http.StatusOK {
		kind += "/" + g.outcome
	}
	if err != nil {
		kind, l.lastErr = "error", err
	}
	if g.status == http.StatusOK && !g.bodyMatches {
		kind = "truncated"
	}
	l.counts[kind]++
}

// stopLoad: loaded NAME KIND=LIMIT... stops a load and logs its counts. Results other
// than 200 and the given kinds within their limits are errors.
func stopLoad(s *testEnv, ts *testscript.TestScript, args []string) error {
	run := s.loads[args[0]]
	run.cancel()
	run.group.Wait()
	ts.Logf("load %s: %v", args[0], run.counts)
	allowed := map[string]int{"200": 1 << 30}
	for _, arg := range args[1:] {
		kind, limit, _ := strings.Cut(arg, "=")
		allowed[kind], _ = strconv.Atoi(limit)
	}
	for kind, n := range run.counts {
		if n > allowed[kind] {
			return fmt.Errorf("load %s: %v, last error %v", args[0], run.counts, run.lastErr)
		}
	}
	return s.checkAtMostOnce(run.ids)
}

// checkAtMostOnce checks that no POST request ran twice and that no backend server
// received a caller's key.
func (s *testEnv) checkAtMostOnce(ids []string) error {
	runs := make(map[string]int)
	for _, t := range s.targets {
		for id, n := range t.RunsByID() {
			runs[id] += n
		}
		if t.LeakedKeys() > 0 {
			return fmt.Errorf("%s received a request with a caller's key", t.Name())
		}
	}
	for _, id := range ids {
		if strings.HasPrefix(id, "once") && runs[id] > 1 {
			return fmt.Errorf("request %s ran %d times", id, runs[id])
		}
	}
	return nil
}

// streamReader reads a streaming response in the background.
type streamReader struct {
	done chan error
}

// startStream: stream NAME ENTRY PATH KEY starts to read a streaming response.
func startStream(s *testEnv, _ *testscript.TestScript, args []string) error {
	request, err := http.NewRequest(http.MethodGet, s.entry(args[1]).Callers+args[2], nil)
	if err != nil {
		return err
	}
	request.Host = "loan.example"
	request.Header.Set("Authorization", "Bearer "+args[3])
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	run := &streamReader{done: make(chan error, 1)}
	s.streams[args[0]] = run
	go func() {
		defer response.Body.Close()
		_, err := io.Copy(io.Discard, response.Body)
		run.done <- err
	}()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stream: status %d", response.StatusCode)
	}
	return nil
}

// awaitCutoff: cutoff NAME LIMIT expects a stream to end with an error within LIMIT.
func awaitCutoff(s *testEnv, ts *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case err := <-s.streams[args[0]].done:
		if err == nil {
			return fmt.Errorf("stream ended without an error")
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("stream is still open after %s", limit)
	}
}
