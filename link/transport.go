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

// mesh is the Link over yamux.
type mesh struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu       sync.Mutex
	addrs    map[string]netip.AddrPort
	peers    map[string]*peer
	sessions map[*yamux.Session]struct{}

	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	dropped          atomic.Uint64
}

func newMesh(listener net.Listener, o Options) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{
		options:  o,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		addrs:    make(map[string]netip.AddrPort),
		peers:    make(map[string]*peer),
		sessions: make(map[*yamux.Session]struct{}),
	}
	m.group.Go(m.accept)
	return m
}

// String names the implementation and its address.
func (m *mesh) String() string { return "yamux on " + m.listener.Addr().String() }

// Send queues a message for a VM.
func (m *mesh) Send(to string, e *wire.Envelope) bool {
	if m.ctx.Err() != nil || m.options.Drop(to) {
		m.dropped.Add(1)
		return false
	}
	if m.enqueue(to, queued{e, time.Now()}) {
		return true
	}
	m.dropped.Add(1)
	return false
}

// enqueue hands a message to the peer's sender. The lock is held, so that the
// sender does not end for lack of work in between.
func (m *mesh) enqueue(to string, q queued) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.peerLocked(to).queue <- q:
		return true
	default:
		return false
	}
}

// addr returns the address of a VM. A peer whose name is not known yet goes by
// its address.
func (m *mesh) addr(vm string) netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr, ok := m.addrs[vm]; ok {
		return addr
	}
	addr, _ := netip.ParseAddrPort(vm) // invalid for a name
	return addr
}

// nameOf returns the name that the other side of a dialled connection must have,
// or nothing if only its address is known.
func nameOf(vm string) string {
	if _, err := netip.ParseAddrPort(vm); err == nil {
		return ""
	}
	return vm
}

// forget ends the sender of a peer that has nothing to send and no connection.
func (m *mesh) forget(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(p.queue) > 0 || p.connected() {
		return false
	}
	delete(m.peers, p.vm)
	return true
}

// SetPeer sets the address of a VM.
func (m *mesh) SetPeer(vm string, addr netip.AddrPort) {
	m.mu.Lock()
	changed := m.addrs[vm] != addr
	m.addrs[vm] = addr
	p := m.peers[vm]
	m.mu.Unlock()
	if changed && p != nil {
		p.addrChanged()
	}
}

// Reconnect drops the open connection to a VM.
func (m *mesh) Reconnect(vm string) {
	m.mu.Lock()
	p := m.peers[vm]
	m.mu.Unlock()
	if p != nil {
		p.dropSession()
	}
}

// Stats returns the counters.
func (m *mesh) Stats() Stats {
	m.mu.Lock()
	sessions := len(m.sessions)
	m.mu.Unlock()
	return Stats{
		SentMessages:     m.sentMessages.Load(),
		SentBytes:        m.sentBytes.Load(),
		ReceivedMessages: m.receivedMessages.Load(),
		ReceivedBytes:    m.receivedBytes.Load(),
		DroppedMessages:  m.dropped.Load(),
		Sessions:         sessions,
	}
}

// Stop closes all connections and waits for all goroutines.
func (m *mesh) Stop() {
	m.cancel()
	m.listener.Close()
	m.mu.Lock()
	for session := range m.sessions {
		session.Close()
	}
	m.mu.Unlock()
	m.group.Wait()
}

func (m *mesh) peer(vm string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerLocked(vm)
}

// peerLocked returns the sender to a VM, which lives as long as it is used.
func (m *mesh) peerLocked(vm string) *peer {
	p, ok := m.peers[vm]
	if !ok {
		p = &peer{mesh: m, vm: vm, queue: make(chan queued, m.options.QueueSize), offered: make(chan struct{}, 1)}
		m.peers[vm] = p
		m.group.Go(p.run)
	}
	return p
}

// track registers a session so that Stop closes it. It reports false after Stop.
func (m *mesh) track(s *yamux.Session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return false
	}
	m.sessions[s] = struct{}{}
	return true
}

func (m *mesh) untrack(s *yamux.Session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s)
}

func (m *mesh) accept() {
	for {
		conn, err := m.listener.Accept()
		if m.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(leastBackoff)
			continue
		}
		m.group.Go(func() { m.serveConn(conn) })
	}
}

// serveConn runs the session of an accepted connection.
func (m *mesh) serveConn(conn net.Conn) {
	var state *tls.ConnectionState
	if m.options.Identity != nil {
		secure := tls.Server(conn, m.options.Identity.ServerConfig(cert.RequireClientCert))
		ctx, cancel := context.WithTimeout(m.ctx, handshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			conn.Close()
			return
		}
		s := secure.ConnectionState()
		state, conn = &s, secure
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	m.serveSession(session, state, "")
}

// serveSession reads all streams of a session until it ends. The name of the
// peer is known if this side dialled, and otherwise learned from its hello.
func (m *mesh) serveSession(session *yamux.Session, state *tls.ConnectionState, name string) {
	defer session.Close()
	if !m.track(session) {
		return
	}
	defer m.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		m.group.Go(func() { m.serveStream(session, stream, state, name) })
	}
}

func (m *mesh) serveStream(session *yamux.Session, stream *yamux.Stream, state *tls.ConnectionState, name string) {
	defer stream.Close()
	reader := bufio.NewReader(&countingReader{reader: stream, count: &m.receivedBytes})
	from, err := m.readHello(reader, state, name)
	if err != nil {
		session.Close()
		return
	}
	if name == "" {
		m.peer(from).offer(session)
	}
	for {
		e, err := readEnvelope(reader)
		if err != nil {
			return
		}
		m.receivedMessages.Add(1)
		if s := e.GetStamp(); s != nil {
			m.options.EventLog.Observe(event.Stamp{WallMillis: s.GetWallMillis(), Count: s.GetCount()})
		}
		m.options.Receive(from, e)
	}
}

// readHello reads the first message of a stream and checks the peer's name.
func (m *mesh) readHello(reader *bufio.Reader, state *tls.ConnectionState, name string) (string, error) {
	e, err := readEnvelope(reader)
	if err != nil {
		return "", err
	}
	from := e.GetHello().GetVm()
	if from == "" {
		return "", ErrNoHello
	}
	if name != "" && from != name {
		return "", ErrWrongName
	}
	if state == nil {
		return from, nil
	}
	if err := cert.VerifyName(*state, from); err != nil {
		return "", errors.Wrap(ErrWrongName, err.Error())
	}
	return from, nil
}

func readEnvelope(reader *bufio.Reader) (*wire.Envelope, error) {
	e := &wire.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(reader, e); err != nil {
		return nil, err
	}
	return e, nil
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
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.LogOutput = io.Discard
	return c
}

// stamped returns the envelope with a fresh stamp of this process.
func (m *mesh) stamped(e *wire.Envelope) *wire.Envelope {
	s := m.options.EventLog.Stamp()
	return &wire.Envelope{Stamp: &wire.Stamp{WallMillis: s.WallMillis, Count: s.Count}, Body: e.GetBody()}
}

// encode frames a message.
func encode(e *wire.Envelope) ([]byte, error) {
	size := proto.Size(e)
	if size > maxMessageBytes {
		return nil, errors.Errorf("message of %d bytes is larger than %d", size, maxMessageBytes)
	}
	buffer := make([]byte, 0, size+binaryMaxVarint)
	return appendFramed(buffer, e, size)
}
