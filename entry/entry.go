// Package entry is an entry process: the callers' listener, the listener on
// which backend servers announce themselves, and this VM's part in the fleet.
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
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Reasons why an entry does not serve.
var (
	// ErrNoState means that no configuration has been received yet.
	ErrNoState = errors.New("no configuration received yet")
	// ErrStopping means that a planned stop is under way.
	ErrStopping = errors.New("this VM is stopping")
)

// Listeners are the sockets of an entry. TLS is added to Callers if there is
// an identity for it.
type Listeners struct {
	Links    net.Listener
	Callers  net.Listener
	Announce net.Listener
	Admin    net.Listener
	// Ready answers every request by whether this VM serves. It may be nil.
	Ready net.Listener
}

// Entry is one entry process.
type Entry struct {
	options   Options
	listeners Listeners
	link      link.Link
	fleet     *fleet.Fleet
	sync      *follower
	vouch     *voucher
	leases    *lease.Manager
	limits    *limit.Distributed
	pools     *pool.Balancer
	claims    *claim.Manager
	view      atomic.Pointer[proxy.Config]
	proxy     *proxy.Handler
	// first is closed once there is a configuration.
	first    chan struct{}
	crowd    crowd
	stopping atomic.Bool
	servers  []*http.Server
	admin    *admin.Server
}

// New wires an entry. Run serves it.
func New(l Listeners, opts ...Option) *Entry {
	e := &Entry{options: newOptions(opts...), listeners: l, first: make(chan struct{})}
	e.crowd.started = e.options.Clock.Now()
	e.view.Store(proxy.NewConfig(state.State{}))
	e.link = link.New(l.Links,
		link.VM(e.options.VM), link.Line(e.options.Line), link.Identity(e.options.Identity),
		link.Receive(e.receive), link.Drop(e.options.Drop),
	)
	e.setPeers()
	boot := uint64(e.options.Clock.Now().UnixNano())
	e.fleet = fleet.New(e.link,
		fleet.Self(fleet.Member{VM: e.options.VM, Addr: e.options.LinkAddr(l), DataCentre: e.options.DataCentre, Boot: boot}),
		fleet.Seeds(e.options.Peers.Names()...),
		fleet.Clock(e.options.Clock), fleet.Line(e.options.Line),
	)
	e.leases = lease.New(e.link, e.fleet,
		lease.VM(e.options.VM), lease.Boot(boot), lease.Voters(func() []string { return e.State().Electors() }),
		lease.CheckFresh(e.fresh), lease.Clock(e.options.Clock), lease.Line(e.options.Line),
	)
	e.limits = limit.NewDistributed(e.options.VM, e.options.Clock, e.link, e.leases, e.State).
		WithTolerance(e.options.Tolerance, e.settledCount).
		WithLiveEntries(e.fitCount)
	e.pools = pool.New(e.link, e.fleet, e.leases, append([]pool.Option{
		pool.VM(e.options.VM), pool.DataCentre(e.options.DataCentre), pool.Placement(e.options.Placement), pool.State(e.State),
		pool.Settings(func() []state.Pool { return e.view.Load().Pools }), pool.Clock(e.options.Clock), pool.Line(e.options.Line),
	}, e.options.PoolOptions...)...)
	e.claims = claim.New(e.link,
		claim.VM(e.options.VM), claim.Voters(func() []string { return e.State().Electors() }),
		claim.CheckFresh(e.fresh), claim.Clock(e.options.Clock),
	)
	e.vouch = newVoucher(e)
	e.sync = newFollower(e)
	e.proxy = proxy.New(append([]proxy.Option{
		proxy.ConfigFunc(e.view.Load), proxy.ServingCheck(e.usable), proxy.Configured(e.first), proxy.Clock(e.options.Clock),
		proxy.Limiter(e.limits),
		proxy.Picker(e.picker()), proxy.Claim(e.claims.Claim),
		proxy.EntryCount(func() int { return len(e.fleet.Members()) }),
		proxy.KeyHeader(e.options.KeyHeader), proxy.KeyQuery(e.options.KeyQuery), proxy.KeyCookie(e.options.KeyCookie),
		proxy.Meter(e.options.Meter), proxy.KeyGrace(e.options.KeyGrace),
	}, e.options.ProxyOptions...)...)
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

// receive takes a message from the links.
func (e *Entry) receive(from string, m *wire.Envelope) {
	for _, receive := range []func(string, *wire.Envelope) bool{
		e.fleet.Receive, e.leases.Receive, e.limits.Receive, e.pools.Receive, e.claims.Receive,
	} {
		if receive(from, m) {
			return
		}
	}
	switch body := m.GetBody().(type) {
	case *wire.Envelope_Delta:
		e.sync.receive(from, body.Delta)
	case *wire.Envelope_Watch:
		e.sync.serve(from, body.Watch)
	}
}

// State returns the configuration in force on this VM.
func (e *Entry) State() state.State { return e.view.Load().State }

// TargetCount returns the number of backend servers that have announced themselves.
func (e *Entry) TargetCount() int { return e.fleet.Directory().Len() }

// Ready returns why this VM does not serve, or nil.
func (e *Entry) Ready() error {
	if e.stopping.Load() {
		return ErrStopping
	}
	return e.usable()
}

// usable returns why no request may be served by the configuration on this VM, or
// nil. A planned stop is no reason: callers that do not know of it yet are served.
func (e *Entry) usable() error {
	if e.options.OnPartition == PartitionServe {
		return e.started()
	}
	return e.fresh()
}

// started returns ErrNoState until the first configuration has been received.
func (e *Entry) started() error {
	if e.State().Index() == 0 {
		return ErrNoState
	}
	return nil
}

// fresh returns why the configuration on this VM may be out of date, or nil.
func (e *Entry) fresh() error {
	if err := e.started(); err != nil {
		return err
	}
	s := e.State()
	return e.vouch.serving(s, e.options.Clock.Now())
}

// SetSeeds replaces the addresses of the control VMs' links that are asked while no
// control VM is known.
func (e *Entry) SetSeeds(seeds []netip.AddrPort) { e.sync.setSeeds(seeds) }

// shards returns the names of the leases of all workspace shards and pools.
func (e *Entry) shards() []string {
	names := make([]string, limit.ShardCount)
	for i := range names {
		names[i] = limit.ShardName(i)
	}
	for _, p := range e.view.Load().Pools {
		names = append(names, pool.LeaseName(p.Name))
	}
	return names
}

// picker returns the policy that chooses backend servers.
func (e *Entry) picker() pick.Picker {
	if e.options.RoundRobin {
		return pick.NewRoundRobin(e.options.Clock, e.fleet.Directory, e.State)
	}
	return e.pools
}

// Run serves until the context ends, and then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	e.options.Line.Record(event.Started, "entry", "")
	failed := make(chan error, 3)
	var group sync.WaitGroup
	serve := func(s *http.Server, l net.Listener) {
		e.servers = append(e.servers, s)
		group.Go(func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		})
	}
	serve(e.callersServer(), e.secured(e.listeners.Callers))
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
	stopWatch := e.options.Clock.Subscribe(watchPeriod, func(now time.Time) {
		e.sync.tick(now)
		e.vouch.tick(now)
		e.leases.SetNames(e.shards())
	})
	defer stopWatch()
	stopLeases := e.options.Clock.Subscribe(lease.Period, func(now time.Time) {
		e.leases.Tick(now)
		e.claims.Tick(now)
	})
	defer stopLeases()
	stopFirst := e.options.Clock.Subscribe(firstPeriod, e.sync.tickFirst)
	defer stopFirst()
	stopLimits := e.options.Clock.Subscribe(limitPeriod, e.limits.Tick)
	defer stopLimits()
	stopPools := e.options.Clock.Subscribe(pool.Period, e.pools.Tick)
	defer stopPools()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	e.stop()
	if e.listeners.Ready != nil {
		e.listeners.Ready.Close()
	}
	group.Wait()
	return err
}

// secured adds TLS to the callers' listener if there is an identity.
func (e *Entry) secured(l net.Listener) net.Listener {
	if e.options.CallersIdentity == nil {
		return l
	}
	return tls.NewListener(l, e.options.CallersIdentity.Server(cert.AnyClient, "h2", "http/1.1"))
}

func (e *Entry) callersServer() *http.Server {
	return &http.Server{
		Handler:           e.drained(e.proxy),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callersIdle,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          discardLog(),
	}
}

// readyServer answers every request by whether this VM serves.
func (e *Entry) readyServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := e.Ready(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callersIdle, ErrorLog: discardLog(),
	}
}

// drained tells callers to use another connection once a stop has begun.
func (e *Entry) drained(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop takes this VM out of service: readiness first, then no new connections,
// then the end of running requests, then the fleet.
func (e *Entry) stop() {
	e.options.Line.Record(event.Stopping, "entry", "")
	e.stopping.Store(true)
	e.fleet.Drain()
	e.leases.Stop()
	time.Sleep(e.options.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), e.options.DrainLimit)
	defer cancel()
	for _, s := range e.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	e.fleet.Leave()
	e.proxy.Close()
	time.Sleep(leavePause)
	e.admin.Stop()
	e.link.Stop()
	e.options.Line.Record(event.Stopped, "entry", "")
}
