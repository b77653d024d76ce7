package link_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

// node is a transport of a test, with the messages that it received.
type node struct {
	link.Transport
	addr     netip.AddrPort
	received chan uint64
	senders  chan string
}

func startNode(t *testing.T, vm string, opts ...link.Option) *node {
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

func watchMessage(index uint64) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Watch{Watch: &wire.Watch{Index: index}}}
}

func nextIndex(t *testing.T, c chan uint64) uint64 {
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
	a, b := startNode(t, "a"), startNode(t, "b")
	a.SetPeer("b", b.addr)
	for i := range uint64(10) {
		is.True(a.Send("b", watchMessage(i+1)))
	}
	for i := range uint64(10) {
		is.Equal(nextIndex(t, b.received), i+1)
	}
	is.Equal(<-b.senders, "a")
	is.True(b.Send("a", watchMessage(99))) // b does not know the address of a
	is.Equal(nextIndex(t, a.received), uint64(99))
	is.Equal(a.Stats().Sessions, 1)
}

func TestReconnectOpensANewConnection(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "a"), startNode(t, "b")
	a.SetPeer("b", b.addr)
	a.Send("b", watchMessage(1))
	nextIndex(t, b.received)
	a.Reconnect("b")
	is.True(a.Send("b", watchMessage(2)))
	is.Equal(nextIndex(t, b.received), uint64(2))
}

func TestDropAffectsOneDirectionOnly(t *testing.T) {
	is := is.New(t)
	var dropping atomic.Bool
	a := startNode(t, "a", link.Drop(func(string) bool { return dropping.Load() }))
	b := startNode(t, "b")
	a.SetPeer("b", b.addr)
	a.Send("b", watchMessage(1))
	nextIndex(t, b.received)
	dropping.Store(true)
	is.True(!a.Send("b", watchMessage(2)))
	is.True(b.Send("a", watchMessage(3)))
	is.Equal(nextIndex(t, a.received), uint64(3))
}

func TestConnectionWithInvalidDataIsClosed(t *testing.T) {
	is := is.New(t)
	a := startNode(t, "a")
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

// BenchmarkMessage sends small messages between two transports over loopback. The result
// includes the work of both sides.
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
		for !sender.Send("b", watchMessage(1)) {
			time.Sleep(10 * time.Microsecond)
		}
		sent++
	}
	for received.Load() < sent {
		time.Sleep(10 * time.Microsecond)
	}
}

// A VM without power does not answer a SYN, and the kernel retransmits it only after a
// second. Once the VM is back and connects itself, that connection must be used at once, and
// a new dial must not wait for the old one.
func TestUnansweredDialDoesNotDelayMessages(t *testing.T) {
	is := is.New(t)
	var powerOff atomic.Bool
	powerOff.Store(true)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if powerOff.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	a, b, c := startNode(t, "a", link.Dial(dial)), startNode(t, "b"), startNode(t, "c")
	a.SetPeer("b", b.addr)
	a.SetPeer("c", c.addr)
	b.SetPeer("a", a.addr)
	started := time.Now()
	a.Send("b", watchMessage(1))
	a.Send("c", watchMessage(1))
	time.Sleep(50 * time.Millisecond)
	b.Send("a", watchMessage(2)) // b has power again
	is.Equal(nextIndex(t, a.received), uint64(2))
	is.Equal(nextIndex(t, b.received), uint64(1)) // the message whose dial was cancelled
	a.Send("b", watchMessage(3))
	is.Equal(nextIndex(t, b.received), uint64(3))
	is.True(time.Since(started) < 250*time.Millisecond)
	powerOff.Store(false) // c has power again, but does not connect
	for {
		a.Send("c", watchMessage(4))
		select {
		case <-c.received:
			is.True(time.Since(started) < time.Second)
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// A tunnel carries bytes both ways over the session of the messages, and its near end can be
// closed while a read waits.
func TestTunnelsShareTheSessionOfMessages(t *testing.T) {
	is := is.New(t)
	served := make(chan string, 2)
	echo := func(from, addr string, conn net.Conn) {
		served <- from + " " + addr
		io.Copy(conn, conn)
	}
	a, b := startNode(t, "a"), startNode(t, "b", link.Tunnel(echo))
	a.SetPeer("b", b.addr)
	conn, err := a.Open("b", "10.0.0.7:80")
	is.NoErr(err)
	is.Equal(<-served, "a 10.0.0.7:80")
	_, err = conn.Write([]byte("hello"))
	is.NoErr(err)
	answer := make([]byte, 5)
	_, err = io.ReadFull(conn, answer)
	is.NoErr(err)
	is.Equal(string(answer), "hello")
	is.True(a.Send("b", watchMessage(7)))
	is.Equal(nextIndex(t, b.received), uint64(7))
	is.Equal(a.Stats().Sessions, 1)

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn.Read(answer)
	}()
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("a read did not end with its tunnel")
	}
	_, err = a.Open("nobody", "10.0.0.7:80")
	is.True(err != nil)
}

// Guards against an answer to an earlier start of a process that is taken for one to a request of
// the present start.
func TestNumbersOfTwoStartsDoNotMeet(t *testing.T) {
	is := is.New(t)
	const requests = 1 << 20 // of one start
	for range 100 {
		first, second := link.FirstNumber(), link.FirstNumber()
		is.True(first+requests < second || second+requests < first)
	}
}
