package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/wire"
)

// transport is the Transport over yamux sessions.
type transport struct {
	options    Options
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	addrs    map[string]netip.AddrPort
	peers    map[string]*peer
	sessions map[*yamux.Session]struct{}

	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	dropped          atomic.Uint64
	kinds            kindCounters
}

func newTransport(listener net.Listener, o Options) *transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		options:  o,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		addrs:    make(map[string]netip.AddrPort),
		peers:    make(map[string]*peer),
		sessions: make(map[*yamux.Session]struct{}),
	}
	t.goroutines.Go(t.accept)
	return t
}

// String returns the name of the implementation and its address.
func (t *transport) String() string { return "yamux on " + t.listener.Addr().String() }

// Send queues a message for a VM.
func (t *transport) Send(to string, e *wire.Envelope) bool {
	if t.ctx.Err() != nil || t.options.Drop(to) {
		t.dropped.Add(1)
		return false
	}
	if t.enqueue(to, queuedMessage{e, time.Now()}) {
		return true
	}
	t.dropped.Add(1)
	return false
}

// enqueue adds a message to the peer's queue. It holds the lock so that the peer is not
// removed as idle in between.
func (t *transport) enqueue(to string, q queuedMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.peerLocked(to).queue <- q:
		return true
	default:
		return false
	}
}

// addr returns the address of a VM. The address of a peer whose name is not known yet
// serves as its name.
func (t *transport) addr(vm string) netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	if addr, ok := t.addrs[vm]; ok {
		return addr
	}
	addr, _ := netip.ParseAddrPort(vm) // zero, thus invalid, for a VM name
	return addr
}

// expectedName returns the name that the peer of a dialled connection must have, or an
// empty string if only its address is known.
func expectedName(vm string) string {
	if _, err := netip.ParseAddrPort(vm); err == nil {
		return ""
	}
	return vm
}

// removePeer removes a peer that has no queued messages and no connection. It reports
// whether it did.
func (t *transport) removePeer(p *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(p.queue) > 0 || p.connected() {
		return false
	}
	delete(t.peers, p.vm)
	return true
}

// SetPeer sets the address of a VM.
func (t *transport) SetPeer(vm string, addr netip.AddrPort) {
	t.mu.Lock()
	changed := t.addrs[vm] != addr
	t.addrs[vm] = addr
	p := t.peers[vm]
	t.mu.Unlock()
	if changed && p != nil {
		p.closeAfterAddrChange()
	}
}

// Reconnect closes the open connection to a VM.
func (t *transport) Reconnect(vm string) {
	t.mu.Lock()
	p := t.peers[vm]
	t.mu.Unlock()
	if p != nil {
		p.dropSession()
	}
}

// Stats returns the traffic counters.
func (t *transport) Stats() Stats {
	t.mu.Lock()
	sessions := len(t.sessions)
	t.mu.Unlock()
	kinds := t.kinds.stats()
	sentByKind := make(map[string]uint64)
	for kind, k := range kinds {
		if k.Sent > 0 {
			sentByKind[kind] = k.Sent
		}
	}
	return Stats{
		SentMessages:     t.sentMessages.Load(),
		SentBytes:        t.sentBytes.Load(),
		ReceivedMessages: t.receivedMessages.Load(),
		ReceivedBytes:    t.receivedBytes.Load(),
		DroppedMessages:  t.dropped.Load(),
		Sessions:         sessions,
		SentByKind:       sentByKind,
		Kinds:            kinds,
	}
}

// Stop closes all connections and waits for all goroutines to end.
func (t *transport) Stop() {
	t.cancel()
	t.listener.Close()
	t.mu.Lock()
	for session := range t.sessions {
		session.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

func (t *transport) peer(vm string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerLocked(vm)
}

// peerLocked returns the peer for a VM, and creates and starts it if necessary. The caller
// holds the lock.
func (t *transport) peerLocked(vm string) *peer {
	p, ok := t.peers[vm]
	if !ok {
		p = &peer{transport: t, vm: vm, queue: make(chan queuedMessage, t.options.QueueSize), sessionOpened: make(chan struct{}, 1)}
		t.peers[vm] = p
		t.goroutines.Go(p.run)
	}
	return p
}

// track registers a session so that Stop closes it. It reports false if the transport has
// stopped.
func (t *transport) track(s *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.sessions[s] = struct{}{}
	return true
}

func (t *transport) untrack(s *yamux.Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
}

func (t *transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if t.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(minBackoff)
			continue
		}
		if err := setTimeouts(conn); err != nil {
			conn.Close() // the peer has gone already
			continue
		}
		t.goroutines.Go(func() { t.serveConn(conn) })
	}
}

// serveConn performs the TLS handshake of an accepted connection and serves its session.
func (t *transport) serveConn(conn net.Conn) {
	var state *tls.ConnectionState
	if t.options.Identity != nil {
		tlsConn := tls.Server(conn, t.options.Identity.ServerConfig(cert.RequireClientCert))
		ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
		err := tlsConn.HandshakeContext(ctx)
		cancel()
		if err != nil {
			conn.Close()
			return
		}
		s := tlsConn.ConnectionState()
		state, conn = &s, tlsConn
	}
	sessionConn := newSessionConn(conn)
	session, err := yamux.Server(sessionConn, yamuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	t.serveSession(session, sessionConn, state, "")
}

// serveSession reads all streams of a session until it ends. If name is empty, the peer's
// name is taken from its hello.
func (t *transport) serveSession(session *yamux.Session, conn *sessionConn, state *tls.ConnectionState, name string) {
	defer session.Close()
	if !t.track(session) {
		return
	}
	defer t.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		t.goroutines.Go(func() {
			defer conn.add(stream)()
			t.serveStream(session, conn, stream, state, name)
		})
	}
}

func (t *transport) serveStream(session *yamux.Session, conn *sessionConn, stream *yamux.Stream, state *tls.ConnectionState, name string) {
	defer stream.Close()
	reader := bufio.NewReader(&countingReader{reader: stream, count: &t.receivedBytes})
	hello, err := t.readHello(reader, state, name)
	if err != nil {
		session.Close()
		return
	}
	from := hello.GetVm()
	if name == "" {
		t.peer(from).adoptSession(session, conn)
	}
	if addr := hello.GetTunnel(); addr != "" {
		t.options.Tunnel(from, addr, &servedTunnel{stream, reader})
		return
	}
	for {
		e, size, err := readEnvelope(reader)
		if err != nil {
			return
		}
		t.receivedMessages.Add(1)
		if s := e.GetStamp(); s != nil {
			t.options.EventLog.Observe(event.Stamp{WallMillis: s.GetWallMillis(), Count: s.GetCount()})
		}
		started := time.Now()
		t.options.Receive(from, e)
		t.kinds.addReceived(e, size, time.Since(started))
	}
}

// readHello reads the first message of a stream and verifies the peer's name.
func (t *transport) readHello(reader *bufio.Reader, state *tls.ConnectionState, name string) (*wire.Hello, error) {
	e, _, err := readEnvelope(reader)
	if err != nil {
		return nil, err
	}
	hello := e.GetHello()
	if hello.GetVm() == "" {
		return nil, ErrNoHello
	}
	if name != "" && hello.GetVm() != name {
		return nil, ErrWrongName
	}
	if state == nil {
		return hello, nil
	}
	if err := cert.VerifyName(*state, hello.GetVm()); err != nil {
		return nil, errors.Wrap(ErrWrongName, err.Error())
	}
	return hello, nil
}

// readEnvelope reads a message, and returns it with its size without the length prefix.
func readEnvelope(reader *bufio.Reader) (*wire.Envelope, int, error) {
	e := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(reader, e); err != nil {
		return nil, 0, err
	}
	return e, proto.Size(e), nil
}

// countingReader counts the bytes read from a stream.
type countingReader struct {
	reader io.Reader
	count  *atomic.Uint64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	c.count.Add(uint64(n))
	return n, err
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// withStamp returns the envelope with a new timestamp of the local clock.
func (t *transport) withStamp(e *wire.Envelope) *wire.Envelope {
	s := t.options.EventLog.Stamp()
	return &wire.Envelope{Stamp: &wire.Stamp{WallMillis: s.WallMillis, Count: s.Count}, Body: e.GetBody()}
}

// encode returns a message with its length prefix.
func encode(e *wire.Envelope) ([]byte, error) {
	size := proto.Size(e)
	if size > maxMessageBytes {
		return nil, errors.Errorf("message of %d bytes exceeds the limit of %d bytes", size, maxMessageBytes)
	}
	buffer := make([]byte, 0, size+maxLengthPrefix)
	return appendFrame(buffer, e, size)
}
