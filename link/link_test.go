package link_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

// node is one end of a test's links.
type node struct {
	link.Transport
	addr     netip.AddrPort
	received chan uint64
	senders  chan string
}

func start(t *testing.T, vm string, opts ...link.Option) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{received: make(chan uint64, 100), senders: make(chan string, 100)}
	receive := func(from string, m *wire.Envelope) {
		n.senders <- from
		n.received <- m.GetWatch().GetIndex()
	}
	n.Transport = link.New(listener, append(opts, link.VM(vm), link.Receive(receive))...)
	n.addr = listener.Addr().(*net.TCPAddr).AddrPort()
	t.Cleanup(n.Stop)
	return n
}

func watch(index uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Watch{Watch: &wire.Watch{Index: index}}}
}

func next(t *testing.T, c chan uint64) uint64 {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(5 * time.Second):
		t.Fatal("no message within 5 s")
		return 0
	}
}

func TestMessagesArriveInOrderBothWaysOverOneConnection(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	a.SetPeer("b", b.addr)
	for i := range uint64(10) {
		is.True(a.Send("b", watch(i+1)))
	}
	for i := range uint64(10) {
		is.Equal(next(t, b.received), i+1)
	}
	is.Equal(<-b.senders, "a")
	is.True(b.Send("a", watch(99))) // b has no address of a
	is.Equal(next(t, a.received), uint64(99))
	is.Equal(a.Stats().Sessions, 1)
}

func TestRenewUsesAFreshConnection(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	a.SetPeer("b", b.addr)
	a.Send("b", watch(1))
	next(t, b.received)
	a.Reconnect("b")
	is.True(a.Send("b", watch(2)))
	is.Equal(next(t, b.received), uint64(2))
}

func TestDropCutsOneWayOnly(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	a := start(t, "a", link.Drop(func(string) bool { return cut.Load() }))
	b := start(t, "b")
	a.SetPeer("b", b.addr)
	a.Send("b", watch(1))
	next(t, b.received)
	cut.Store(true)
	is.True(!a.Send("b", watch(2)))
	is.True(b.Send("a", watch(3)))
	is.Equal(next(t, a.received), uint64(3))
}

func TestGarbageOnAConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	a := start(t, "a")
	conn, err := net.Dial("tcp", a.addr.String())
	is.NoErr(err)
	defer conn.Close()
	conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	var buffer [64]byte
	for err == nil {
		_, err = conn.Read(buffer[:])
	}
	is.True(err != nil)
}

// BenchmarkMessage sends small messages to another process's links on loopback
// and counts both sides' work.
func BenchmarkMessage(b *testing.B) {
	var received atomic.Uint64
	open := func(vm string, receive link.Handler) (link.Transport, netip.AddrPort) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		l := link.New(listener, link.VM(vm), link.Receive(receive))
		b.Cleanup(l.Stop)
		return l, listener.Addr().(*net.TCPAddr).AddrPort()
	}
	sender, _ := open("a", func(string, *wire.Envelope) {})
	_, addr := open("b", func(string, *wire.Envelope) { received.Add(1) })
	sender.SetPeer("b", addr)
	b.ReportAllocs()
	sent := uint64(0)
	for b.Loop() {
		for !sender.Send("b", watch(1)) {
			time.Sleep(10 * time.Microsecond)
		}
		sent++
	}
	for received.Load() < sent {
		time.Sleep(10 * time.Microsecond)
	}
}

// A VM without power answers nothing, and the system sends its request for a connection
// again only after a second. When the VM is back and connects itself, that connection is
// used at once, and a new try does not wait for the old one.
func TestADialThatIsNotAnsweredDelaysNothing(t *testing.T) {
	is := is.New(t)
	var dark atomic.Bool
	dark.Store(true)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if dark.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	a, b, c := start(t, "a", link.Dial(dial)), start(t, "b"), start(t, "c")
	a.SetPeer("b", b.addr)
	a.SetPeer("c", c.addr)
	b.SetPeer("a", a.addr)
	began := time.Now()
	a.Send("b", watch(1))
	a.Send("c", watch(1))
	time.Sleep(50 * time.Millisecond)
	b.Send("a", watch(2)) // b has its power back
	is.Equal(next(t, a.received), uint64(2))
	is.Equal(next(t, b.received), uint64(1)) // the message of the dial that was given up
	a.Send("b", watch(3))
	is.Equal(next(t, b.received), uint64(3))
	is.True(time.Since(began) < 250*time.Millisecond)
	dark.Store(false) // c has its power back, and says nothing
	for {
		a.Send("c", watch(4))
		select {
		case <-c.received:
			is.True(time.Since(began) < time.Second)
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}
