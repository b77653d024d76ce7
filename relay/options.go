package relay

import (
	"context"
	"net"
	"time"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
)

// Options holds the settings of a Dialer.
type Options struct {
	VM string
	// DataCentre is that of this VM. Relays there are preferred, so that no bytes travel between
	// data centres twice.
	DataCentre string
	// Members returns the entries, which may serve as relays.
	Members func() []fleet.Member
	// Servers returns the addresses of the backend servers; the caller may modify the slice.
	Servers func() []string
	// IsServer reports whether an address is that of a backend server.
	IsServer func(addr string) bool
	// QuietAfter returns the time after which an answer is later than usual.
	QuietAfter func() time.Duration
	// Changed is called when this VM has become cut off, or is no longer.
	Changed func(cutOff bool)
	// CloseIdle is called to close idle connections that lead nowhere.
	CloseIdle func()
	// Connect opens a TCP connection.
	Connect  func(ctx context.Context, addr string) (net.Conn, error)
	Clock    clock.Clock
	EventLog *event.Log
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// DataCentre sets the data centre of this VM.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Members sets the source of the entries.
func Members(f func() []fleet.Member) Option { return func(o *Options) { o.Members = f } }

// Servers sets the source of the backend servers' addresses.
func Servers(list func() []string, isServer func(addr string) bool) Option {
	return func(o *Options) { o.Servers, o.IsServer = list, isServer }
}

// QuietAfter sets the time after which an answer is later than usual.
func QuietAfter(f func() time.Duration) Option { return func(o *Options) { o.QuietAfter = f } }

// Changed sets the function that is called when this VM has become cut off, or is no longer.
func Changed(f func(cutOff bool)) Option { return func(o *Options) { o.Changed = f } }

// CloseIdle sets the function that closes idle connections.
func CloseIdle(f func()) Option { return func(o *Options) { o.CloseIdle = f } }

// Connect sets the function that opens TCP connections.
func Connect(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(o *Options) {
		if f != nil {
			o.Connect = f
		}
	}
}

// Clock sets the timer service.
func Clock(c clock.Clock) Option { return func(o *Options) { o.Clock = c } }

// EventLog sets the event log.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

func newOptions(opts ...Option) Options {
	dialer := &net.Dialer{KeepAlive: tcpKeepAlive}
	o := Options{
		Members:    func() []fleet.Member { return nil },
		Servers:    func() []string { return nil },
		IsServer:   func(string) bool { return false },
		QuietAfter: func() time.Duration { return time.Second },
		Changed:    func(bool) {},
		CloseIdle:  func() {},
		Connect:    func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.EventLog == nil {
		o.EventLog = event.New(o.VM)
	}
	return o
}
