package entry

import (
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
	// firstPeriod is the time between two asks for a first configuration.
	firstPeriod       = 100 * time.Millisecond
	limitPeriod       = 25 * time.Millisecond
	headerTimeout     = 10 * time.Second
	callersIdle       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
	leavePause        = 100 * time.Millisecond
	defaultDrainDelay = 2 * time.Second
	defaultDrainLimit = 60 * time.Second
	defaultGrace      = 2 * time.Second
)

// Options holds the settings of an entry.
type Options struct {
	VM         string
	DataCentre string
	// Advertise is the address of the links as other VMs reach it; empty for
	// the listener's own.
	Advertise string
	Control   conf.Peers
	// Seeds are addresses of the links of some control VMs, for the time before
	// the first answer of one.
	Seeds []netip.AddrPort
	Peers conf.Peers
	// OnPartition says what to do while the configuration may be out of date.
	OnPartition PartitionPolicy
	// Tolerance is how far workspaces may exceed their rate.
	Tolerance limit.Tolerance
	// PoolOptions holds further options of the care of the backend servers.
	PoolOptions []pool.Option
	// Placement says who chooses the backend servers of requests.
	Placement pool.PlacementMode
	Clock     clock.Service
	Line      *event.Line
	Meter     *meter.Meter
	// Identity switches TLS on for the links.
	Identity *cert.Identity
	// CallersIdentity switches TLS on for callers.
	CallersIdentity *cert.Identity
	KeyHeader       string
	KeyQuery        string
	KeyCookie       string
	// ProxyOptions holds further options of the proxy.
	ProxyOptions []proxy.Option
	// KeyGrace is how long a running request outlives its key.
	KeyGrace time.Duration
	// DrainDelay is the time between the end of readiness and of listening.
	DrainDelay time.Duration
	// DrainLimit bounds the wait for running requests.
	DrainLimit time.Duration
	// RoundRobin uses the plain policy that others are measured against.
	RoundRobin bool
	// Drop loses messages to a VM, for tests.
	Drop func(to string) bool
}

// PartitionPolicy says what an entry does while it hears neither control nor enough
// other entries.
type PartitionPolicy string

// What an entry may do while it is cut off.
const (
	// PartitionStop refuses requests until the configuration is known to be the newest.
	PartitionStop PartitionPolicy = "stop"
	// PartitionServe goes on with the newest configuration that was received.
	PartitionServe PartitionPolicy = "serve"
)

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// DataCentre sets the data centre of this VM.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Advertise sets the address of the links as other VMs reach it.
func Advertise(addr string) Option { return func(o *Options) { o.Advertise = addr } }

// Control sets the control VMs.
func Control(p conf.Peers) Option { return func(o *Options) { o.Control = p } }

// Seeds sets the addresses of some control VMs' links.
func Seeds(addrs []netip.AddrPort) Option { return func(o *Options) { o.Seeds = addrs } }

// OnPartition sets what to do while the configuration may be out of date.
func OnPartition(c PartitionPolicy) Option { return func(o *Options) { o.OnPartition = c } }

// Placement sets who chooses the backend servers of requests.
func Placement(by pool.PlacementMode) Option { return func(o *Options) { o.Placement = by } }

// Tolerance sets how far workspaces may exceed their rate.
func Tolerance(t limit.Tolerance) Option { return func(o *Options) { o.Tolerance = t } }

// PoolOptions adds options of the care of the backend servers.
func PoolOptions(opts ...pool.Option) Option {
	return func(o *Options) { o.PoolOptions = append(o.PoolOptions, opts...) }
}

// ProxyOptions adds options of the proxy.
func ProxyOptions(opts ...proxy.Option) Option {
	return func(o *Options) { o.ProxyOptions = append(o.ProxyOptions, opts...) }
}

// Peers sets some other entries.
func Peers(p conf.Peers) Option { return func(o *Options) { o.Peers = p } }

// Clock sets the timer service.
func Clock(s clock.Service) Option { return func(o *Options) { o.Clock = s } }

// Line sets the time line.
func Line(l *event.Line) Option { return func(o *Options) { o.Line = l } }

// Meter sets the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Identity switches TLS on for the links.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// CallersIdentity switches TLS on for callers.
func CallersIdentity(id *cert.Identity) Option { return func(o *Options) { o.CallersIdentity = id } }

// KeyLocations sets the header, query parameter and cookie that may hold a key.
func KeyLocations(header, query, cookie string) Option {
	return func(o *Options) { o.KeyHeader, o.KeyQuery, o.KeyCookie = header, query, cookie }
}

// KeyGrace sets how long a running request outlives its key.
func KeyGrace(d time.Duration) Option { return func(o *Options) { o.KeyGrace = d } }

// Drain sets the delay and the limit of a planned stop.
func Drain(delay, limit time.Duration) Option {
	return func(o *Options) { o.DrainDelay, o.DrainLimit = delay, limit }
}

// RoundRobin uses the plain policy, for measurements.
func RoundRobin(on bool) Option { return func(o *Options) { o.RoundRobin = on } }

// Drop sets a function that loses messages, for tests of partitions.
func Drop(f func(to string) bool) Option { return func(o *Options) { o.Drop = f } }

// LinkAddr returns the address of the links as other VMs reach it.
func (o Options) LinkAddr(l Listeners) string {
	if o.Advertise != "" {
		return o.Advertise
	}
	return l.Links.Addr().(*net.TCPAddr).AddrPort().String()
}

func newOptions(opts ...Option) Options {
	o := Options{
		KeyHeader:   "Authorization",
		OnPartition: PartitionStop,
		Placement:   pool.PlacementLocal,
		KeyGrace:    defaultGrace,
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
	if o.Line == nil {
		o.Line = event.New(o.VM)
	}
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return o
}

// discardLog drops the lines that net/http writes about single connections.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
