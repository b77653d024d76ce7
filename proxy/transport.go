package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
)

const (
	// connectTimeout bounds the opening of a connection: some round trips between regions.
	// A request that has none yet has not run and goes elsewhere; a lost packet of the
	// opening would be sent again after a second only.
	connectTimeout = 250 * time.Millisecond
	tcpKeepAlive   = 5 * time.Second
	// idleLimit is how long an idle connection is kept.
	idleLimit = 10 * time.Second
	// spareConnections is the part of a backend server's connections that
	// entries leave free for health checks and for entries that start.
	spareConnections = 0.2
	readBufferBytes  = 8 << 10
)

// errAbandoned is returned by writes to a connection whose request was given up.
var errAbandoned = errors.New("request was given up")

// countedConn is a connection that knows how many bytes were written to it and
// can be shut for writing at an exact point.
type countedConn struct {
	net.Conn

	mu        sync.Mutex
	written   uint64
	abandoned bool
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return 0, errAbandoned
	}
	n, err := c.Conn.Write(p)
	c.written += uint64(n)
	return n, err
}

// count returns the number of bytes written so far.
func (c *countedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// abandon lets no further byte out, closes the connection and returns the
// number of bytes written.
func (c *countedConn) abandon() uint64 {
	// A write that is blocked holds the lock; the deadline ends it.
	c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	c.Conn.Close()
	return c.written
}

// transports holds the connections to every backend server.
type transports struct {
	entries func() int
	// keep is how long idle connections are kept where requests that must run once
	// use them too; 0 if they do not.
	keep time.Duration

	mu      sync.Mutex
	targets map[string]*targetTransport
}

// targetTransport holds the connections to one backend server.
type targetTransport struct {
	addr string
	// reused keeps connections open between requests.
	reused *http.Transport
	// fresh opens a connection for every request.
	fresh *http.Transport
}

func newTransports(entries func() int, keep time.Duration) *transports {
	return &transports{entries: entries, keep: keep, targets: make(map[string]*targetTransport)}
}

// of returns the connections to a backend server.
func (t *transports) of(target fleet.Target) *targetTransport {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.targets[target.Name]
	if ok && known.addr == target.Addr {
		return known
	}
	if ok {
		known.reused.CloseIdleConnections()
	}
	limit := t.connectionLimit(target)
	known = &targetTransport{addr: target.Addr, reused: newTransport(limit), fresh: newTransport(limit)}
	known.fresh.DisableKeepAlives = true
	if t.keep > 0 {
		// One set of connections for all requests, given up well before the backend
		// server closes them: a request that crosses the close may be lost.
		known.reused = newTransport(2 * limit)
		known.reused.IdleConnTimeout = t.keep
		known.fresh = known.reused
	}
	t.targets[target.Name] = known
	return known
}

// connectionLimit returns this entry's share of a backend server's connections.
func (t *transports) connectionLimit(target fleet.Target) int {
	if target.Connections == 0 {
		return 0
	}
	share := float64(target.Connections) * (1 - spareConnections) / float64(max(1, t.entries()))
	return max(1, int(share/2)) // two transports
}

func newTransport(limit int) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: tcpKeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: max(limit, 1),
		IdleConnTimeout:     idleLimit,
		ReadBufferSize:      readBufferBytes,
		WriteBufferSize:     readBufferBytes,
	}
}

// close closes all idle connections.
func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.targets {
		known.reused.CloseIdleConnections()
		known.fresh.CloseIdleConnections()
	}
}
