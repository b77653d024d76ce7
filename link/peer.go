package link

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

// maxLengthPrefix is the maximum size of a frame's length prefix in bytes.
const maxLengthPrefix = binary.MaxVarintLen32

// queuedMessage is a message that waits to be sent.
type queuedMessage struct {
	message    *wire.Envelope
	enqueuedAt time.Time
}

// peer sends the queued messages for one VM.
type peer struct {
	transport *transport
	vm        string
	queue     chan queuedMessage

	mu          sync.Mutex
	session     *yamux.Session // open session for sending, dialled by either side
	conn        *sessionConn   // of session
	dialledHere bool           // session was dialled by this process
	stream      *yamux.Stream
	// dialling is held by the one goroutine that dials.
	dialling sync.Mutex
	// cancelDial cancels a dial in progress.
	cancelDial context.CancelFunc
	// nextDialTimeout is the timeout of the next dial.
	nextDialTimeout time.Duration
	// sessionOpened receives a value when the peer has opened a session.
	sessionOpened chan struct{}
}

// closeAfterAddrChange closes a connection that was dialled to the old address.
func (p *peer) closeAfterAddrChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialledHere {
		p.closeLocked()
	}
}

// connected reports whether there is an open session.
func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil && !p.session.IsClosed()
}

// adoptSession uses a session that the peer opened for sending, unless there is an open
// one that this process dialled. It cancels a dial in progress.
func (p *peer) adoptSession(s *yamux.Session, conn *sessionConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() && p.dialledHere {
		return
	}
	if p.session == s {
		return
	}
	p.stream = nil
	p.session, p.conn, p.dialledHere = s, conn, false
	if p.cancelDial != nil {
		p.cancelDial()
	}
	select {
	case p.sessionOpened <- struct{}{}:
	default:
	}
}

func (p *peer) dropSession() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked()
}

func (p *peer) closeLocked() {
	if p.session != nil {
		p.session.Close()
	}
	p.session, p.conn, p.stream, p.dialledHere = nil, nil, nil, false
}

// run sends messages until the transport stops or the peer is removed as idle.
func (p *peer) run() {
	backoff := minBackoff
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case <-idle.C:
			p.closeIdle()
			if p.transport.removePeer(p) {
				return
			}
			idle.Reset(idleTimeout)
		case q := <-p.queue:
			idle.Reset(idleTimeout)
			if time.Since(q.enqueuedAt) > maxQueueAge {
				p.transport.dropped.Add(1)
				continue
			}
			sent, replaced := p.send(q)
			if sent {
				backoff = minBackoff
				continue
			}
			p.transport.dropped.Add(1)
			if replaced {
				continue
			}
			p.waitBackoff(backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// waitBackoff waits after a failure and then discards the messages queued meanwhile:
// they are out of date, and higher-level protocols retransmit what they need. The wait
// ends early, and nothing is discarded, if the peer opens a session.
func (p *peer) waitBackoff(d time.Duration) {
	jitter := time.Duration(rand.Int64N(int64(d)))
	select {
	case <-p.transport.ctx.Done():
		return
	case <-p.sessionOpened:
		return
	case <-time.After(d/2 + jitter):
	}
	for {
		select {
		case <-p.queue:
			p.transport.dropped.Add(1)
		default:
			return
		}
	}
}

// send writes one message to the peer's stream and reports whether it succeeded. If not,
// replaced tells that the connection was closed or exchanged on purpose meanwhile, so that the
// peer is not known to be unreachable.
func (p *peer) send(q queuedMessage) (sent, replaced bool) {
	stream, err := p.openStream()
	if err != nil {
		return false, false
	}
	if err := p.write(stream, p.transport.withStamp(q.message), time.Since(q.enqueuedAt)); err != nil {
		p.mu.Lock()
		replaced = p.stream != stream
		p.mu.Unlock()
		if !replaced {
			p.dropSession()
		}
		return false, replaced
	}
	return true, false
}

// write writes a message that waited in the queue.
func (p *peer) write(stream *yamux.Stream, e *wire.Envelope, queued time.Duration) error {
	data, err := encode(e)
	if err != nil {
		return err
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := stream.Write(data)
	p.transport.sentBytes.Add(uint64(n))
	if err == nil {
		p.transport.sentMessages.Add(1)
		p.transport.kinds.addSent(e, n, queued)
	}
	return err
}

// openStream returns the open stream to the peer, or opens one on an open or new session.
func (p *peer) openStream() (*yamux.Stream, error) {
	p.mu.Lock()
	stream := p.stream
	if p.session != nil && p.session.IsClosed() {
		p.closeLocked()
		stream = nil
	}
	p.mu.Unlock()
	if stream != nil {
		return stream, nil
	}
	session, _, err := p.connect()
	if err != nil {
		return nil, err
	}
	stream, err = session.OpenStream()
	if err != nil {
		p.dropSession()
		return nil, err
	}
	hello := &wire.Hello{Vm: p.transport.options.VM, Version: wire.Version}
	if err := p.write(stream, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}, 0); err != nil {
		p.dropSession()
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == session {
		p.stream = stream
	}
	return stream, nil
}

// connect returns the open session, or dials one.
func (p *peer) connect() (*yamux.Session, *sessionConn, error) {
	p.dialling.Lock()
	defer p.dialling.Unlock()
	if session, conn := p.openSession(); session != nil {
		return session, conn, nil
	}
	if err := p.dial(); err != nil {
		if session, conn := p.openSession(); session != nil {
			return session, conn, nil
		}
		return nil, nil, err
	}
	session, conn := p.openSession()
	if session == nil {
		return nil, nil, yamux.ErrSessionShutdown
	}
	return session, conn, nil
}

// openSession returns the open session with its connection, or nil.
func (p *peer) openSession() (*yamux.Session, *sessionConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return nil, nil
	}
	return p.session, p.conn
}

// dialContext returns the context of a dial. The first timeout is short: a VM without
// power does not answer at all, and may be back before the kernel retransmits the SYN. The
// dial is cancelled if the peer opens a session.
func (p *peer) dialContext() (context.Context, context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	timeout := max(p.nextDialTimeout, minDialTimeout)
	p.nextDialTimeout = min(2*timeout, maxDialTimeout)
	ctx, cancel := context.WithTimeout(p.transport.ctx, timeout)
	p.cancelDial = cancel
	return ctx, cancel
}

// dial opens a session to the peer's address and starts to serve it.
func (p *peer) dial() error {
	addr := p.transport.addr(p.vm)
	if !addr.IsValid() {
		return ErrNoAddress
	}
	ctx, cancel := p.dialContext()
	defer cancel()
	conn, err := p.transport.options.Dial(ctx, addr.String())
	if err != nil {
		return err
	}
	if err := setTimeouts(conn); err != nil {
		conn.Close()
		return err
	}
	var state *tls.ConnectionState
	if id := p.transport.options.Identity; id != nil {
		tlsConn := tls.Client(conn, id.ClientConfig(p.vm))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return err
		}
		s := tlsConn.ConnectionState()
		state, conn = &s, tlsConn
	}
	sessionConn := newSessionConn(conn)
	session, err := yamux.Client(sessionConn, yamuxConfig())
	if err != nil {
		conn.Close()
		return err
	}
	p.mu.Lock()
	p.session, p.conn, p.dialledHere, p.stream = session, sessionConn, true, nil
	p.nextDialTimeout = minDialTimeout
	p.mu.Unlock()
	p.transport.goroutines.Go(func() { p.transport.serveSession(session, sessionConn, state, expectedName(p.vm)) })
	return nil
}

// closeIdle closes the stream, and also the session if this process dialled it and it has
// no other streams.
func (p *peer) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
	}
	if p.dialledHere && p.session.NumStreams() == 0 {
		p.closeLocked()
	}
}

// appendFrame appends the message with its length as a varint prefix.
func appendFrame(buffer []byte, e *wire.Envelope, size int) ([]byte, error) {
	buffer = binary.AppendUvarint(buffer, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, e)
}
