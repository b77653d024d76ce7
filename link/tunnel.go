package link

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Open opens a connection through a VM. It is a stream of the session with that VM, whose hello
// has the address.
func (t *transport) Open(vm, addr string) (net.Conn, error) {
	if err := t.ctx.Err(); err != nil {
		return nil, err
	}
	if t.options.Drop(vm) {
		return nil, ErrDropped
	}
	p := t.peer(vm)
	session, conn, err := p.connect()
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, err
	}
	tunnel := &openedTunnel{Stream: stream, remove: conn.add(stream)}
	hello := &wire.Hello{Vm: t.options.VM, Version: wire.Version, Tunnel: addr}
	if err := p.write(stream, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}, 0); err != nil {
		tunnel.Close()
		return nil, err
	}
	stream.SetWriteDeadline(time.Time{})
	return tunnel, nil
}

// openedTunnel is the near end of a tunnel. Close ends a Read that waits, which a stream does
// only when its far end is closed as well.
type openedTunnel struct {
	*yamux.Stream
	remove func()
	once   sync.Once
}

// Close implements net.Conn.
func (t *openedTunnel) Close() error {
	t.once.Do(func() {
		t.SetReadDeadline(past)
		t.remove()
	})
	return t.Stream.Close()
}

// servedTunnel is the far end of a tunnel, of which some bytes may have been read ahead.
type servedTunnel struct {
	*yamux.Stream
	reader *bufio.Reader
}

// Read implements net.Conn.
func (t *servedTunnel) Read(p []byte) (int, error) { return t.reader.Read(p) }
