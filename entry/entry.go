// Package entry implements an entry process, which serves callers, accepts the
// announcements of backend servers and is a member of the fleet.
//
// # Usage
//
//	e, err := entry.New(listeners, entry.VM("e1"), entry.Control(peers))
//	err = e.Run(ctx) // a cancelled context starts a planned stop
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/claim"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/relay"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Reasons why an entry does not serve.
var (
	// ErrNoState means that no configuration has been received yet.
	ErrNoState = errors.New("no configuration received yet")
	// ErrUnconfirmed means that the first configuration may be out of date.
	ErrUnconfirmed = errors.New("the first configuration is not known to be current yet")
	// ErrDiverged means that the configuration differs from that of the control leader.
	ErrDiverged = errors.New("the configuration differs from that of the control leader")
	// ErrStopping means that a planned stop is in progress.
	ErrStopping = errors.New("this VM is stopping")
)

// Listeners holds the listeners of an entry. Callers uses TLS if there is an identity
// for it.
type Listeners struct {
	Links    net.Listener
	Callers  net.Listener
	Announce net.Listener
	Admin    net.Listener
	// Ready is the listener for readiness probes, or nil.
	Ready net.Listener
}

// Entry is one entry process.
type Entry struct {
	options   Options
	listeners Listeners
	// boot numbers the starts of this VM.
	boot      uint64
	link      link.Transport
	fleet     *fleet.Fleet
	watcher   *configWatcher
	freshness *freshnessTracker
	leases    *lease.Manager
	limits    *limit.Distributed
	pools     *pool.Balancer
	claims    *claim.Manager
	relay     *relay.Dialer
	// assembled is closed once all parts are set. Messages may arrive before.
	assembled chan struct{}
	transit   prometheus.Histogram
	config    atomic.Pointer[proxy.Config]
	proxy     *proxy.Handler

	entryCounter peakCounter
	// liveCount is the number of entries that are alive.
	liveMu    sync.Mutex
	liveCount fleet.Derived[int]
	stopping  atomic.Bool
	// stopBy is the time at which a planned stop ends the requests that still run.
	stopBy  atomic.Pointer[time.Time]
	servers []*http.Server
	admin   *admin.Server
}

// New returns an entry, which Run serves.
func New(l Listeners, opts ...Option) *Entry {
	e := &Entry{options: newOptions(opts...), listeners: l, assembled: make(chan struct{})}
	e.entryCounter.started = e.options.Clock.Now()
	e.liveCount = fleet.NewDerived(countEligible)
	e.transit = e.options.Meter.Histogram("state_transit_seconds", "Time from the sending of an update of the configuration until it was applied, by the clocks of both VMs.",
		prometheus.ExponentialBuckets(0.002, 2, 12))
	e.config.Store(proxy.NewConfig(state.State{}))
	e.link = link.New(l.Links,
		link.VM(e.options.VM), link.EventLog(e.options.EventLog), link.Identity(e.options.Identity),
		link.Receive(e.receive), link.Tunnel(e.serveTunnel), link.Drop(e.options.Drop),
	)
	e.setPeers()
	e.boot = uint64(e.options.Clock.Now().UnixNano())
	e.fleet = fleet.New(e.link,
		fleet.Self(fleet.Member{VM: e.options.VM, Addr: e.options.LinkAddr(l), DataCentre: e.options.DataCentre, Boot: e.boot}),
		fleet.Seeds(e.options.Peers.Names()...),
		fleet.Clock(e.options.Clock), fleet.EventLog(e.options.EventLog),
	)
	e.leases = lease.New(e.link, e.fleet,
		lease.VM(e.options.VM), lease.Boot(e.boot), lease.Voters(func() []string { return e.State().ActiveVoters() }),
		lease.Group(limit.ShardGroup), lease.DataCentre(pool.LeaseDataCentre), lease.CheckFresh(e.checkFresh), lease.Clock(e.options.Clock), lease.EventLog(e.options.EventLog),
	)
	e.limits = limit.NewDistributed(e.options.VM, e.options.Clock, e.link, e.leases, e.State).
		WithTolerance(e.options.Tolerance, e.recentMemberCount).
		WithLiveEntries(e.liveMemberCount)
	e.pools = pool.New(e.link, e.fleet, e.leases, append([]pool.Option{
		pool.VM(e.options.VM), pool.DataCentre(e.options.DataCentre), pool.Placement(e.options.Placement), pool.State(e.State),
		pool.Settings(func() []state.Pool { return e.config.Load().Pools }), pool.Clock(e.options.Clock), pool.EventLog(e.options.EventLog),
		pool.EntryCount(e.recentMemberCount), pool.Meter(e.options.Meter),
	}, e.options.PoolOptions...)...)
	e.claims = claim.New(e.link,
		claim.VM(e.options.VM), claim.Voters(func() []string { return e.State().ActiveVoters() }),
		claim.CheckFresh(e.checkFresh), claim.Clock(e.options.Clock),
	)
	e.relay = relay.New(e.link, e.relayOptions()...)
	e.freshness = newFreshnessTracker(e)
	e.watcher = newConfigWatcher(e)
	e.proxy = proxy.New(append([]proxy.Option{
		proxy.ConfigFunc(e.config.Load), proxy.ServingCheck(e.checkServing), proxy.Configured(e.freshness.confirmed), proxy.CurrentCheck(e.checkCurrent), proxy.StopBy(e.stopTime), proxy.Clock(e.options.Clock),
		proxy.Limiter(e.limits), proxy.Dial(e.relay.Dial),
		proxy.Picker(e.picker()), proxy.Claim(e.claims.Claim),
		proxy.EntryCount(func() int { return len(e.fleet.Members()) }),
		proxy.KeyHeader(e.options.KeyHeader), proxy.KeyQuery(e.options.KeyQuery), proxy.KeyCookie(e.options.KeyCookie),
		proxy.Meter(e.options.Meter), proxy.KeyGrace(e.options.KeyGrace),
	}, e.options.ProxyOptions...)...)
	close(e.assembled)
	return e
}

func (e *Entry) setPeers() {
	for vm, addr := range e.options.Control {
		e.link.SetPeer(vm, addr)
	}
	for vm, addr := range e.options.Peers {
		e.link.SetPeer(vm, addr)
	}
}

// receive dispatches a message from the links.
func (e *Entry) receive(from string, m *wire.Envelope) {
	<-e.assembled
	for _, receive := range []func(string, *wire.Envelope) bool{
		e.fleet.Receive, e.leases.Receive, e.limits.Receive, e.pools.Receive, e.claims.Receive,
	} {
		if receive(from, m) {
			return
		}
	}
	switch body := m.GetBody().(type) {
	case *wire.Envelope_Delta:
		before := e.State().Index()
		e.watcher.receive(from, body.Delta)
		if sent := m.GetStamp(); sent != nil && e.State().Index() > before {
			// Wall clocks differ, so this is a hint for operators only.
			e.transit.Observe(time.Since(time.UnixMilli(sent.GetWallMillis())).Seconds())
		}
	case *wire.Envelope_Watch:
		e.watcher.serve(from, body.Watch)
	}
}

// State returns the current configuration of this VM.
func (e *Entry) State() state.State { return e.config.Load().State }

// Gossip returns what this VM has sent to other entries, by kind of item.
func (e *Entry) Gossip() map[fleet.Kind]fleet.ItemTraffic { return e.fleet.Traffic() }

// TargetCount returns the number of backend servers that have announced themselves.
func (e *Entry) TargetCount() int { return e.fleet.Directory().Len() }

// Ready returns an error while this VM is not ready to serve.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return ErrStopping
	}
	if err := e.relay.Check(); err != nil {
		return err
	}
	return e.checkServing()
}

// checkServing returns an error while no request may be served with the configuration of
// this VM. During a planned stop requests are still served, because callers may not have
// noticed the stop yet.
func (e *Entry) checkServing() error {
	if e.options.OnPartition == PartitionServe {
		return e.checkConfigured()
	}
	return e.checkFresh()
}

// checkConfigured returns an error until the first configuration has been received and is
// known to be current, or cannot be confirmed.
func (e *Entry) checkConfigured() error {
	switch {
	case e.State().Index() == 0:
		return ErrNoState
	case !e.freshness.isConfirmed():
		return ErrUnconfirmed
	default:
		return nil
	}
}

// checkCurrent returns an error while the configuration may lack an accepted change, so that
// an unknown key or route proves nothing.
func (e *Entry) checkCurrent() error {
	return e.freshness.checkCurrent(e.State(), e.options.Clock.Now())
}

// checkFresh returns an error while the configuration of this VM may be out of date.
func (e *Entry) checkFresh() error {
	if err := e.checkConfigured(); err != nil {
		return err
	}
	s := e.State()
	return e.freshness.checkServing(s, e.options.Clock.Now())
}

// SetSeeds replaces the addresses of the links of control VMs that are used while no
// control VM is known.
func (e *Entry) SetSeeds(seeds []netip.AddrPort) { e.watcher.setSeeds(seeds) }

// leaseNames returns the names of the leases of all workspace shards and all pools.
func (e *Entry) leaseNames() []string {
	names := make([]string, limit.ShardCount)
	for i := range names {
		names[i] = limit.ShardName(i)
	}
	return append(names, e.pools.LeaseNames()...)
}

// picker returns the load-balancing policy.
func (e *Entry) picker() pick.Picker {
	if e.options.RoundRobin {
		return pick.NewRoundRobin(e.options.Clock, e.fleet.Directory, e.State)
	}
	return e.pools
}

// Run serves until the context ends, and then drains the requests in flight and stops.
func (e *Entry) Run(ctx context.Context) error {
	e.options.EventLog.Record(event.Started, "entry", "")
	errs := make(chan error, 3)
	var group sync.WaitGroup
	serve := func(s *http.Server, l net.Listener) {
		e.servers = append(e.servers, s)
		group.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				errs <- err
			}
		})
	}
	callers := e.callersServer()
	serve(callers, e.callersListener(callers))
	if e.listeners.Announce != nil {
		serve(e.announceServer(), e.listeners.Announce)
	}
	if e.listeners.Ready != nil {
		ready := e.readyServer()
		group.Go(func() { ready.Serve(e.listeners.Ready) })
		defer ready.Close()
	}
	e.admin = admin.New(e.adminOptions()...)
	group.Go(func() { e.admin.Serve(e.listeners.Admin) })
	stopWatch := e.options.Clock.Every(watchPeriod, func(now time.Time) {
		e.watcher.tick(now)
		e.freshness.tick(now)
		e.leases.SetNames(e.leaseNames())
	})
	defer stopWatch()
	stopLeases := e.options.Clock.Every(lease.Period, func(now time.Time) {
		e.leases.Tick(now)
		e.claims.Tick(now)
	})
	defer stopLeases()
	stopInitial := e.options.Clock.Every(initialRequestPeriod, e.watcher.tickInitial)
	defer stopInitial()
	stopLimits := e.options.Clock.Every(limitPeriod, e.limits.Tick)
	defer stopLimits()
	stopPools := e.options.Clock.Every(pool.Period, e.pools.Tick)
	defer stopPools()
	stopRollouts := e.options.Clock.Every(rolloutReportPeriod, e.reportRollouts)
	defer stopRollouts()
	stopRelay := e.options.Clock.Every(relay.Period, e.relay.Tick)
	defer stopRelay()
	var err error
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	e.stop()
	if e.listeners.Ready != nil {
		e.listeners.Ready.Close()
	}
	group.Wait()
	return err
}

// callersListener returns the callers' listener. It uses TLS if it has an identity; otherwise
// the server notices that a caller leaves although it has sent further requests.
func (e *Entry) callersListener(server *http.Server) net.Listener {
	if e.options.CallersIdentity == nil {
		return proxy.WatchCallers(server, e.listeners.Callers)
	}
	return tls.NewListener(e.listeners.Callers, e.options.CallersIdentity.ServerConfig(cert.NoClientCert, "h2", "http/1.1"))
}

func (e *Entry) callersServer() *http.Server {
	return &http.Server{
		Handler:           e.closeWhenStopping(e.proxy),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog(),
	}
}

// readyServer returns a server that answers readiness probes.
func (e *Entry) readyServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := e.Ready(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: discardLog(),
	}
}

// closeWhenStopping adds Connection: close to responses once a stop has begun.
func (e *Entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stopTime returns the time at which a planned stop ends running requests, if one is in progress.
func (e *Entry) stopTime() time.Time {
	if stopBy := e.stopBy.Load(); stopBy != nil {
		return *stopBy
	}
	return time.Time{}
}

// stop takes this VM out of service: it ends readiness, closes the listeners, waits for
// the requests in flight and leaves the fleet, in this order.
func (e *Entry) stop() {
	e.options.EventLog.Record(event.Stopping, "entry", "")
	stopBy := e.options.Clock.Now().Add(e.options.DrainDelay + e.options.DrainLimit)
	e.stopBy.Store(&stopBy)
	e.stopping.Store(true)
	e.fleet.Drain()
	e.relay.Close()
	e.leases.Stop()
	time.Sleep(e.options.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainLimit)
	defer cancel()
	for _, s := range e.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	e.relay.Drain(ctx)
	e.fleet.Leave()
	e.proxy.Close()
	time.Sleep(leaveDelay)
	e.admin.Stop()
	e.link.Stop()
	e.options.EventLog.Record(event.Stopped, "entry", "")
}
