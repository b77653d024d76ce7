package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
)

// DialFunc opens a connection to the address of a backend server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

const (
	// connectTimeout and tcpKeepAlive are those of connections that no dial function opens.
	connectTimeout  = 250 * time.Millisecond
	tcpKeepAlive    = 5 * time.Second
	idleConnTimeout = 10 * time.Second
	// reservedConnShare is the share of a backend server's connections left free for
	// health checks and for entries that have just started.
	reservedConnShare = 0.2
	ioBufferBytes     = 8 << 10
	// maxResponseHeaderBytes bounds the head of a response, and the bytes read of one that
	// never ends.
	maxResponseHeaderBytes = 64 << 10
)

// transports holds the HTTP transports of all backend servers.
type transports struct {
	entryCount func() int
	dial       DialFunc
	// sharedIdleTimeout is the idle time-out of connections that non-idempotent requests
	// reuse as well; 0 opens a new connection for each of these requests.
	sharedIdleTimeout time.Duration

	mu      sync.Mutex
	targets map[string]*targetTransport
}

// targetTransport holds the HTTP transports of one backend server.
type targetTransport struct {
	addr string
	// keepAlive reuses connections.
	keepAlive *http.Transport
	// singleUse opens a new connection for every request.
	singleUse *http.Transport
}

func newTransports(entryCount func() int, dial DialFunc, sharedIdleTimeout time.Duration) *transports {
	return &transports{entryCount: entryCount, dial: dial, sharedIdleTimeout: sharedIdleTimeout, targets: make(map[string]*targetTransport)}
}

// forTarget returns the transports of a backend server. They are replaced if its address
// has changed.
func (t *transports) forTarget(target fleet.Target) *targetTransport {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached, ok := t.targets[target.Name]
	if ok && cached.addr == target.Addr {
		return cached
	}
	if ok {
		cached.keepAlive.CloseIdleConnections()
	}
	limit := t.connectionLimit(target)
	cached = &targetTransport{addr: target.Addr, keepAlive: t.newTransport(limit), singleUse: t.newTransport(limit)}
	cached.singleUse.DisableKeepAlives = true
	if t.sharedIdleTimeout > 0 {
		// All requests share one transport. Its idle time-out must be well below the
		// backend server's, because a request that crosses the close may be lost.
		cached.keepAlive = t.newTransport(2 * limit)
		cached.keepAlive.IdleConnTimeout = t.sharedIdleTimeout
		cached.singleUse = cached.keepAlive
	}
	t.targets[target.Name] = cached
	return cached
}

// connectionLimit returns the connection limit of each transport: this entry's share of
// the backend server's connections, divided between both transports.
func (t *transports) connectionLimit(target fleet.Target) int {
	if target.Connections == 0 {
		return 0
	}
	share := float64(target.Connections) * (1 - reservedConnShare) / float64(max(1, t.entryCount()))
	return max(1, int(share/2))
}

// directDial opens a TCP connection.
func directDial() DialFunc {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: tcpKeepAlive}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
}

func (t *transports) newTransport(limit int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			conn, err := t.dial(ctx, addr)
			if err != nil {
				return nil, err
			}
			return newCountingConn(conn), nil
		},
		DisableCompression:  true,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: max(limit, 1),
		IdleConnTimeout:     idleConnTimeout,
		ReadBufferSize:      ioBufferBytes,
		WriteBufferSize:     ioBufferBytes,
		// The default of net/http is 10 MB for each attempt.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (t *transports) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, cached := range t.targets {
		cached.keepAlive.CloseIdleConnections()
		cached.singleUse.CloseIdleConnections()
	}
}
