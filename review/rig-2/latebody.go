package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// playLateBody sends one upload again and again that crashes each target that begins to run it. Its
// body follows its head after a moment, as over a slow link.
func playLateBody(r *rig) (verdict, error) {
	const (
		targets  = 7
		again    = time.Second
		down     = 2 * time.Second
		bodyWait = 1600 * time.Millisecond
		work     = 30 * time.Millisecond
		span     = 40 * time.Second
		deadline = 1500 * time.Millisecond
		contact  = 3 * time.Second
		most     = 3
		path     = "/commit/licence-scan"
	)
	var mu sync.Mutex
	var crashes []time.Time
	handle := func(t *target, w http.ResponseWriter, q *http.Request) {
		if q.URL.Path != path || !r.trouble {
			t.run(w, q, work, http.StatusOK)
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		r.record.printf("%s begins to run %s and crashes", t.name(), q.Header.Get(names.RequestID))
		t.crash(down)
		panic(http.ErrAbortHandler)
	}
	if err := r.startAll(targets, handle); err != nil {
		return verdict{}, err
	}
	entries := r.withRole("entry")
	end := time.Now().Add(span)
	var group sync.WaitGroup
	others, lost := 0, 0
	for i := range 2 * len(entries) {
		c := r.newClient(entries[i%len(entries)])
		group.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := c.send(id, http.MethodPost, "/commit/17", []byte("approve loan "+id), deadline)
				mu.Lock()
				others++
				if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
					lost++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	uploads := 0
	for ; time.Now().Before(end); uploads++ {
		status := r.lateUpload(entries[uploads%len(entries)], path, bodyWait, deadline)
		r.record.printf("upload %d answered %s", uploads+1, status)
		time.Sleep(again)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i := 3; i < len(crashes); i++ {
		if crashes[i].Sub(crashes[2]) > contact {
			late++
		}
	}
	text := fmt.Sprintf("the upload was sent %d times and crashed targets %d times, %d of them later than %s after the third crash; %d of %d requests of others ended with neither a success nor a promise",
		uploads, len(crashes), late, contact, lost, others)
	if late > most {
		r.record.printf("BUDGET: %s", text)
	}
	return verdict{late > most, text}, nil
}

// lateUpload sends an upload in chunks, whose body follows its head after a while, and returns how it
// was answered.
func (r *rig) lateUpload(entry *process, path string, wait, deadline time.Duration) string {
	const chunk, chunks = 8 << 10, 9
	conn, err := net.Dial("tcp", r.addr(entry, "listen.front"))
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Token %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		path, host, names.RequestID, newID(), names.Deadline, deadline.Milliseconds(), key)
	time.Sleep(wait)
	for range chunks {
		fmt.Fprintf(conn, "%x\r\n%s\r\n", chunk, make([]byte, chunk))
	}
	io.WriteString(conn, "0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	return response.Status
}
