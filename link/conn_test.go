package link

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

// stuckConn is a connection whose Close does not return before release is closed, as that of a
// busy process whose reader has not run yet.
type stuckConn struct {
	net.Conn
	closing, release chan struct{}
}

func (c *stuckConn) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

// While a session shut down, the reads of its streams polled without a pause. When all links to
// a data centre ended at once, an entry had no processor time for seconds and served by an old
// configuration.
func TestReadsEndAtOnceWhenASessionShutsDown(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	stuck := &stuckConn{Conn: near, closing: make(chan struct{}), release: make(chan struct{})}
	conn := newSessionConn(stuck)
	session, err := yamux.Server(conn, yamuxConfig())
	is.NoErr(err)
	peer, err := yamux.Client(far, yamuxConfig())
	is.NoErr(err)
	defer peer.Close()
	opened, err := peer.OpenStream()
	is.NoErr(err)
	_, err = opened.Write([]byte{1})
	is.NoErr(err)
	stream, err := session.AcceptStream()
	is.NoErr(err)
	defer conn.add(stream)()
	var buffer [1]byte
	_, err = io.ReadFull(stream, buffer[:])
	is.NoErr(err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stream.Read(buffer[:])
	}()
	go session.Close()
	<-stuck.closing
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the read has not ended while the session closes its connection")
	}
	close(stuck.release)
}
