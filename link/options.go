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
	// firstDial bounds the first try of a connection, and dialTimeout a later one; each
	// takes up to twice the one before. firstDial covers round trips between regions.
	firstDial        = 250 * time.Millisecond
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	writeTimeout     = 2 * time.Second
	keepAlive        = time.Second
	// maxQueueAge is how long a message may wait to be sent.
	maxQueueAge  = 2 * time.Second
	idleLimit    = 60 * time.Second
	leastBackoff = 20 * time.Millisecond
	mostBackoff  = time.Second
)

// Options holds the settings of a process's links.
type Options struct {
	// VM is the name of this process.
	VM string
	// EventLog stamps messages and learns from received stamps.
	EventLog *event.Log
	// Identity switches TLS on.
	Identity *cert.Identity
	// Receive is called for every message.
	Receive Handler
	// QueueSize is the number of messages that wait for one peer.
	QueueSize int
	// Dial opens a TCP connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Drop reports whether messages to a VM are lost, for tests of partitions.
	Drop func(to string) bool
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this process.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// EventLog sets the time line that stamps messages.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Identity switches TLS on.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// Receive sets the handler of messages.
func Receive(h Handler) Option { return func(o *Options) { o.Receive = h } }

// QueueSize sets how many messages wait for one peer.
func QueueSize(n int) Option { return func(o *Options) { o.QueueSize = n } }

// Dial sets how TCP connections are opened.
func Dial(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

// Drop sets a function that loses messages, for tests of partitions.
func Drop(f func(to string) bool) Option { return func(o *Options) { o.Drop = f } }

func newOptions(opts ...Option) Options {
	dialer := net.Dialer{Timeout: dialTimeout}
	o := Options{
		QueueSize: defaultQueue,
		Receive:   func(string, *wire.Envelope) {},
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
