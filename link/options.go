package link

import (
	"context"
	"net"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	defaultQueue    = 256
	maxMessageBytes = 32 << 20
	// minDialTimeout is the timeout of the first attempt to dial a peer. It covers round
	// trips between regions. Each further attempt doubles it, up to maxDialTimeout.
	minDialTimeout   = 250 * time.Millisecond
	maxDialTimeout   = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 2 * time.Second
	// keepAliveInterval is the interval of yamux's pings, which cost both sides a wake-up.
	// They are the last resort: the kernel ends a connection whose data is not acknowledged
	// within userTimeout, or whose probes, one each probeInterval, are not.
	keepAliveInterval = 5 * time.Second
	userTimeout       = 2 * time.Second
	probeInterval     = time.Second
	probeCount        = 2
	// maxQueueAge is the time after which a queued message is dropped.
	maxQueueAge = 2 * time.Second
	idleTimeout = 60 * time.Second
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = time.Second
)

// Options holds the settings of a transport.
type Options struct {
	// VM is the name of the local VM.
	VM string
	// EventLog holds the hybrid logical clock that timestamps messages.
	EventLog *event.Log
	// Identity enables TLS.
	Identity *cert.Identity
	// Receive handles the received messages.
	Receive Handler
	// Tunnel serves connections that other VMs open through this one.
	Tunnel TunnelHandler
	// QueueSize is the maximum number of queued messages per peer.
	QueueSize int
	// Dial opens a TCP connection to a peer.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Drop reports whether a message to a VM is to be dropped, for tests of network
	// partitions.
	Drop func(to string) bool
}

// Option sets one field of Options.
type Option func(*Options)

// VM sets the name of the local VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// EventLog sets the event log whose clock timestamps messages.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Identity enables TLS.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// Receive sets the handler of received messages.
func Receive(h Handler) Option { return func(o *Options) { o.Receive = h } }

// Tunnel sets the handler of connections that other VMs open through this one.
func Tunnel(h TunnelHandler) Option { return func(o *Options) { o.Tunnel = h } }

// QueueSize sets the maximum number of queued messages per peer.
func QueueSize(n int) Option { return func(o *Options) { o.QueueSize = n } }

// Dial sets the function that opens TCP connections.
func Dial(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

// Drop sets a function that selects messages to drop, for tests of network partitions.
func Drop(f func(to string) bool) Option { return func(o *Options) { o.Drop = f } }

func newOptions(opts ...Option) Options {
	dialer := net.Dialer{Timeout: maxDialTimeout}
	o := Options{
		QueueSize: defaultQueue,
		Receive:   func(string, *wire.Envelope) {},
		Tunnel:    func(string, string, net.Conn) {},
		Drop:      func(string) bool { return false },
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		},
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.EventLog == nil {
		o.EventLog = event.New(o.VM)
	}
	return o
}
