// Package relay connects an entry to backend servers, through another entry where it cannot
// reach them by itself.
//
// A part of the entries, even most of a data centre, may be cut off from the backend servers
// while callers and other VMs reach them. Such an entry opens its connections to backend servers
// as tunnels through entries that are not cut off. Everything else stays with the entry that has
// the request: its key, the choice of the server, deadline, retries, and the promise that a
// request runs at most once. A relay only passes on bytes, to addresses of backend servers that it
// knows, and never through a further relay.
//
// A connection that is not established within a fraction of the connect time-out is tried
// through a relay as well, and the first that succeeds is used. If that happens at several
// servers, or if running requests get no answer, the entry dials a few servers to find out whether
// it is cut off. While it is, it asks relays first, and goes on dialling servers until they
// answer again.
//
// # Usage
//
//	dialer := relay.New(links, relay.VM("e1"), relay.Members(fleet.Members), relay.Servers(addresses))
//	conn, err := dialer.Dial(ctx, "10.0.0.7:8080")
//
// Links pass the tunnels of other entries to dialer.Serve, and Tick must be called every Period.
package relay

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
)

const (
	// Period is the interval at which Tick must be called.
	Period = 100 * time.Millisecond
	// connectTimeout allows for a few round trips between regions. A request without a
	// connection has not run and can be sent elsewhere, whereas TCP retransmits a lost
	// handshake packet only after a second.
	connectTimeout = 250 * time.Millisecond
	// confirmTimeout is that of the probes that decide whether this VM is cut off. On a link that is
	// full for a moment a handshake takes longer than connectTimeout, and an entry that
	// takes itself for cut off serves nobody.
	confirmTimeout = 800 * time.Millisecond
	// relayDelay is the time after which a connection is tried through a relay as well. The
	// rest of connectTimeout is left for that.
	relayDelay = 100 * time.Millisecond
	// tunnelTimeout bounds the attempt to connect through one relay.
	tunnelTimeout = connectTimeout - relayDelay
	tcpKeepAlive  = 5 * time.Second
	// maxRelays is the number of relays that are tried for one connection.
	maxRelays = 3
	// preferredRelays is the number of relays that an entry uses by turns. Each entry has
	// others, so that the load is spread.
	preferredRelays = 3
	// relayFailureTTL is how long a relay that failed is not used.
	relayFailureTTL = time.Second
	// drainPeriod is the time between two looks at the tunnels that are served while this VM stops.
	drainPeriod = 20 * time.Millisecond
	// maxTunnels bounds the tunnels of other entries.
	maxTunnels = 256
)

// Errors of connections through relays.
var (
	// ErrNoRelay means that no other entry can be asked.
	ErrNoRelay = errors.New("no entry is known that reaches the backend servers")
	// ErrUnreachable means that the relay could not connect to the backend server.
	ErrUnreachable = errors.New("the relay does not reach the backend server")
	// ErrRefused means that the other entry does not serve as a relay.
	ErrRefused = errors.New("the entry refuses to relay")
	// ErrCutOff means that this VM reaches no backend server, by itself or through relays.
	ErrCutOff = errors.New("this VM is cut off from all backend servers")
)

// Opener opens connections through other VMs.
type Opener interface {
	Open(vm, addr string) (net.Conn, error)
}

// Dialer opens connections to backend servers, and serves as a relay for other entries.
type Dialer struct {
	options Options
	opener  Opener

	mu    sync.Mutex
	path  path
	conns map[*directConn]struct{}
	// preferred are the relays in use, by turns.
	preferred []string
	// failedRelays holds the time at which a relay failed last.
	failedRelays map[string]time.Time
	// open counts this VM's tunnels by relay.
	open   map[string]int
	served int
	closed bool
	// othersCutOff is the number of other entries that are cut off. What happened to them may
	// have happened here as well.
	othersCutOff int
	relays       fleet.Derived[relays]
}

// New returns a dialer. Tick must be called every Period.
func New(opener Opener, opts ...Option) *Dialer {
	o := newOptions(opts...)
	return &Dialer{
		relays:  fleet.NewDerived(func(members []fleet.Member) relays { return relaysAmong(members, o.VM) }),
		options: o, opener: opener, path: newPath(), conns: make(map[*directConn]struct{}),
		failedRelays: make(map[string]time.Time), open: make(map[string]int),
	}
}

// CutOff reports whether this VM reaches no backend servers by itself.
func (d *Dialer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.cutOff
}

// Check returns ErrCutOff while this VM reaches no backend server in any way.
func (d *Dialer) Check() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.path.cutOff && d.path.relaysFail(d.options.Clock.Now()) {
		return ErrCutOff
	}
	return nil
}

// dialed is the result of one of the two ways to a server.
type dialed struct {
	conn net.Conn
	err  error
	// direct is set for a connection without a relay.
	direct bool
}

// Dial connects to a backend server. Its error is that of the direct connection, if that was
// tried.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, 2)
	direct := func() {
		conn, err := d.dialDirect(ctx, addr)
		results <- dialed{conn, err, true}
	}
	tunnel := func() {
		conn, err := d.dialTunnel(ctx, addr)
		results <- dialed{conn, err, false}
	}
	first, second := direct, tunnel
	if d.CutOff() {
		first, second = tunnel, direct
	}
	go first()
	pending, started := 1, false
	startSecond := func() {
		if !started {
			started = true
			pending++
			go second()
		}
	}
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	var failure error
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				if !r.direct && pending > 0 {
					d.noteSlow(addr)
				}
				go closeLate(results, pending)
				return r.conn, nil
			}
			if failure == nil || r.direct {
				failure = r.err
			}
			startSecond()
		case <-timer.C:
			startSecond()
		case <-ctx.Done():
			go closeLate(results, pending)
			return nil, context.Cause(ctx)
		}
	}
	return nil, failure
}

// noteSlow notes that a relay has connected to a server sooner than this VM.
func (d *Dialer) noteSlow(addr string) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.path.failed(addr, now)
}

// closeLate closes connections that are no longer needed.
func closeLate(results <-chan dialed, pending int) {
	for range pending {
		if r := <-results; r.err == nil {
			r.conn.Close()
		}
	}
}

// dialDirect connects to a backend server without a relay.
func (d *Dialer) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.connect(ctx, addr, connectTimeout)
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			d.path.failed(addr, now)
		}
		return nil, err
	}
	d.path.connected()
	return d.track(conn), nil
}

func (d *Dialer) connect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.options.Connect(ctx, addr)
}

// Close refuses further tunnels of other entries. Open ones go on until they end.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Drain waits until the tunnels of other entries have ended, or the context has.
func (d *Dialer) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		if _, served := d.Relays(); served == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Relays returns the number of this VM's tunnels by relay, and of the tunnels that it serves.
func (d *Dialer) Relays() (open map[string]int, served int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.open), d.served
}
