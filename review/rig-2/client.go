package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

var requestNumber atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requestNumber.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// client is a stand-in for a client, which keeps its connections.
type client struct {
	rig  *rig
	http *http.Client
	// addr is the front address of the entry to which the client is connected.
	addr string
}

func (r *rig) newClient(entry *process) *client {
	return &client{rig: r, addr: r.addr(entry, "listen.front"), http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// idempotencyKey is a header that clients may send; it stays the same when a request is sent again.
func idempotencyKey(value string) func(http.Header) {
	return func(h http.Header) { h.Set("Idempotency-Key", value) }
}

// send sends one client attempt and reads the answer.
func (c *client) send(id, method, path string, body []byte, deadline time.Duration, more ...func(http.Header)) answer {
	request, err := http.NewRequest(method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.Deadline, fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Token "+key)
	for _, set := range more {
		set(request.Header)
	}
	c.rig.record.printf("%s %s %s sent to %s", id, method, path, c.addr)
	httpClient := *c.http
	httpClient.Timeout = deadline
	response, err := httpClient.Do(request)
	if err != nil {
		c.rig.record.printf("%s no answer: %s", id, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	c.rig.record.printf("%s answered %d, %d bytes, seal %q, error %v", id, response.StatusCode, len(data), response.Header.Get(names.Seal), err)
	return answer{response.StatusCode, response.Header, data, err}
}
