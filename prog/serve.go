package prog

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/ctrl"
	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/platform"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/store"
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
}

func sharedSettings(set *conf.Set) shared {
	return shared{
		vm:        set.Name("vm", "name of this VM", conf.Required()),
		centre:    set.Name("data-centre", "data centre of this VM", conf.Required()),
		listen:    set.Addr("listen", "IP:PORT of the links between the fleet's processes", conf.Required()),
		admin:     set.Addr("admin", "IP:PORT of the operators' interface", conf.Required()),
		certFile:  set.Text("tls-cert", "PEM certificate of this VM, valid for its name"),
		keyFile:   set.Text("tls-key", "PEM key of the certificate"),
		caFile:    set.Text("tls-ca", "PEM certificates of the authorities for other VMs and operators"),
		memory:    set.Int("memory-limit", "memory of this process in MB; the garbage collector works harder near it", 1, conf.Default("512")),
		clearText: set.Bool("allow-clear-text", "allow links and operators' interface without TLS beyond loopback"),
	}
}

// identity loads the TLS files, and reports settings that are unsafe.
func (c shared) identity(set *conf.Set) *cert.Identity {
	files := cert.Files{Cert: *c.certFile, Key: *c.keyFile, CA: *c.caFile}
	if files == (cert.Files{}) {
		for name, addr := range map[string]netip.AddrPort{"--listen": *c.listen, "--admin": *c.admin} {
			if !addr.Addr().IsLoopback() && !*c.clearText {
				set.Add(name, "%s is not loopback: give --tls-cert, --tls-key and --tls-ca, or --allow-clear-text", addr)
			}
		}
		return nil
	}
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		set.Add("--tls-cert", "--tls-cert, --tls-key and --tls-ca go together")
		return nil
	}
	identity, err := cert.Load(files)
	if err != nil {
		set.Add("--tls-cert", "%s", err)
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
			set.Add("--"+name, "%s", err)
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
		bounds: set.Text("platform-bounds", "limits of the users' platform, as NAME=VALUE,...; switches its headers on"),
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

// parseBounds reads the limits of the platform.
func (d discovery) parseBounds(set *conf.Set) platform.Bounds {
	bounds, err := platform.ParseBounds(*d.bounds)
	if err != nil {
		set.Add("--platform-bounds", "%s", err)
	}
	return bounds
}

func controlCommand(set *conf.Set) runner {
	common := sharedSettings(set)
	found := discoverySettings(set)
	folder := set.Text("data-folder", "folder for log and snapshots", conf.Required())
	replicas := set.Peers("replicas", "control VMs of the first start, as NAME=IP:PORT,..., if there are no --seeds")
	founding := set.Bool("found", "this is the first start of the whole fleet: the VMs of --seeds found the group")
	losses := set.Int("losses", "control VMs that may be lost at the same time", 0, conf.Default("0"))
	platformAddr := set.Addr("platform-listen", "IP:PORT for the calls of the users' platform")
	return func(set *conf.Set, s streams) int {
		if _, ok := (*replicas)[*common.vm]; !ok && *common.vm != "" && len(*found.seeds) == 0 {
			set.Add("--replicas", "does not name this VM %q, and there are no --seeds", *common.vm)
		}
		identity := common.identity(set)
		bounds := found.parseBounds(set)
		if unusable(set, s) {
			return exitUsage
		}
		addrs := map[string]netip.AddrPort{"listen": *common.listen, "admin": *common.admin}
		if platformAddr.IsValid() {
			addrs["platform-listen"] = *platformAddr
		}
		listeners := listenAll(set, addrs)
		if unusable(set, s) {
			return exitUsage
		}
		c := controlProcess{
			process: newProcess(common, identity, listeners, s), found: found, bounds: bounds,
			options: []ctrl.Option{
				ctrl.Replicas(*replicas), ctrl.Seeds(found.links(*common.listen)), ctrl.Founding(*founding),
				ctrl.Addr(*common.listen), ctrl.Losses(*losses),
			},
		}
		return c.run(set, *folder)
	}
}

// process is what all processes of a fleet have.
type process struct {
	common    shared
	identity  *cert.Identity
	listeners map[string]net.Listener
	streams   streams
	clock     clock.Service
	line      *event.Line
	logger    *slog.Logger
}

// heapShare is the part of the memory limit at which the garbage collector runs
// all the time rather than let the process grow; the rest is for stacks, buffers
// of the kernel and what the collector cannot see.
const heapShare = 0.7

func newProcess(common shared, identity *cert.Identity, listeners map[string]net.Listener, s streams) process {
	debug.SetMemoryLimit(int64(float64(*common.memory<<20) * heapShare))
	return process{
		common: common, identity: identity, listeners: listeners, streams: s,
		clock: clock.New(), line: event.New(*common.vm),
		logger: slog.New(slog.NewJSONHandler(s.out, nil)).With("vm", *common.vm),
	}
}

// controlProcess is a control process that is about to run.
type controlProcess struct {
	process
	found   discovery
	bounds  platform.Bounds
	options []ctrl.Option
}

func (p controlProcess) run(set *conf.Set, path string) int {
	folder, err := store.OpenFolder(path)
	if err != nil {
		fmt.Fprintln(p.streams.err, "--data-folder:", err)
		return exitUsage
	}
	defer folder.Close()
	control, err := ctrl.New(folder, p.listeners["listen"], append([]ctrl.Option{
		ctrl.VM(*p.common.vm), ctrl.DataCentre(*p.common.centre),
		ctrl.Clock(p.clock), ctrl.Line(p.line), ctrl.Identity(p.identity),
	}, p.options...)...)
	if err != nil {
		fmt.Fprintln(p.streams.err, err)
		return exitFailed
	}
	stopAdmin := serveAdmin(admin.New(control.Admin()...), p.listeners["admin"], p.identity)
	defer stopAdmin()
	if l, ok := p.listeners["platform-listen"]; ok {
		server := platformServer(platform.New(control, platform.WithBounds(p.bounds), platform.WithLogger(p.logger)))
		go server.Serve(l)
		defer server.Close()
	}
	return p.runUntilStopped(control.Run, settingsWatch{set: set, apply: p.found.follow(*p.common.listen, control.SetSeeds)})
}

const (
	// callHeaderTimeout and callIdle bound what a caller of the platform's calls
	// may take and how long its connection stays open.
	callHeaderTimeout = 5 * time.Second
	callIdle          = 60 * time.Second
)

func platformServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: callHeaderTimeout, IdleTimeout: callIdle}
}

func entryCommand(set *conf.Set) runner {
	common := sharedSettings(set)
	found := discoverySettings(set)
	callers := set.Addr("callers", "IP:PORT of the callers' listener", conf.Required())
	announce := set.Addr("announce", "IP:PORT of the listener for backend servers' announcements, if they do not register with control")
	ready := set.Addr("ready", "IP:PORT where every request is answered by whether this VM serves")
	control := set.Peers("control", "control VMs, as NAME=IP:PORT,..., if there are no --seeds")
	peers := set.Peers("peers", "some other entries, as NAME=IP:PORT,...")
	advertise := set.Text("advertise", "IP:PORT of the links as other VMs reach it, if not --listen")
	callersCert := set.Text("callers-tls-cert", "PEM certificate shown to callers")
	callersKey := set.Text("callers-tls-key", "PEM key of that certificate")
	keyHeader := set.Text("key-header", "header that holds callers' keys", conf.Default("Authorization"))
	keyQuery := set.Text("key-query", "query parameter that may hold a key")
	keyCookie := set.Text("key-cookie", "cookie that may hold a key")
	drainDelay := set.Duration("drain-delay", "time between the end of readiness and of listening at a planned stop", conf.Default("5s"))
	drainLimit := set.Duration("drain-limit", "longest wait for running requests at a planned stop", conf.Default("60s"))
	grace := set.Duration("key-grace", "time that a running request may outlive its key", conf.Default("2s"))
	cutOff := conf.Var(set, "when-cut-off", "what to do while cut off from control and the other entries: stop or serve", parseCutOff, conf.Default("stop"))
	place := conf.Var(set, "placement", "who chooses the backend servers: local (every entry) or holder (one for all)", parsePlacement, conf.Default("local"))
	keep := conf.Var(set, "keep-connections", "how long an idle connection to a backend server may serve a request that must run once; 0s for fresh ones", time.ParseDuration, conf.Default("0s"))
	return func(set *conf.Set, s streams) int {
		if len(*control)+len(*found.seeds) == 0 {
			set.Add("--control", "is required where there are no --seeds")
		}
		identity := common.identity(set)
		callersIdentity := loadCallers(set, *callersCert, *callersKey)
		bounds := found.parseBounds(set)
		if unusable(set, s) {
			return exitUsage
		}
		addrs := map[string]netip.AddrPort{"listen": *common.listen, "admin": *common.admin, "callers": *callers}
		for name, addr := range map[string]*netip.AddrPort{"announce": announce, "ready": ready} {
			if addr.IsValid() {
				addrs[name] = *addr
			}
		}
		listeners := listenAll(set, addrs)
		if unusable(set, s) {
			return exitUsage
		}
		p := newProcess(common, identity, listeners, s)
		sockets := entry.Listeners{
			Links: listeners["listen"], Callers: listeners["callers"], Announce: listeners["announce"],
			Admin: secureAdmin(listeners["admin"], identity), Ready: listeners["ready"],
		}
		opts := []entry.Option{
			entry.VM(*common.vm), entry.DataCentre(*common.centre), entry.Advertise(*advertise),
			entry.Control(*control), entry.Seeds(found.links(*common.listen)), entry.Peers(*peers),
			entry.Clock(p.clock), entry.Line(p.line), entry.Proxy(proxy.Logger(p.logger)),
			entry.Identity(identity), entry.CallersIdentity(callersIdentity),
			entry.KeyPlaces(*keyHeader, *keyQuery, *keyCookie),
			entry.Drain(*drainDelay, *drainLimit), entry.Grace(*grace), entry.WhenCutOff(*cutOff), entry.Placement(*place),
			entry.Proxy(proxy.KeepConnections(*keep)), entry.Pools(pool.KeepConnections(*keep)),
		}
		if *found.bounds != "" {
			delay, limit := planStop(bounds.Grace)
			opts = append(opts, entry.Proxy(platform.Proxy(bounds)...), entry.Drain(delay, limit), entry.Tolerance(bounds.Quota),
				entry.Pools(platform.Pools(bounds)...))
		}
		e := entry.New(sockets, opts...)
		return p.runUntilStopped(e.Run, settingsWatch{set: set, apply: found.follow(*common.listen, e.SetSeeds)})
	}
}

// planStop divides the time between the order to stop and the kill: half of it for
// the balancer to look elsewhere, and the rest, less a reserve, for requests.
func planStop(grace time.Duration) (delay, limit time.Duration) {
	return grace / 2, grace * 5 / 12
}

func parsePlacement(text string) (pool.Placement, error) {
	by := pool.Placement(text)
	if by != pool.PlaceLocal && by != pool.PlaceHolder {
		return "", fmt.Errorf("%q is neither local nor holder", text)
	}
	return by, nil
}

func parseCutOff(text string) (entry.CutOff, error) {
	c := entry.CutOff(text)
	if c != entry.CutOffServe && c != entry.CutOffStop {
		return "", fmt.Errorf("%q is neither stop nor serve", text)
	}
	return c, nil
}

func loadCallers(set *conf.Set, certFile, keyFile string) *cert.Identity {
	if certFile == "" && keyFile == "" {
		return nil
	}
	identity, err := cert.Load(cert.Files{Cert: certFile, Key: keyFile})
	if err != nil {
		set.Add("--callers-tls-cert", "%s", err)
	}
	return identity
}

// runUntilStopped runs a process until it is asked to stop, and logs its events.
func (p process) runUntilStopped(run func(context.Context) error, settings settingsWatch) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	// The settings file is looked at all the time, so the signal needs no answer.
	signal.Ignore(syscall.SIGHUP)
	logs := &eventLogger{line: p.line, logger: p.logger}
	p.clock.Subscribe(logPeriod, func(time.Time) { logs.flush() })
	if p.identity != nil {
		p.clock.Subscribe(certPeriod, func(time.Time) { reloadIdentity(p.identity, p.line) })
	}
	p.clock.Subscribe(settingsPeriod, func(time.Time) { settings.look(p.logger) })
	p.logger.Info("start", "settings-file", settings.set.File())
	err := run(ctx)
	p.clock.Stop()
	logs.flush()
	if err != nil {
		p.logger.Error("process ended", "error", err)
		return exitFailed
	}
	p.logger.Info("stop")
	return exitOK
}

// certPeriod is the time between two looks at the TLS files.
const certPeriod = 10 * time.Second

func reloadIdentity(identity *cert.Identity, line *event.Line) {
	changed, err := identity.Reload()
	switch {
	case err != nil:
		line.Record(event.CertificateRenewed, "", "failed, the old one stays: "+err.Error())
	case changed:
		line.Record(event.CertificateRenewed, "", "")
	}
}

// eventLogger writes the events of a process to its log.
type eventLogger struct {
	line   *event.Line
	logger *slog.Logger
	seq    uint64
}

func (l *eventLogger) flush() {
	events, _ := l.line.Since(l.seq)
	for _, e := range events {
		l.seq = e.Seq
		l.logger.Info(string(e.Kind), "object", e.Object, "detail", e.Detail, "stamp", e.At.String())
	}
}
