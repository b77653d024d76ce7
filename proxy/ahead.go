package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxAhead bounds the bytes that are read ahead on one connection. It holds some dozens of
	// requests without a body; a caller that has sent more is not noticed to leave until the first
	// of them have been answered.
	maxAhead = 16 << 10
	// aheadChunk is the size of one read.
	aheadChunk = 2 << 10
	// lingerTime is how long a connection whose caller has sent ahead is read from after its last
	// answer. The kernel discards an answer that is not sent yet if bytes that nobody has read
	// are waiting when the connection is closed.
	lingerTime = 500 * time.Millisecond
)

// errCallerLeft is the cause of the end of a connection's requests.
var errCallerLeft = errors.New("the caller has closed its connection")

// WatchCallers makes a server notice that a caller leaves although it has sent further requests
// behind the one that is running. It must be called before the server serves the listener that it
// returns. Connections with TLS are served as they are.
//
// The load it answers: callers send safe requests ahead of the answers. While one runs, net/http
// reads a single byte, so as to notice the end of the connection, and no further. If that byte
// belongs to a next request, the caller may leave and backend servers still work on its request,
// and then on each of those behind it. So once a byte has been read ahead, the connection is read
// on into a bounded buffer, and its end cancels all of its requests.
func WatchCallers(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		conn, watched := c.(*aheadConn)
		if !watched {
			return ctx
		}
		ctx, conn.cancel = context.WithCancelCause(ctx)
		return ctx
	}
	return aheadListener{l}
}

type aheadListener struct{ net.Listener }

func (l aheadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if plain, ok := c.(*net.TCPConn); ok && err == nil {
		conn := &aheadConn{TCPConn: plain, cancel: func(error) {}}
		conn.changed.L = &conn.mu
		return conn, nil
	}
	return c, err
}

// aheadConn is the connection of a caller.
type aheadConn struct {
	*net.TCPConn
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// changed is signalled when buffer, err or reading changes.
	changed sync.Cond
	// buffer holds the bytes that were read ahead, and err why no more are read.
	buffer  []byte
	err     error
	reading bool
	// ahead is set from the first byte that is read ahead until all of them have been taken.
	ahead  bool
	closed bool
}

// Read returns what was read ahead or, if there is nothing, reads from the connection. Only
// net/http's read for the end of the connection asks for a single byte.
func (c *aheadConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.reading && len(c.buffer) == 0 {
		c.changed.Wait()
	}
	n, err := 0, c.err
	switch {
	case len(c.buffer) > 0:
		n, err = copy(p, c.buffer), nil
		c.buffer = c.buffer[n:]
	case err == nil:
		c.ahead, c.buffer = false, nil
		c.mu.Unlock()
		n, err = c.TCPConn.Read(p)
		c.mu.Lock()
	}
	if n == 1 && len(p) == 1 {
		c.startLocked()
	}
	return n, err
}

// startLocked starts to read ahead if there is room.
func (c *aheadConn) startLocked() {
	c.ahead = true
	if c.reading || c.closed || c.err != nil || len(c.buffer) > maxAhead-aheadChunk {
		return
	}
	c.reading = true
	go c.readAhead()
}

// readAhead reads until the buffer is full, a deadline passes or the connection ends.
func (c *aheadConn) readAhead() {
	chunk := make([]byte, aheadChunk)
	for reading := true; reading; {
		n, err := c.TCPConn.Read(chunk)
		reading = c.add(chunk[:n], err)
	}
}

// add adds what was read ahead and reports whether to read on. What was sent by a caller that has
// left is dropped. A deadline that passes only ends the reading ahead: it may be changed before
// Read is called again, which then sees for itself.
func (c *aheadConn) add(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffer = append(c.buffer, data...)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.buffer, c.err = nil, err
		c.cancel(errCallerLeft)
	}
	c.reading = err == nil && len(c.buffer) <= maxAhead-aheadChunk
	c.changed.Broadcast()
	return c.reading
}

// Close closes the connection, once the caller of one that was read ahead has closed it too or
// lingerTime has passed.
func (c *aheadConn) Close() error {
	c.mu.Lock()
	linger := c.ahead && !c.closed && c.err == nil
	c.closed = true
	c.mu.Unlock()
	if !linger || c.TCPConn.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// linger reads what the caller still sends, and closes the connection.
func (c *aheadConn) linger() {
	defer c.TCPConn.Close()
	if c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		io.Copy(io.Discard, c.TCPConn) // until the caller closes it or the deadline
	}
}
