package soak

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Links between processes go through proxies: each process advertises the address of its own. A
// cut link is silent or refuses connections.

// pair names the two processes of a link.
type pair struct{ a, b string }

func newPair(a, b string) pair { return pair{min(a, b), max(a, b)} }

// network forwards the links of a fleet.
type network struct {
	fleet *fleet
	port  string

	mu        sync.Mutex
	cut       map[pair]Action
	conns     map[*linkConn]struct{}
	listeners []net.Listener
	group     sync.WaitGroup
}

// linkConn is a forwarded connection.
type linkConn struct {
	pair     pair
	dialled  net.Conn
	accepted net.Conn
}

func (c *linkConn) close() {
	for _, conn := range []net.Conn{c.dialled, c.accepted} {
		reset(conn)
	}
}

// reset closes a connection so that its peer sees an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func newNetwork(f *fleet) (*network, error) {
	n := &network{fleet: f, port: strconv.Itoa(f.ports["links"]), cut: make(map[pair]Action), conns: make(map[*linkConn]struct{})}
	for _, p := range f.all() {
		l, err := net.Listen("tcp", f.linkAddr(p))
		if err != nil {
			n.close()
			return nil, err
		}
		n.listeners = append(n.listeners, l)
		n.group.Go(func() { n.serve(l, p) })
	}
	return n, nil
}

func (n *network) close() {
	for _, l := range n.listeners {
		l.Close()
	}
	n.mu.Lock()
	for c := range n.conns {
		c.close()
	}
	clear(n.cut)
	n.mu.Unlock()
	n.group.Wait()
}

func (n *network) serve(l net.Listener, to *process) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		n.group.Go(func() { n.forward(conn, to) })
	}
}

func (n *network) forward(accepted net.Conn, to *process) {
	from, first := readCaller(accepted)
	link := newPair(from, to.vm)
	if from == "" || n.state(link) == Refuse {
		reset(accepted)
		return
	}
	n.awaitOpen(link)
	dialled, err := net.DialTimeout("tcp", n.fleet.addr(to, "links"), callTimeout)
	if err != nil {
		reset(accepted)
		return
	}
	if _, err := dialled.Write(first); err != nil {
		reset(accepted)
		reset(dialled)
		return
	}
	c := &linkConn{pair: link, dialled: dialled, accepted: accepted}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { n.pump(c, accepted, dialled) })
	group.Go(func() { n.pump(c, dialled, accepted) })
	group.Wait()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// pump forwards one direction. What arrives while the link is silent is forwarded when it is not.
func (n *network) pump(c *linkConn, from, to net.Conn) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		n.awaitOpen(c.pair)
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			return
		}
	}
}

// silencePeriod is the time between two looks at a silent link.
const silencePeriod = 10 * time.Millisecond

func (n *network) awaitOpen(link pair) {
	for n.state(link) == Silence {
		time.Sleep(silencePeriod)
	}
}

func (n *network) state(link pair) Action {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link]
}

// setLinks changes the links between a process and all control VMs. Refuse also resets the open ones.
func (n *network) setLinks(vm string, action Action) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.fleet.controls {
		if p.vm == vm {
			continue
		}
		link := newPair(vm, p.vm)
		if action == Join {
			delete(n.cut, link)
			continue
		}
		n.cut[link] = action
	}
	for c := range n.conns {
		if n.cut[c.pair] == Refuse {
			c.close()
		}
	}
}

// firstFrames bounds the frames in which the name of the caller is looked for, and helloLimit the
// time.
const (
	firstFrames = 8
	helloLimit  = 2 * time.Second
)

// readCaller returns the VM that opened a connection, from the hello that it sends first, and
// what was read. The name is "" if there is none.
func readCaller(conn net.Conn) (vm string, read []byte) {
	conn.SetReadDeadline(time.Now().Add(helloLimit))
	defer conn.SetReadDeadline(time.Time{})
	var seen bytes.Buffer
	r := io.TeeReader(conn, &seen)
	for range firstFrames {
		// A frame of yamux has a version, a type, flags, the number of a stream and a length.
		var header [12]byte
		if _, err := io.ReadFull(r, header[:]); err != nil {
			return "", nil
		}
		const dataType = 0
		length := binary.BigEndian.Uint32(header[8:])
		if header[1] != dataType || length == 0 {
			continue
		}
		var envelope wire.Envelope
		if err := protodelim.UnmarshalFrom(bufio.NewReader(io.LimitReader(r, int64(length))), &envelope); err != nil {
			return "", nil
		}
		return envelope.GetHello().GetVm(), seen.Bytes()
	}
	return "", nil
}
