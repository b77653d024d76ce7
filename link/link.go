// Package link is the message transport between the processes of a fleet.
// Connections are yamux sessions over TCP, with TLS if an identity is set; each
// stream carries protobuf messages in one direction, in order.
//
// A message can also be addressed to IP:PORT while the name of the VM is not known
// yet. The first message received from that VM contains its name.
//
// Delivery is best effort: messages are lost if a connection breaks or a queue is
// full, but never altered. Higher-level protocols retransmit what they need. A
// connection is opened on first use and closed when idle. A peer that cannot be
// dialled is reached over a connection that it opened itself.
//
// # Usage
//
//	transport := link.New(listener, link.VM("e1"), link.Receive(handle))
//	defer transport.Stop()
//	transport.SetPeer("c1", addr)
//	transport.Send("c1", envelope)
package link

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Errors that end a connection attempt or a connection.
var (
	// ErrNoAddress means that a peer has neither a known address nor an open connection.
	ErrNoAddress = errors.New("peer has no address and no open connection")
	// ErrWrongName means that the name in a peer's hello or certificate is not that of
	// the expected VM.
	ErrWrongName = errors.New("peer is not the expected VM")
	// ErrNoHello means that the first message of a stream is not a hello with a name.
	ErrNoHello = errors.New("stream does not start with a hello")
	// ErrDropped means that messages to the VM are dropped, in tests of network partitions.
	ErrDropped = errors.New("connections to the VM are dropped")
)

// Transport sends and receives messages.
type Transport interface {
	// Send queues a message and reports false if it was dropped at once, for example
	// because the queue is full.
	Send(to string, m *wire.Envelope) bool
	// SetPeer sets the address of a VM.
	SetPeer(vm string, addr netip.AddrPort)
	// Open opens a connection through a VM to an address, which the VM decides on. Only what it
	// answers shows whether it has accepted.
	Open(vm, addr string) (net.Conn, error)
	// Reconnect closes the open connection to a VM, so that the next message is sent
	// over a new one.
	Reconnect(vm string)
	// Stats returns the traffic counters of all connections.
	Stats() Stats
	// Stop closes all connections and waits for all goroutines to end.
	Stop()
	// String returns the name of the implementation and its address.
	String() string
}

// Handler handles a received message. It is called in order for the messages of one
// stream, and concurrently for different streams.
type Handler func(from string, m *wire.Envelope)

// TunnelHandler serves a connection that another VM has opened to an address. The connection is
// closed when it returns.
type TunnelHandler func(from, addr string, conn net.Conn)

// Stats holds the traffic counters of a process.
type Stats struct {
	SentMessages     uint64 `json:"sent-messages"`
	SentBytes        uint64 `json:"sent-bytes"`
	ReceivedMessages uint64 `json:"received-messages"`
	ReceivedBytes    uint64 `json:"received-bytes"`
	DroppedMessages  uint64 `json:"dropped-messages"`
	Sessions         int    `json:"sessions"`
	// SentByKind counts the sent messages by the type of their body, and Kinds holds all counters by it.
	SentByKind map[string]uint64    `json:"sent-by-kind"`
	Kinds      map[string]KindStats `json:"kinds"`
}

// New accepts connections on the listener until Stop is called.
func New(listener net.Listener, opts ...Option) Transport {
	return newTransport(listener, newOptions(opts...))
}
