package ctrl

import (
	"net/netip"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/meter"
)

const (
	// tickPeriod is the unit of the log core: elections take 10 to 20 of them, about
	// ten round trips between regions.
	tickPeriod    = 50 * time.Millisecond
	handOverPause = 200 * time.Millisecond
	workQueue     = 1024
	inboxQueue    = 4096

	// compactEntries is the number of applied entries after which a snapshot is written.
	compactEntries = 4096
	// compactBytes is the log size after which a snapshot is written.
	compactBytes = 64 << 20
)

// Options holds the settings of a control process.
type Options struct {
	// VM is the name of this VM.
	VM string
	// DataCentre is where this VM runs.
	DataCentre string
	// Replicas are the control VMs of the first start, this one included. Empty
	// where Seeds are given.
	Replicas conf.Peers
	// Seeds are addresses of the links of some control VMs. The group then grows
	// and repairs itself.
	Seeds []netip.AddrPort
	// Bootstrap says that this is the first start of the whole fleet: the VMs
	// of the seeds found the group.
	Bootstrap bool
	// Advertise is the address of this VM's links as other VMs reach it; empty for the
	// one in Replicas.
	Advertise netip.AddrPort
	// MaxFailures is the number of control VMs that may be lost at the same time.
	MaxFailures int
	Clock       clock.Service
	Line        *event.Line
	Meter       *meter.Meter
	Identity    *cert.Identity
	// Drop loses messages to a VM, for tests.
	Drop func(to string) bool
}

// Option changes one setting.
type Option func(*Options)

// VM sets the name of this VM.
func VM(name string) Option { return func(o *Options) { o.VM = name } }

// DataCentre sets the data centre of this VM.
func DataCentre(name string) Option { return func(o *Options) { o.DataCentre = name } }

// Replicas sets the control VMs of the first start.
func Replicas(p conf.Peers) Option { return func(o *Options) { o.Replicas = p } }

// Seeds sets the addresses of some control VMs' links.
func Seeds(addrs []netip.AddrPort) Option { return func(o *Options) { o.Seeds = addrs } }

// Bootstrap says whether this is the first start of the whole fleet.
func Bootstrap(on bool) Option { return func(o *Options) { o.Bootstrap = on } }

// Advertise sets the address of this VM's links as other VMs reach it.
func Advertise(addr netip.AddrPort) Option { return func(o *Options) { o.Advertise = addr } }

// MaxFailures sets how many control VMs may be lost at the same time.
func MaxFailures(n int) Option { return func(o *Options) { o.MaxFailures = n } }

// Clock sets the timer service.
func Clock(s clock.Service) Option { return func(o *Options) { o.Clock = s } }

// Line sets the time line.
func Line(l *event.Line) Option { return func(o *Options) { o.Line = l } }

// Meter sets the metrics.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Identity switches TLS on for the links.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// Drop sets a function that loses messages, for tests of partitions.
func Drop(f func(to string) bool) Option { return func(o *Options) { o.Drop = f } }

func newOptions(opts ...Option) Options {
	o := Options{Drop: func(string) bool { return false }}
	for _, opt := range opts {
		opt(&o)
	}
	if own, ok := o.Replicas[o.VM]; ok && !o.Advertise.IsValid() {
		o.Advertise = own
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
