package prog

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/ctrl"
	"github.com/dottereldeal/dottereldeal/platform"
	"github.com/dottereldeal/dottereldeal/store"
)

func controlCommand(set *conf.Set) runner {
	common := sharedSettings(set)
	found := discoverySettings(set)
	folder := set.String("data-folder", "folder for log and snapshots", conf.Required())
	replicas := set.Peers("replicas", "control VMs of the first start, as NAME=IP:PORT,..., if there are no --seeds")
	founding := set.Bool("found", "this is the first start of the whole fleet: the VMs of --seeds found the group")
	losses := set.Int("losses", "control VMs that may be lost at the same time", 0, conf.Default("0"))
	advertise := set.Addr("advertise", "IP:PORT of the links as other VMs reach it, if not --listen")
	platformAddr := set.Addr("platform-listen", "IP:PORT for the calls of the users' platform")
	return func(set *conf.Set, s streams) int {
		if _, ok := (*replicas)[*common.vm]; !ok && *common.vm != "" && len(*found.seeds) == 0 {
			set.AddFinding("--replicas", "does not name this VM %q, and there are no --seeds", *common.vm)
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
		if !advertise.IsValid() {
			*advertise = *common.listen
		}
		c := controlProcess{
			process: newProcess(common, identity, listeners, s), found: found, bounds: bounds,
			options: append([]ctrl.Option{
				ctrl.Replicas(*replicas), ctrl.Seeds(found.links(*common.listen)), ctrl.Bootstrap(*founding),
				ctrl.Advertise(*advertise), ctrl.MaxFailures(*losses),
			}, platform.ControlOptions(bounds)...),
		}
		return c.run(set, *folder)
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
	logUnused(p.logger, p.bounds)
	control, err := ctrl.New(folder, p.listeners["listen"], append([]ctrl.Option{
		ctrl.VM(*p.common.vm), ctrl.DataCentre(*p.common.centre),
		ctrl.Meter(p.meter), ctrl.Clock(p.clock), ctrl.EventLog(p.line), ctrl.Identity(p.identity),
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
	return p.runUntilStopped(control, settingsWatch{set: set, apply: p.found.follow(*p.common.listen, control.SetSeeds)})
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
