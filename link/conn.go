package link

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection of a session. It ends the reads of the session's streams when
// the session closes it.
//
// A yamux stream whose session shuts down polls without a pause until the session has closed
// all streams, for which other goroutines have to run first. If many connections end at once,
// such as those to a data centre that was cut off, these reads use up the processor time of
// the process for seconds.
type sessionConn struct {
	net.Conn

	mu      sync.Mutex
	closed  bool
	readers map[*yamux.Stream]struct{}
}

func newSessionConn(conn net.Conn) *sessionConn {
	return &sessionConn{Conn: conn, readers: make(map[*yamux.Stream]struct{})}
}

// past is a deadline that has expired.
var past = time.Unix(1, 0)

// add registers a stream whose reads are ended by Close, until the returned function is called.
func (c *sessionConn) add(s *yamux.Stream) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		s.SetReadDeadline(past)
	}
	c.readers[s] = struct{}{}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.readers, s)
	}
}

// Close ends the reads of all streams and closes the connection.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for s := range c.readers {
		s.SetReadDeadline(past)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
