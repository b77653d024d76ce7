package relay

import (
	"net"
	"time"
)

// directConn is a connection without a relay. It shows whether a request waits for an answer.
type directConn struct {
	net.Conn
	dialer *Dialer
	// waitingSince is the time of the first write since the last read, zero if there was none;
	// guarded by the dialer's lock.
	waitingSince time.Time
}

// track returns a connection that counts for the belief whether this VM is cut off. The caller
// holds the lock.
func (d *Dialer) track(conn net.Conn) net.Conn {
	c := &directConn{Conn: conn, dialer: d}
	d.conns[c] = struct{}{}
	return c
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.dialer.options.Clock.Now()
		c.dialer.mu.Lock()
		c.waitingSince = time.Time{}
		c.dialer.path.lastRead = now
		c.dialer.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	now := c.dialer.options.Clock.Now()
	c.dialer.mu.Lock()
	if c.waitingSince.IsZero() {
		c.waitingSince = now
	}
	c.dialer.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	c.dialer.mu.Lock()
	delete(c.dialer.conns, c)
	c.dialer.mu.Unlock()
	return c.Conn.Close()
}

// quietLocked reports whether a request has waited for some time, in which nothing has arrived
// from any server.
func (d *Dialer) quietLocked(after time.Duration, now time.Time) bool {
	if now.Sub(d.path.lastRead) < after {
		return false
	}
	for c := range d.conns {
		if !c.waitingSince.IsZero() && now.Sub(c.waitingSince) >= after {
			return true
		}
	}
	return false
}
