package prog

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/platform"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/sched"
)

func entryCommand(set *conf.Set) runner {
	common := sharedSettings(set)
	found := discoverySettings(set)
	callers := set.Addr("callers", "IP:PORT of the callers' listener", conf.Required())
	announce := set.Addr("announce", "IP:PORT of the listener for backend servers' announcements, if they do not register with control")
	ready := set.Addr("ready", "IP:PORT where every request is answered by whether this VM serves")
	control := set.Peers("control", "control VMs, as NAME=IP:PORT,..., if there are no --seeds")
	peers := set.Peers("peers", "some other entries, as NAME=IP:PORT,...")
	advertise := set.String("advertise", "IP:PORT of the links as other VMs reach it, if not --listen")
	callersCert := set.String("callers-tls-cert", "PEM certificate shown to callers")
	callersKey := set.String("callers-tls-key", "PEM key of that certificate")
	keyHeader := set.String("key-header", "header that holds callers' keys", conf.Default("Authorization"))
	keyQuery := set.String("key-query", "query parameter that may hold a key")
	keyCookie := set.String("key-cookie", "cookie that may hold a key")
	drainDelay := set.Duration("drain-delay", "time between the end of readiness and of listening at a planned stop", conf.Default("5s"))
	drainLimit := set.Duration("drain-limit", "longest wait for running requests at a planned stop", conf.Default("60s"))
	grace := set.Duration("key-grace", "time that a running request may outlive its key", conf.Default("2s"))
	cutOff := conf.Var(set, "when-cut-off", "what to do while cut off from control and the other entries: stop or serve", parseCutOff, conf.Default("stop"))
	place := conf.Var(set, "placement", "who chooses the backend servers: local (every entry) or holder (one for all)", parsePlacement, conf.Default("local"))
	admission := conf.Var(set, "admission", "which requests wait for a slot in which order, with --placement holder: rank, work (by rank, work, deadline and share), or auto (what --platform-contracts calls for, else rank)", parseAdmission, conf.Default("auto"))
	contracts := set.String("platform-contracts", "names of the users' platform's contracts in force, as NAME,...")
	keep := conf.Var(set, "keep-connections", "how long an idle connection to a backend server may serve a request that must run once; 0s for fresh ones", time.ParseDuration, conf.Default("0s"))
	linkRate := conf.Var(set, "link-mbps", "rate of this VM's link in Mbit/s, by which large bodies are paced; 0 if it is not scarce", parseLinkRate, conf.Default("0"))
	return func(set *conf.Set, s streams) int {
		if len(*control)+len(*found.seeds) == 0 {
			set.AddFinding("--control", "is required where there are no --seeds")
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
		logUnused(p.logger, bounds)
		sockets := entry.Listeners{
			Links: listeners["listen"], Callers: listeners["callers"], Announce: listeners["announce"],
			Admin: secureAdmin(listeners["admin"], identity), Ready: listeners["ready"],
		}
		opts := []entry.Option{
			entry.VM(*common.vm), entry.DataCentre(*common.centre), entry.Advertise(*advertise),
			entry.Control(*control), entry.Seeds(found.links(*common.listen)), entry.Peers(*peers),
			entry.Clock(p.clock), entry.EventLog(p.line), entry.Meter(p.meter), entry.ProxyOptions(proxy.Logger(p.logger)),
			entry.Identity(identity), entry.CallersIdentity(callersIdentity),
			entry.KeyLocations(*keyHeader, *keyQuery, *keyCookie),
			entry.Drain(*drainDelay, *drainLimit), entry.KeyGrace(*grace), entry.OnPartition(*cutOff), entry.Placement(*place),
			entry.ProxyOptions(proxy.KeepConnections(*keep), proxy.LinkRate(*linkRate)), entry.PoolOptions(pool.KeepConnections(*keep)),
		}
		if *found.bounds != "" {
			delay, limit := planStop(bounds.Grace)
			opts = append(opts, entry.ProxyOptions(platform.ProxyOptions(bounds)...), entry.Drain(delay, limit), entry.Tolerance(bounds.Quota),
				entry.PoolOptions(platform.PoolOptions(bounds, platform.ParseContracts(*contracts))...))
		}
		if *admission != admissionAuto {
			opts = append(opts, entry.PoolOptions(pool.Admission(*admission)))
		}
		e := entry.New(sockets, opts...)
		return p.runUntilStopped(e, settingsWatch{set: set, apply: found.follow(*common.listen, e.SetSeeds)})
	}
}

// stopParts is the number of parts into which the time for a planned stop is divided.
const stopParts = 12

// planStop divides the time between the order to stop and the kill: five parts for
// the balancer to look elsewhere, five for running requests, and two for the end of
// the process, whose links take up to a second to close.
func planStop(grace time.Duration) (delay, limit time.Duration) {
	return grace * 5 / stopParts, grace * 5 / stopParts
}

// scarceLinkMbps is the rate below which a link is filled by a few large bodies.
const scarceLinkMbps = 100

// parseLinkRate returns the rate of a link in bytes per second, or 0 if it is not scarce.
func parseLinkRate(text string) (float64, error) {
	mbps, err := strconv.ParseFloat(text, 64)
	if err != nil || mbps < 0 {
		return 0, fmt.Errorf("%q is not a number of Mbit/s", text)
	}
	if mbps >= scarceLinkMbps {
		return 0, nil
	}
	return mbps * 1e6 / 8, nil
}

func parsePlacement(text string) (pool.PlacementMode, error) {
	by := pool.PlacementMode(text)
	if by != pool.PlacementLocal && by != pool.PlacementHolder {
		return "", fmt.Errorf("%q is neither local nor holder", text)
	}
	return by, nil
}

// admissionAuto leaves the order of requests to what the platform calls for.
const admissionAuto sched.AdmissionMode = "auto"

func parseAdmission(text string) (sched.AdmissionMode, error) {
	mode := sched.AdmissionMode(text)
	if mode != admissionAuto && mode != sched.AdmissionRank && mode != sched.AdmissionWork {
		return "", fmt.Errorf("%q is neither auto, rank nor work", text)
	}
	return mode, nil
}

func parseCutOff(text string) (entry.PartitionPolicy, error) {
	c := entry.PartitionPolicy(text)
	if c != entry.PartitionServe && c != entry.PartitionStop {
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
		set.AddFinding("--callers-tls-cert", "%s", err)
	}
	return identity
}
