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

const binaryMaxVarint = binary.MaxVarintLen32

// queued is a message that waits to be sent.
type queued struct {
	message *wire.Envelope
	since   time.Time
}

// peer sends the queued messages of one VM.
type peer struct {
	mesh  *mesh
	vm    string
	queue chan queued

	mu      sync.Mutex
	session *yamux.Session // usable for sending, dialled by either side
	dialled bool           // this side dialled session
	stream  *yamux.Stream
	// giveUp ends a dial under way.
	giveUp context.CancelFunc
	// patience bounds the next dial.
	patience time.Duration
	// offered gets a value when the peer has opened a session.
	offered chan struct{}
}

// addrChanged drops a connection to the old address.
func (p *peer) addrChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialled {
		p.closeLocked()
	}
}

// connected reports whether there is an open connection.
func (p *peer) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil && !p.session.IsClosed()
}

// offer makes a session that the peer opened usable for sending to it.
func (p *peer) offer(s *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() && p.dialled {
		return
	}
	if p.session == s {
		return
	}
	p.stream = nil
	p.session, p.dialled = s, false
	if p.giveUp != nil {
		p.giveUp()
	}
	select {
	case p.offered <- struct{}{}:
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
	p.session, p.stream, p.dialled = nil, nil, false
}

// run sends messages until the mesh stops or the peer is out of use.
func (p *peer) run() {
	backoff := leastBackoff
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		select {
		case <-p.mesh.ctx.Done():
			return
		case <-idle.C:
			p.closeIdle()
			if p.mesh.forget(p) {
				return
			}
			idle.Reset(idleLimit)
		case q := <-p.queue:
			idle.Reset(idleLimit)
			if time.Since(q.since) > maxQueueAge {
				p.mesh.dropped.Add(1)
				continue
			}
			if p.deliver(q.message) {
				backoff = leastBackoff
				continue
			}
			p.mesh.dropped.Add(1)
			p.pause(backoff)
			backoff = min(2*backoff, mostBackoff)
		}
	}
}

// pause waits after a failure and then discards what was queued meanwhile:
// it is out of date, and protocols repeat what matters. A session that the peer opens
// ends the wait.
func (p *peer) pause(d time.Duration) {
	jitter := time.Duration(rand.Int64N(int64(d)))
	select {
	case <-p.mesh.ctx.Done():
		return
	case <-p.offered:
		return
	case <-time.After(d/2 + jitter):
	}
	for {
		select {
		case <-p.queue:
			p.mesh.dropped.Add(1)
		default:
			return
		}
	}
}

// deliver writes one message and reports whether that worked.
func (p *peer) deliver(e *wire.Envelope) bool {
	stream, err := p.openStream()
	if err != nil {
		return false
	}
	if err := p.write(stream, p.mesh.stamped(e)); err != nil {
		p.dropSession()
		return false
	}
	return true
}

func (p *peer) write(stream *yamux.Stream, e *wire.Envelope) error {
	data, err := encode(e)
	if err != nil {
		return err
	}
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := stream.Write(data)
	p.mesh.sentBytes.Add(uint64(n))
	if err == nil {
		p.mesh.sentMessages.Add(1)
	}
	return err
}

// openStream returns the open stream to the peer, or opens one.
func (p *peer) openStream() (*yamux.Stream, error) {
	p.mu.Lock()
	stream, session := p.stream, p.session
	if session != nil && session.IsClosed() {
		p.closeLocked()
		stream, session = nil, nil
	}
	p.mu.Unlock()
	if stream != nil {
		return stream, nil
	}
	if session == nil {
		var err error
		if session, err = p.dial(); err != nil {
			if session = p.usable(); session == nil {
				return nil, err
			}
		}
	}
	stream, err := session.OpenStream()
	if err != nil {
		p.dropSession()
		return nil, err
	}
	hello := &wire.Hello{Vm: p.mesh.options.VM, Version: wire.Version}
	if err := p.write(stream, &wire.Envelope{Body: &wire.Envelope_Hello{Hello: hello}}); err != nil {
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

// usable returns the open session, or nil.
func (p *peer) usable() *yamux.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return nil
	}
	return p.session
}

// dialContext bounds a dial. The first one is short: the peer's VM may be without power
// and answer nothing, and is back before the system sends its request again. A session
// that the peer opens ends it.
func (p *peer) dialContext() (context.Context, context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := max(p.patience, firstDial)
	p.patience = min(2*limit, dialTimeout)
	ctx, cancel := context.WithTimeout(p.mesh.ctx, limit)
	p.giveUp = cancel
	return ctx, cancel
}

// dial opens a session to the peer's address.
func (p *peer) dial() (*yamux.Session, error) {
	addr := p.mesh.addr(p.vm)
	if !addr.IsValid() {
		return nil, ErrNoAddress
	}
	ctx, cancel := p.dialContext()
	defer cancel()
	conn, err := p.mesh.options.Dial(ctx, addr.String())
	if err != nil {
		return nil, err
	}
	var state *tls.ConnectionState
	if id := p.mesh.options.Identity; id != nil {
		secure := tls.Client(conn, id.ClientConfig(p.vm))
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		s := secure.ConnectionState()
		state, conn = &s, secure
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	p.mu.Lock()
	p.session, p.dialled, p.stream = session, true, nil
	p.patience = firstDial
	p.mu.Unlock()
	p.mesh.group.Go(func() { p.mesh.serveSession(session, state, nameOf(p.vm)) })
	return session, nil
}

// closeIdle closes the stream, and a session that this side dialled if
// nothing else uses it.
func (p *peer) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
	}
	if p.dialled && p.session.NumStreams() == 0 {
		p.closeLocked()
	}
}

// appendFramed appends the message with its length in front.
func appendFramed(buffer []byte, e *wire.Envelope, size int) ([]byte, error) {
	buffer = binary.AppendUvarint(buffer, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, e)
}
