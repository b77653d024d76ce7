package ctrl

import (
	"net/netip"
	"time"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/meter"
)

const (
	// tickPeriod is the tick of the quorum node. An election timeout is 10 to 20
	// ticks, about ten round trips between regions.
	tickPeriod    = 50 * time.Millisecond
	transferWait  = 200 * time.Millisecond
	workQueueSize = 1024
	// maxBatch bounds the queued work between two writes to disk.
	maxBatch  = 256
	inboxSize = 4096

	// compactEntries is the number of applied log entries that triggers a snapshot.
	compactEntries = 4096
	// compactBytes is the log size that triggers a snapshot.
	compactBytes = 64 << 20
)

// Options holds the settings of a control process.
type Options struct {
	// VM is the name of this VM.
	VM string
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Replicas are the control VMs of the first start, including this one. Empty
	// if Seeds are set.
	Replicas conf.Peers
	// Seeds are the link addresses of some control VMs. A group with seeds manages
	// its own membership.
	Seeds []netip.AddrPort
	// Bootstrap is set on the first start of the whole fleet: the VMs listed in
	// Seeds then form the initial group.
	Bootstrap bool
	// Advertise is the address at which other VMs reach the links of this VM. The
	// default is its address in Replicas.
	Advertise netip.AddrPort
	// MaxFailures is the number of simultaneous control VM failures to tolerate.
	MaxFailures int
	// Rollouts bounds what a bad version may get in a roll-out. The leader decides on roll-outs
	// only if it is set.
	Rollouts *canary.Bounds
	Clock    clock.Clock
	EventLog *event.Log
	Meter    *meter.Meter
	Identity *cert.Identity
	// Drop reports whether messages to a VM are dropped, for tests.
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

// Seeds sets the link addresses of some control VMs.
func Seeds(addrs []netip.AddrPort) Option { return func(o *Options) { o.Seeds = addrs } }

// Bootstrap sets whether this is the first start of the whole fleet.
func Bootstrap(on bool) Option { return func(o *Options) { o.Bootstrap = on } }

// Advertise sets the address at which other VMs reach the links of this VM.
func Advertise(addr netip.AddrPort) Option { return func(o *Options) { o.Advertise = addr } }

// MaxFailures sets the number of simultaneous control VM failures to tolerate.
func MaxFailures(n int) Option { return func(o *Options) { o.MaxFailures = n } }

// Rollouts switches roll-outs on, with the bounds of what a bad version may get.
func Rollouts(b canary.Bounds) Option { return func(o *Options) { o.Rollouts = &b } }

// Clock sets the timer service.
func Clock(s clock.Clock) Option { return func(o *Options) { o.Clock = s } }

// EventLog sets the event log.
func EventLog(l *event.Log) Option { return func(o *Options) { o.EventLog = l } }

// Meter sets the metrics registry.
func Meter(m *meter.Meter) Option { return func(o *Options) { o.Meter = m } }

// Identity enables TLS on the links.
func Identity(id *cert.Identity) Option { return func(o *Options) { o.Identity = id } }

// Drop sets a function that drops messages, to simulate partitions in tests.
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
	if o.EventLog == nil {
		o.EventLog = event.New(o.VM)
	}
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return o
}
