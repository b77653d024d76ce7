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

// got is what a caller got.
type got struct {
	id      string
	status  int
	outcome string
	whole   bool
}

// send sends one request to an entry.
func (s *stage) send(ctx context.Context, entry, method, path, key string) (got, error) {
	id := fmt.Sprintf("r%d", requestIDs.Add(1))
	var body []byte
	if method == http.MethodPost {
		id = "once" + id
		body = []byte("body of " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, s.entry(entry).Callers+path, bytes.NewReader(body))
	if err != nil {
		return got{}, err
	}
	request.Host = "loan.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(fake.RequestIDHeader, id)
	response, err := s.client.Do(request)
	if err != nil {
		return got{id: id}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	whole := err == nil && string(data) == fake.ResponseBody(id, method, path, body)
	return got{id, response.StatusCode, response.Header.Get("Dottereldeal-Outcome"), whole}, nil
}

// check sends a request and expects a status; every 200 must be whole, and every
// refusal must carry its outcome.
func (s *stage) check(want int, entry, method, path, key string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	g, err := s.send(ctx, entry, method, path, key)
	switch {
	case err != nil:
		return err
	case g.status != want:
		return fmt.Errorf("%s %s at %s: status %d, outcome %q", method, path, entry, g.status, g.outcome)
	case g.status == http.StatusOK && !g.whole:
		return fmt.Errorf("%s %s at %s: answer is not whole", method, path, entry)
	case g.status != http.StatusOK && g.outcome == "":
		return fmt.Errorf("%s %s at %s: refusal without outcome", method, path, entry)
	}
	return nil
}

// requestStatus: request STATUS ENTRY METHOD PATH KEY
func requestStatus(s *stage, ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	return s.check(want, args[1], args[2], args[3], args[4])
}

// awaitStatus: await STATUS ENTRY[,ENTRY...] METHOD PATH KEY [LIMIT]
func awaitStatus(s *stage, ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	limit := stageWait
	if len(args) > 5 {
		limit, err = time.ParseDuration(args[5])
		ts.Check(err)
	}
	began := time.Now()
	for entry := range strings.SplitSeq(args[1], ",") {
		err := eventually(func() error { return s.check(want, entry, args[2], args[3], args[4]) })
		if err != nil {
			return err
		}
	}
	if took := time.Since(began); took > limit {
		return fmt.Errorf("took %s, more than %s", took, limit)
	}
	return nil
}

// loadRun is load in the background.
type loadRun struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	counts map[string]int
	ids    []string
	worst  error
}

// startLoad: load NAME ENTRY[,ENTRY...] METHOD PATH KEY WORKERS
func startLoad(s *stage, ts *testscript.TestScript, args []string) error {
	workers, err := strconv.Atoi(args[5])
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	run := &loadRun{cancel: cancel, counts: make(map[string]int)}
	s.loads[args[0]] = run
	entries := strings.Split(args[1], ",")
	for worker := range workers {
		run.group.Go(func() {
			for i := worker; ctx.Err() == nil; i++ {
				g, err := s.send(context.Background(), entries[i%len(entries)], args[2], args[3], args[4])
				run.note(g, err)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return nil
}

func (l *loadRun) note(g got, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, g.id)
	kind := strconv.Itoa(g.status)
	if g.status != http.StatusOK {
		kind += "/" + g.outcome
	}
	if err != nil {
		kind, l.worst = "error", err
	}
	if g.status == http.StatusOK && !g.whole {
		kind = "torn"
	}
	l.counts[kind]++
}

// endLoad: loaded NAME KIND=LIMIT... ends a load, prints its counts, and allows
// nothing but 200 and the named kinds up to their limits.
func endLoad(s *stage, ts *testscript.TestScript, args []string) error {
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
			return fmt.Errorf("load %s: %v, last error %v", args[0], run.counts, run.worst)
		}
	}
	return s.checkOnce(run.ids)
}

// checkOnce expects that no POST ran twice.
func (s *stage) checkOnce(ids []string) error {
	runs := make(map[string]int)
	for _, t := range s.targets {
		for id, n := range t.RunsByID() {
			runs[id] += n
		}
		if t.LeakedKeys() > 0 {
			return fmt.Errorf("%s saw a caller's key", t.Name())
		}
	}
	for _, id := range ids {
		if strings.HasPrefix(id, "once") && runs[id] > 1 {
			return fmt.Errorf("request %s ran %d times", id, runs[id])
		}
	}
	return nil
}

// streamRun is a long answer in the background.
type streamRun struct {
	ended chan error
}

// startStream: stream NAME ENTRY PATH KEY starts to read a long answer.
func startStream(s *stage, _ *testscript.TestScript, args []string) error {
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
	run := &streamRun{ended: make(chan error, 1)}
	s.streams[args[0]] = run
	go func() {
		defer response.Body.Close()
		_, err := io.Copy(io.Discard, response.Body)
		run.ended <- err
	}()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stream: status %d", response.StatusCode)
	}
	return nil
}

// awaitCutoff: cutoff NAME LIMIT expects a stream to be cut off visibly in time.
func awaitCutoff(s *stage, ts *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	select {
	case err := <-s.streams[args[0]].ended:
		if err == nil {
			return fmt.Errorf("stream ended as if it were whole")
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("stream goes on after %s", limit)
	}
}
