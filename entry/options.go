package entry

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/proxy"
)

const (
	watchPeriod = 500 * time.Millisecond
	// initialRequestPeriod is the period of requests for the first configuration.
	initialRequestPeriod = 100 * time.Millisecond
	limitPeriod          = 100 * time.Millisecond
	headerTimeout        = 10 * time.Second
	callerIdleTimeout    = 90 * time.Second
	maxHeaderBytes       = 32 << 10
	leaveDelay           = 100 * time.Millisecond
	defaultDrainDelay    = 2 * time.Second
	defaultDrainLimit    = 60 * time.Second
	defaultKeyGrace      = 2 * time.Second
)

// Options holds the settings of an entry.
type Options struct {
	VM         string
	DataCentre string
	// Advertise is the address at which other VMs reach the links; the default is the
	// listener's address.
	Advertise string
	Control   conf.Peers
	// Seeds are the addresses of the links of some control VMs, used until one of them
	// has answered.
	Seeds []netip.AddrPort
	Peers conf.Peers
	// OnPartition determines what to do while the configuration may be out of date.
	OnPartition PartitionPolicy
	// Tolerance is by how much workspaces may exceed their rate.
	Tolerance limit.Tolerance
	// PoolOptions holds additional options for the pools of backend servers.
	PoolOptions []pool.Option
	// Placement determines whether this VM or the holder of a pool's lease selects
	// backend servers.
	Placement pool.PlacementMode
	Clock     clock.Clock
	EventLog  *event.Log
	Meter     *meter.Meter
	// Identity enables TLS on the links.
	Identity *cert.Identity
	// CallersIdentity enables TLS on the callers' listener.
	CallersIdentity *cert.Identity
	KeyHeader       string
	KeyQuery        string
	KeyCookie       string
	// ProxyOptions holds additional options for the proxy.
	ProxyOptions []proxy.Option
	// KeyGrace is how long a request in flight continues after its key was withdrawn.
	KeyGrace time.Duration
	// DrainDelay is the time between the end of readiness and the closing of the
	// listeners.
	DrainDelay time.Duration
	// DrainLimit limits the wait for requests in flight.
	DrainLimit time.Duration
	// RoundRobin selects backend servers in turn, as a baseline for measurements.
	RoundRobin bool
	// Connect opens TCP connections to backend servers, for tests.
	Connect func(ctx context.Context, addr string) (net.Conn, error)
	// Drop reports whether to drop a message to a VM, for tests.
	Drop func(to string) bool
}

// PartitionPolicy determines what an entry does while it is partitioned from both the
// control VMs and a majority of the lease voters.
type PartitionPolicy string

const (
	// PartitionStop refuses requests until the configuration is known to be current.
	PartitionStop PartitionPolicy = "stop"
	// PartitionServe continues with the last configuration received.
	PartitionServe PartitionPolicy = "serve"
)

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// DataCentre sets the data centre of this VM.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Advertise sets the address at which other VMs reach the links.
func Advertise(addr string) Option { return func(o *Options) { o.Advertise = addr } }

// Control sets the control VMs.
func Control(p conf.Peers) Option { return func(o *Options) { o.Control = p } }

// Seeds sets the addresses of the links of some control VMs.
func Seeds(addrs []netip.AddrPort) Option { return func(o *Options) { o.Seeds = addrs } }

// OnPartition sets the policy for the time while the configuration may be out of date.
func OnPartition(p PartitionPolicy) Option { return func(o *Options) { o.OnPartition = p } }

// Placement sets whether this VM or the holder of a pool's lease selects backend servers.
func Placement(p pool.PlacementMode) Option { return func(o *Options) { o.Placement = p } }

// Tolerance sets by how much workspaces may exceed their rate.
func Tolerance(t limit.Tolerance) Option { return func(o *Options) { o.Tolerance = t } }

// PoolOptions adds options for the pools of backend servers.
func PoolOptions(opts ...pool.Option) Option {
	return func(o *Options) { o.PoolOptions = append(o.PoolOptions, opts...) }
}

// ProxyOptions adds options for the proxy.
func ProxyOptions(opts ...proxy.Option) Option {
	return func(o *Options) { o.ProxyOptions = append(o.ProxyOptions, opts...) }
}

// Peers sets the names and addresses of some other entries.
func Peers(p conf.Peers) Option { return func(o *Options) { o.Peers = p } }

// Clock sets the timer service.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// EventLog sets the timeline of events.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Meter sets the registry of the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Identity enables TLS on the links.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// CallersIdentity enables TLS on the callers' listener.
func CallersIdentity(id *cert.Identity) Option { return func(o *Options) { o.CallersIdentity = id } }

// KeyLocations sets the names of the header, query parameter and cookie that may hold a
// key.
func KeyLocations(header, query, cookie string) Option {
	return func(o *Options) { o.KeyHeader, o.KeyQuery, o.KeyCookie = header, query, cookie }
}

// KeyGrace sets how long a request in flight continues after its key was withdrawn.
func KeyGrace(d time.Duration) Option { return func(o *Options) { o.KeyGrace = d } }

// Drain sets the drain delay and the drain limit of a planned stop.
func Drain(delay, limit time.Duration) Option {
	return func(o *Options) { o.DrainDelay, o.DrainLimit = delay, limit }
}

// RoundRobin selects backend servers in turn, as a baseline for measurements.
func RoundRobin(on bool) Option { return func(o *Options) { o.RoundRobin = on } }

// Drop sets a function that reports whether to drop a message to a VM, for tests of
// partitions.
func Drop(f func(to string) bool) Option { return func(o *Options) { o.Drop = f } }

// LinkAddr returns the address at which other VMs reach the links.
func (o Options) LinkAddr(l Listeners) string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return l.Links.Addr().(*net.TCPAddr).AddrPort().String()
}

// Connect sets the function that opens TCP connections to backend servers, for tests.
func Connect(f func(ctx context.Context, addr string) (net.Conn, error)) Option {
	return func(o *Options) { o.Connect = f }
}

func newOptions(opts ...Option) Options {
	o := Options{
		KeyHeader:   "Authorization",
		OnPartition: PartitionStop,
		Placement:   pool.PlacementLocal,
		KeyGrace:    defaultKeyGrace,
		DrainDelay:  defaultDrainDelay,
		DrainLimit:  defaultDrainLimit,
		Drop:        func(string) bool { return false },
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
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return o
}

// discardLog returns a logger that discards what net/http logs about connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
