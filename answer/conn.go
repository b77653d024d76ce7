package answer

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrBroken means that a connection ended otherwise than by the peer's regular end.
var ErrBroken = errors.New("the connection broke off")

// Conn is a connection whose Read returns io.EOF only if the peer has ended it in order. The
// operating system reports a reset once: if a write learns of it first, the next read sees what
// looks like a regular end.
type Conn struct {
	net.Conn

	// mu is held during each write.
	mu sync.Mutex
	// failed is set if a write failed or this side closed the connection.
	failed atomic.Bool
	// ended is set once the peer's end was read, which interrupts a write that still runs.
	ended atomic.Bool
}

// NewConn returns a connection over conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && !(c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded)) {
		c.failed.Store(true)
	}
	return n, err
}

// Failed reports whether a write has failed, or this side has closed the connection.
func (c *Conn) Failed() bool { return c.failed.Load() }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.failed.Store(true)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && !c.endedInOrder() {
		err = ErrBroken
	}
	return n, err
}

// endedInOrder reports whether nothing had failed when the peer's end was read. A write that is
// still running may just have learned of a reset, so it is waited for.
func (c *Conn) endedInOrder() bool {
	c.ended.Store(true)
	// Nobody waits for what a blocked write still sends; a deadline in the past ends it.
	c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failed.Load()
}
