package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/answer"
)

// A relay answers a tunnel with one status byte. The bytes of the caller's side follow as they
// are. Those of the server come in frames of a two-byte length and as many bytes. An empty frame
// is the server's regular end of the connection: without it, an answer that broke off would look
// complete.

const (
	statusConnected   byte = 0
	statusUnreachable byte = 1
	statusRefused     byte = 2

	frameHeaderBytes = 2
	maxFrameBytes    = 16 << 10
)

// errBroken means that the relay or its connection to the server ended without the server's
// regular end.
var errBroken = errors.New("the connection through the relay broke off")

// openTunnel connects to a server through a relay.
func (d *Dialer) openTunnel(ctx context.Context, vm, addr string) (net.Conn, error) {
	type opened struct {
		conn net.Conn
		err  error
	}
	results := make(chan opened, 1)
	go func() {
		conn, err := d.handshake(vm, addr)
		results <- opened{conn, err}
	}()
	timer := time.NewTimer(tunnelTimeout)
	defer timer.Stop()
	var err error
	select {
	case r := <-results:
		if r.err != nil {
			return nil, r.err
		}
		d.mu.Lock()
		d.open[vm]++
		d.mu.Unlock()
		return &tunnelConn{Conn: r.conn, dialer: d, vm: vm}, nil
	case <-timer.C:
		err = context.DeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	go func() {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}()
	return nil, err
}

// handshake opens a tunnel and waits for the relay's status.
func (d *Dialer) handshake(vm, addr string) (net.Conn, error) {
	conn, err := d.opener.Open(vm, addr)
	if err != nil {
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(connectTimeout))
	var status [1]byte
	if _, err := io.ReadFull(conn, status[:]); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Time{})
	switch status[0] {
	case statusConnected:
		return conn, nil
	case statusUnreachable:
		err = ErrUnreachable
	default:
		err = ErrRefused
	}
	conn.Close()
	return nil, err
}

// tunnelConn is a connection to a server through a relay.
type tunnelConn struct {
	net.Conn
	dialer *Dialer
	vm     string
	once   sync.Once
	// left is the rest of the present frame, err the end of the connection.
	left int
	err  error
}

// Relay returns the VM through which the connection leads.
func (c *tunnelConn) Relay() string { return c.vm }

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		var header [frameHeaderBytes]byte
		if _, err := io.ReadFull(c.Conn, header[:]); err != nil {
			return 0, c.end(err)
		}
		if c.left = int(binary.BigEndian.Uint16(header[:])); c.left == 0 {
			c.err = io.EOF
			return 0, io.EOF
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		return n, c.end(err)
	}
	return n, nil
}

// end keeps the error with which the connection has ended. The end of the tunnel alone is not
// that of the server's answer.
func (c *tunnelConn) end(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		err = errBroken
	}
	c.err = err
	return err
}

// Close implements net.Conn.
func (c *tunnelConn) Close() error {
	c.once.Do(func() {
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		if c.dialer.open[c.vm]--; c.dialer.open[c.vm] == 0 {
			delete(c.dialer.open, c.vm)
		}
	})
	return c.Conn.Close()
}

// Serve serves a tunnel of another entry until it ends.
func (d *Dialer) Serve(_, addr string, tunnel net.Conn) {
	server, status := d.connectFor(addr)
	if server != nil {
		defer d.endServed()
		defer server.Close()
	}
	if _, err := tunnel.Write([]byte{status}); err != nil || server == nil {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		io.Copy(server, tunnel)
		if server.Failed() {
			// The server takes no more, but what it has sent before is still passed on.
			io.Copy(io.Discard, tunnel)
		}
		// The entry has closed the tunnel or was lost, so nobody waits for an answer.
		server.Close()
	}()
	if copyFrames(tunnel, server) == nil {
		// The entry closes the tunnel when it has read the end.
		<-done
	}
	tunnel.Close()
	server.Close()
	<-done
}

// connectFor connects to a server for another entry.
func (d *Dialer) connectFor(addr string) (*answer.Conn, byte) {
	if !d.options.IsServer(addr) || !d.beginServed() {
		return nil, statusRefused
	}
	conn, err := d.connect(context.Background(), addr, tunnelTimeout)
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.served--
		d.path.failed(addr, now)
		return nil, statusUnreachable
	}
	d.path.connected()
	// A reset must not reach the entry as the server's regular end.
	return answer.NewConn(d.track(conn)), statusConnected
}

// beginServed counts a tunnel and reports whether this VM can serve it.
func (d *Dialer) beginServed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.path.cutOff || d.served >= maxTunnels {
		return false
	}
	d.served++
	return true
}

func (d *Dialer) endServed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served--
}

// copyFrames copies what a server sends as frames, with an empty one for its regular end.
func copyFrames(tunnel io.Writer, server io.Reader) error {
	buffer := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := server.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := tunnel.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = tunnel.Write(make([]byte, frameHeaderBytes))
			return err
		}
		if err != nil {
			return err
		}
	}
}
