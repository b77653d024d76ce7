package prog

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/logbuf"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/platform"
)

// logPeriod is the time between two looks for new events to log.
const logPeriod = time.Second

// shared are the settings of every process of the fleet.
type shared struct {
	vm        *string
	centre    *string
	listen    *netip.AddrPort
	admin     *netip.AddrPort
	certFile  *string
	keyFile   *string
	caFile    *string
	clearText *bool
	memory    *int
	logRate   *int
}

func sharedSettings(set *conf.Set) shared {
	return shared{
		vm:        set.Name("vm", "name of this VM", conf.Required()),
		centre:    set.Name("data-centre", "data centre of this VM", conf.Required()),
		listen:    set.Addr("listen", "IP:PORT of the links between the fleet's processes", conf.Required()),
		admin:     set.Addr("admin", "IP:PORT of the operators' interface", conf.Required()),
		certFile:  set.String("tls-cert", "PEM certificate of this VM, valid for its name"),
		keyFile:   set.String("tls-key", "PEM key of the certificate"),
		caFile:    set.String("tls-ca", "PEM certificates of the authorities for other VMs and operators"),
		memory:    set.Int("memory-limit", "memory of this process in MB; the garbage collector works harder near it", 1, conf.Default("512")),
		logRate:   set.Int("log-rate", "most log lines in a second; beyond it lines are dropped and counted, those of changes and refusals last", 1, conf.Default("400")),
		clearText: set.Bool("allow-clear-text", "allow links and operators' interface without TLS beyond loopback"),
	}
}

// identity loads the TLS files, and reports settings that are unsafe.
func (c shared) identity(set *conf.Set) *cert.Identity {
	files := cert.Files{Cert: *c.certFile, Key: *c.keyFile, CA: *c.caFile}
	if files == (cert.Files{}) {
		for name, addr := range map[string]netip.AddrPort{"--listen": *c.listen, "--admin": *c.admin} {
			if !addr.Addr().IsLoopback() && !*c.clearText {
				set.AddFinding(name, "%s is not loopback: give --tls-cert, --tls-key and --tls-ca, or --allow-clear-text", addr)
			}
		}
		return nil
	}
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		set.AddFinding("--tls-cert", "--tls-cert, --tls-key and --tls-ca go together")
		return nil
	}
	identity, err := cert.Load(files)
	if err != nil {
		set.AddFinding("--tls-cert", "%s", err)
		return nil
	}
	return identity
}

// listenAll opens sockets, and reports all that cannot be opened.
func listenAll(set *conf.Set, addrs map[string]netip.AddrPort) map[string]net.Listener {
	listeners := make(map[string]net.Listener, len(addrs))
	for name, addr := range addrs {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			set.AddFinding("--"+name, "%s", err)
			continue
		}
		listeners[name] = l
	}
	return listeners
}

// unusable prints the findings and reports whether there are any.
func unusable(set *conf.Set, s streams) bool {
	err := set.Findings()
	if err != nil {
		fmt.Fprintln(s.err, err)
	}
	return err != nil
}

// discovery are the settings by which processes of a fleet find each other without
// a list of all control VMs.
type discovery struct {
	seeds  *[]netip.AddrPort
	bounds *string
}

func discoverySettings(set *conf.Set) discovery {
	return discovery{
		seeds:  set.Addrs("seeds", "IP:PORT of some control VMs; only the IP counts, links use the port of --listen"),
		bounds: set.String("platform-bounds", "limits of the users' platform, as NAME=VALUE,...; switches its headers on"),
	}
}

// links returns the addresses of the seeds' links: all VMs use the same port.
func (d discovery) links(listen netip.AddrPort) []netip.AddrPort { return linksOf(*d.seeds, listen) }

func linksOf(seeds []netip.AddrPort, listen netip.AddrPort) []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(seeds))
	for i, seed := range seeds {
		addrs[i] = netip.AddrPortFrom(seed.Addr(), listen.Port())
	}
	return addrs
}

// follow returns a function that takes changed settings: new seeds, at present.
func (d discovery) follow(listen netip.AddrPort, setSeeds func([]netip.AddrPort)) func(changed map[string]string) error {
	return func(changed map[string]string) error {
		text, ok := changed["seeds"]
		if !ok || text == "" {
			return nil
		}
		seeds, err := conf.ParseAddrs(text)
		if err != nil {
			return err
		}
		setSeeds(linksOf(seeds, listen))
		return nil
	}
}

// logUnused says which limits of the platform nothing goes by.
func logUnused(l *slog.Logger, b platform.Bounds) {
	if len(b.Unused) > 0 {
		l.Info("limits of the platform that are not used", "names", b.Unused)
	}
}

// parseBounds reads the limits of the platform.
func (d discovery) parseBounds(set *conf.Set) platform.Bounds {
	bounds, err := platform.ParseBounds(*d.bounds)
	if err != nil {
		set.AddFinding("--platform-bounds", "%s", err)
	}
	return bounds
}

// process is what all processes of a fleet have.
type process struct {
	common    shared
	identity  *cert.Identity
	listeners map[string]net.Listener
	streams   streams
	clock     clock.Clock
	line      *event.Log
	logger    *slog.Logger
	lines     *logbuf.Handler
	meter     *meter.Meter
}

// heapShare is the part of the memory limit at which the garbage collector runs
// all the time rather than let the process grow; the rest is for stacks, buffers
// of the kernel and what the collector cannot see.
const heapShare = 0.7

func newProcess(common shared, identity *cert.Identity, listeners map[string]net.Listener, s streams) process {
	debug.SetMemoryLimit(int64(float64(*common.memory<<20) * heapShare))
	handler := logbuf.New(s.out, logbuf.Rate(*common.logRate))
	metrics := meter.New()
	metrics.CounterFunc("log_lines_dropped_total", "Log lines that were not written.", func() float64 { return float64(handler.Dropped()) })
	return process{
		lines: handler, meter: metrics, common: common, identity: identity, listeners: listeners, streams: s,
		clock: clock.New(), line: event.New(*common.vm),
		logger: slog.New(handler).With("vm", *common.vm),
	}
}

// trafficPeriod is the time between two log lines on the messages that a process sent.
const trafficPeriod = 10 * time.Second

// logTraffic logs what a process has sent to other VMs and received since its start, by kind of
// message, and the processor time that it has used.
func logTraffic(l *slog.Logger, program linked) {
	s := program.Links().Stats()
	attrs := []any{}
	if member, ok := program.(interface {
		Gossip() map[fleet.Kind]fleet.ItemTraffic
	}); ok {
		attrs = append(attrs, "gossip", member.Gossip())
	}
	l.Info("traffic", append(attrs, "processor", meter.ProcessorTime(), "sent-messages", s.SentMessages, "sent-bytes", s.SentBytes,
		"received-messages", s.ReceivedMessages, "received-bytes", s.ReceivedBytes, "dropped-messages", s.DroppedMessages,
		"sessions", s.Sessions, "kinds", s.Kinds)...)
}

// linked is a process of a fleet with links to others.
type linked interface {
	Run(ctx context.Context) error
	Links() link.Transport
}

// runUntilStopped runs a process until it is asked to stop, and logs its events.
func (p process) runUntilStopped(program linked, settings settingsWatch) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// The settings file is looked at all the time, so the signal needs no answer.
	signal.Ignore(syscall.SIGHUP)
	logs := &eventLogger{line: p.line, logger: p.logger}
	p.clock.Every(logPeriod, func(time.Time) { logs.flush() })
	if p.identity != nil {
		p.clock.Every(certPeriod, func(time.Time) { reloadIdentity(p.identity, p.line) })
	}
	p.clock.Every(settingsPeriod, func(time.Time) { settings.look(p.logger) })
	p.clock.Every(trafficPeriod, func(time.Time) { logTraffic(p.logger, program) })
	p.logger.Info("start", "settings-file", settings.set.FilePath())
	err := program.Run(ctx)
	p.clock.Stop()
	logs.flush()
	defer p.lines.Stop()
	if err != nil {
		p.logger.Error("process ended", "error", err)
		return exitFailed
	}
	p.logger.Info("stop", "log-lines-dropped", p.lines.Dropped())
	return exitOK
}

// certPeriod is the time between two looks at the TLS files.
const certPeriod = 10 * time.Second

func reloadIdentity(identity *cert.Identity, line *event.Log) {
	changed, err := identity.Reload()
	switch {
	case err != nil:
		line.Record(event.CertificateRenewed, "", "failed, the old one stays: "+err.Error())
	case changed:
		line.Record(event.CertificateRenewed, "", "")
	}
}
