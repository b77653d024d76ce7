// Package link carries messages between the processes of a fleet. Connections
// are yamux sessions over TCP, with TLS if an identity is given; each stream
// carries protobuf messages in one direction, in order.
//
// A message may also be sent to an address, as IP:PORT, before the name of the VM
// there is known. The first message that comes back tells it.
//
// Delivery is best effort: a message may be lost when a connection breaks or a
// queue is full, never altered, and protocols above repeat what matters. A
// connection is opened on first use and closed after some idle time. A peer
// that cannot be dialled is still reached over a connection that it opened.
//
// # Usage
//
//	mesh, err := link.New(listener, link.VM("e1"), link.Receive(handle))
//	mesh.SetPeer("c1", addr)
//	mesh.Send("c1", envelope)
//	defer mesh.Stop()
package link

import (
	"net"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Errors of the links.
var (
	// ErrNoAddress means that a peer has neither address nor open connection.
	ErrNoAddress = errors.New("peer has no address and no open connection")
	// ErrWrongName means that a peer's certificate is for another VM.
	ErrWrongName = errors.New("peer's certificate is for another VM")
	// ErrNoHello means that a stream did not start with a hello.
	ErrNoHello = errors.New("stream does not start with a hello")
)

// Transport sends and receives messages.
type Transport interface {
	// Send queues a message and reports whether there was room for it.
	Send(to string, m *wire.Envelope) bool
	// SetPeer sets the address of a VM.
	SetPeer(vm string, addr netip.AddrPort)
	// Reconnect drops the open connection to a VM, so that the next message uses
	// a fresh one.
	Reconnect(vm string)
	// Stats returns the counters of all links.
	Stats() Stats
	// Stop closes all connections and waits for all goroutines.
	Stop()
	// String names the implementation and its address.
	String() string
}

// Handler receives a message. Messages of one sender arrive in order on one
// stream; handlers of different streams run concurrently.
type Handler func(from string, m *wire.Envelope)

// Stats counts the traffic of a process.
type Stats struct {
	SentMessages     uint64 `json:"sent-messages"`
	SentBytes        uint64 `json:"sent-bytes"`
	ReceivedMessages uint64 `json:"received-messages"`
	ReceivedBytes    uint64 `json:"received-bytes"`
	DroppedMessages  uint64 `json:"dropped-messages"`
	Sessions         int    `json:"sessions"`
}

// New serves the links on the listener until Stop.
func New(listener net.Listener, opts ...Option) Transport {
	return newMesh(listener, newOptions(opts...))
}
