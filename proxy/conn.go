package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/answer"
)

// errConnAborted is returned by writes to a connection that was aborted.
var errConnAborted = errors.New("connection was aborted")

// answerWait is how long a write that failed keeps this to itself while an answer that has arrived
// before it is read. net/http drops what it has not read yet as soon as it learns of the failure.
const answerWait = 250 * time.Millisecond

// countingConn counts the bytes written to a connection. After abort the count is final,
// so that it tells exactly whether a request has left this VM. It passes on only what is an
// answer to a request that was written.
type countingConn struct {
	*answer.Conn

	mu      sync.Mutex
	written uint64
	aborted bool
	// check is called before the first byte of a request is written, and refusal is its error.
	check   func() error
	refusal error

	// scanMu is taken after mu.
	scanMu    sync.Mutex
	scanner   answer.Scanner
	readEnded bool
	// settled is closed with readEnded, when nothing more will be read.
	settled chan struct{}
}

func newCountingConn(conn net.Conn) *countingConn {
	return &countingConn{Conn: answer.NewConn(conn), settled: make(chan struct{})}
}

// begin expects the answer to a request that is about to be written. If the connection is not
// where a new answer can begin, or check returns an error, it is closed, and no byte of the request
// leaves this VM.
func (c *countingConn) begin(method string, check func() error) {
	c.mu.Lock()
	c.check = check
	c.mu.Unlock()
	c.scanMu.Lock()
	err := c.scanner.Begin(method)
	c.scanMu.Unlock()
	if err != nil {
		c.abort()
	}
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	if err := c.scanError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	n, scanErr := c.scanner.Scan(p[:n])
	if scanErr != nil {
		err = scanErr
	}
	if err != nil {
		c.endReadLocked()
	}
	return n, err
}

func (c *countingConn) scanError() error {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	return c.scanner.Err()
}

// endReadLocked releases a write that failed: nothing more will be read.
func (c *countingConn) endReadLocked() {
	if !c.readEnded {
		c.readEnded = true
		close(c.settled)
	}
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && c.refused() == nil {
		c.awaitAnswer()
	}
	return n, err
}

func (c *countingConn) write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return 0, errConnAborted
	}
	if c.check != nil {
		c.refusal = c.check()
		c.check = nil
	}
	if c.refusal != nil {
		return 0, c.refusal
	}
	n, err := c.Conn.Write(p)
	c.written += uint64(n)
	return n, err
}

// refused returns why the request was not to be sent any more, or nil.
func (c *countingConn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusal
}

// awaitAnswer waits, for a limited time, until the answer has been read or cannot be.
func (c *countingConn) awaitAnswer() {
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-c.settled:
	case <-timer.C:
	}
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	c.endReadLocked()
	return err
}

func (c *countingConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// abort prevents further writes, closes the connection and returns the number of bytes
// written.
func (c *countingConn) abort() uint64 {
	// A blocked write holds the lock; a deadline in the past unblocks it.
	c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	c.Close()
	return c.written
}
