package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/lease"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// ShardCount is the number of shards that workspaces are divided into.
	ShardCount = 64
	// shardsPerGroup is the number of shards that one entry is assigned together. It renews
	// their leases in one message, so the traffic of leases grows with the groups.
	shardsPerGroup = 4
	// pendingInterval is the time between two looks at the requests that wait for a token.
	pendingInterval = 25 * time.Millisecond
	// waitTimeout bounds how long a request waits for the holder of its shard.
	waitTimeout = 5 * time.Second
	// notHolderDelay is the wait before the next token request if the receiver of the
	// last one does not hold the shard.
	notHolderDelay = 50 * time.Millisecond
	// maxPending bounds the requests of one workspace that wait on one VM.
	maxPending = 512
	// holderAnswerTimeout is how long a request waits for the shard's holder before the
	// entry may admit it by itself. It covers a round trip between regions.
	holderAnswerTimeout = 150 * time.Millisecond
	// unresponsiveWaitTimeout bounds the wait for a holder that does not answer.
	unresponsiveWaitTimeout = time.Second
	// unavailableRetryAfter is the shortest retry delay of a caller whose request got no token
	// in time; the longest is three times that, so that callers spread. Another VM takes the
	// shard over within the duration of a lease, which has begun to run.
	unavailableRetryAfter = lease.Duration / 4
	// unresponsivePeriod is how long requests do not wait for a holder that did not
	// answer, if the entry may admit them by itself.
	unresponsivePeriod = 500 * time.Millisecond
	// idleTimeout is the time after which the state of an unused workspace is removed.
	idleTimeout = time.Minute
)

// ShardName returns the name of the lease of a shard.
func ShardName(n int) string { return fmt.Sprintf("w%02d", n) }

// ShardGroup returns the group that a shard is assigned with. Other leases are a group of
// their own.
func ShardGroup(name string) string {
	var n int
	if _, err := fmt.Sscanf(name, "w%d", &n); err != nil || ShardName(n) != name {
		return name
	}
	return fmt.Sprintf("g%02d", n/shardsPerGroup)
}

// ShardOf returns the name of the lease of a workspace's shard.
func ShardOf(workspace string) string {
	return ShardName(int(xxhash.Sum64String(workspace) % ShardCount))
}

// Leases is the source of the holders of shards.
type Leases interface {
	// Held reports whether this VM holds a lease, and since when without a gap.
	Held(name string) (since time.Time, held bool)
	// Holder returns the VM that announced last that it holds a lease.
	Holder(name string) (string, bool)
	// ReportSuccess notes that a holder answered, and ReportFailure that it did not, or
	// that it does not hold the lease.
	ReportSuccess(name string)
	ReportFailure(name string)
}

// Distributed is a Limiter that enforces rates over the whole fleet. Only the holder
// of a workspace's shard has a token bucket for it; entries request tokens from it.
type Distributed struct {
	vm     string
	clock  clock.Clock
	link   link.Transport
	leases Leases
	state  func() state.State

	// tolerance is the allowed excess over the rate, and entries returns the number of
	// entries that share the fallback budget.
	tolerance Tolerance
	entries   func() int
	// liveEntries returns the number of entries that are known to be alive, and
	// unreachable is the fraction of all entries that are not.
	liveEntries func() int
	unreachable float64

	mu        sync.Mutex
	clients   map[string]*client
	buckets   map[string]*holderBucket
	lastSweep time.Time
	// checkScheduled is set while a call of checkPending is due.
	checkScheduled bool
}

// client is an entry's state of one workspace.
type client struct {
	cache    TokenCache
	pending  []*pendingRequest
	holder   string
	seq      uint64
	asks     asks
	lastUsed time.Time
	// notBefore is the earliest time of the next token request, after one to a VM that does not hold
	// the shard.
	notBefore time.Time
	// lastAnswer is the time of the holder's last answer.
	lastAnswer time.Time
	// timedOutAt is when a request last waited in vain for the holder.
	timedOutAt time.Time
	fallback   *fallbackBucket
}

// pendingRequest is a request that waits for a token.
type pendingRequest struct {
	result chan Admission
	// deadline is the end of the wait. It is zero once the request no longer waits.
	deadline time.Time
}

// NewDistributed returns a limiter for the whole fleet. Tick must be called several
// times a second.
func NewDistributed(vm string, c clock.Clock, l link.Transport, leases Leases, current func() state.State) *Distributed {
	return &Distributed{
		vm: vm, clock: c, link: l, leases: leases, state: current,
		clients: make(map[string]*client), buckets: make(map[string]*holderBucket),
		entries: func() int { return 1 }, liveEntries: func() int { return 1 },
	}
}

// WithTolerance lets workspaces exceed their rate within a tolerance, and lets an entry
// that cannot reach the holder of a shard admit its part of the fallback budget.
func (d *Distributed) WithTolerance(t Tolerance, entries func() int) *Distributed {
	d.tolerance, d.entries, d.liveEntries = t, entries, entries
	return d
}

// WithLiveEntries sets the source of the number of entries that are known to be alive.
func (d *Distributed) WithLiveEntries(live func() int) *Distributed {
	d.liveEntries = live
	return d
}

// String returns the name of the implementation.
func (d *Distributed) String() string { return "shared" }

// Admit takes one token, and waits for it if none is cached.
func (d *Distributed) Admit(ctx context.Context, w *state.Workspace) Admission {
	now := d.clock.Now()
	d.mu.Lock()
	c := d.client(w.Name, now)
	c.cache.RecordArrival(now)
	if len(c.pending) == 0 && c.cache.Take(now) {
		d.requestTokens(w.Name, c, now)
		d.mu.Unlock()
		return Admission{OK: true}
	}
	if len(c.pending) >= maxPending {
		d.mu.Unlock()
		return Admission{RetryAfter: time.Second}
	}
	unresponsive := d.tolerance.Window > 0 && (c.unresponsive(now) || !d.holderKnown(w.Name))
	if unresponsive && d.takeFallbackToken(w, c, now) {
		d.requestTokens(w.Name, c, now)
		d.mu.Unlock()
		return Admission{OK: true}
	}
	p := &pendingRequest{result: make(chan Admission, 1), deadline: waitDeadline(ctx, unresponsive, now)}
	c.pending = append(c.pending, p)
	d.requestTokens(w.Name, c, now)
	d.schedulePendingCheck()
	d.mu.Unlock()
	return d.awaitToken(ctx, w, c, p, now)
}

// holderKnown reports whether a holder of a workspace's shard is known.
func (d *Distributed) holderKnown(workspace string) bool {
	if _, held := d.leases.Held(ShardOf(workspace)); held {
		return true
	}
	_, known := d.leases.Holder(ShardOf(workspace))
	return known
}

func (d *Distributed) client(workspace string, now time.Time) *client {
	c, ok := d.clients[workspace]
	if !ok {
		c = &client{seq: link.FirstNumber()}
		d.clients[workspace] = c
	}
	c.lastUsed = now
	return c
}

// requestTokens requests tokens from the holder if the cache is low or requests wait,
// unless an answer is outstanding.
func (d *Distributed) requestTokens(workspace string, c *client, now time.Time) {
	target := c.cache.PrefetchTarget()
	available := c.cache.Available(now)
	needed := len(c.pending) + target - available
	urgent := len(c.pending) > 0
	if now.Before(c.notBefore) || needed <= 0 || !urgent && available > target/2 {
		return
	}
	holder, known := d.leases.Holder(ShardOf(workspace))
	if _, held := d.leases.Held(ShardOf(workspace)); held {
		holder, known = d.vm, true
	}
	if !known {
		return
	}
	if holder != c.holder {
		c.cache.DiscardExpired()
		c.holder = holder
		c.asks = asks{}
	}
	if holder != d.vm && c.asks.failureDue(now) {
		d.leases.ReportFailure(ShardOf(workspace))
	}
	if c.asks.pending(now) {
		return
	}
	c.seq++
	c.asks.add(ask{seq: c.seq, sentAt: now})
	request := &wire.TokenAsk{
		Workspace: workspace, Seq: c.seq, Tokens: uint32(needed), Returned: uint32(c.cache.TakeExpired()),
		MaxWaitMicros: uint64(MaxWait.Microseconds()),
	}
	if holder == d.vm {
		d.receiveAnswerLocked(d.vm, d.grant(request, now), now)
		return
	}
	d.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_TokenAsk{TokenAsk: request}})
}

// Receive handles a message and reports whether it was for the limiter.
func (d *Distributed) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_TokenAsk:
		d.mu.Lock()
		answer := d.grant(body.TokenAsk, d.clock.Now())
		d.mu.Unlock()
		d.link.Send(from, &wire.Envelope{Body: &wire.Envelope_TokenAnswer{TokenAnswer: answer}})
	case *wire.Envelope_TokenAnswer:
		d.receiveAnswer(from, body.TokenAnswer)
	default:
		return false
	}
	return true
}

// receiveAnswer handles a holder's answer.
func (d *Distributed) receiveAnswer(from string, m *wire.TokenAnswer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receiveAnswerLocked(from, m, d.clock.Now())
}

// receiveAnswerLocked handles an answer if it belongs to an unanswered request, with the lock.
func (d *Distributed) receiveAnswerLocked(from string, m *wire.TokenAnswer, now time.Time) {
	c, ok := d.clients[m.GetWorkspace()]
	if !ok || from != c.holder {
		return
	}
	if request, ok := c.asks.answered(m.GetSeq(), now); ok {
		d.applyAnswer(m.GetWorkspace(), c, m, request.sentAt, now)
	}
}

// applyAnswer adds granted tokens to the cache and gives them to pending requests.
func (d *Distributed) applyAnswer(workspace string, c *client, m *wire.TokenAnswer, sent, now time.Time) {
	if m.GetNotHolder() {
		d.leases.ReportFailure(ShardOf(workspace))
		c.notBefore = now.Add(notHolderDelay)
		return
	}
	c.lastAnswer = now
	d.leases.ReportSuccess(ShardOf(workspace))
	g := Grant{
		Tokens:     int(m.GetTokens()),
		Wait:       time.Duration(m.GetWaitMicros()) * time.Microsecond,
		Lifetime:   time.Duration(m.GetLifetimeMicros()) * time.Microsecond,
		RetryAfter: time.Duration(m.GetRetryMicros()) * time.Microsecond,
	}
	if g.Lifetime > maxLifetime || g.Wait > MaxWait {
		return
	}
	c.cache.Add(g, sent, now)
	if g.Tokens == 0 {
		c.rejectPending(Admission{RetryAfter: max(g.RetryAfter, time.Millisecond)})
		return
	}
	if g.Wait > 0 {
		time.AfterFunc(g.Wait, func() { d.admitPendingOf(workspace) })
		return
	}
	d.admitPending(workspace, c, now)
}

func (d *Distributed) admitPendingOf(workspace string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.clients[workspace]; ok {
		d.admitPending(workspace, c, d.clock.Now())
	}
}

// admitPending gives cached tokens to pending requests in the order of their arrival.
func (d *Distributed) admitPending(workspace string, c *client, now time.Time) {
	for len(c.pending) > 0 {
		p := c.pending[0]
		if now.Before(p.deadline) {
			if !c.cache.Take(now) {
				break
			}
			p.result <- Admission{OK: true}
		}
		c.pending = c.pending[1:]
	}
	d.requestTokens(workspace, c, now)
}

// rejectPending ends the wait of all pending requests.
func (c *client) rejectPending(a Admission) {
	for _, p := range c.pending {
		p.result <- a
	}
	c.pending = nil
}

// schedulePendingCheck schedules the next look at the requests that wait. A process in
// which none does is not woken for it.
func (d *Distributed) schedulePendingCheck() {
	if d.checkScheduled {
		return
	}
	d.checkScheduled = true
	d.clock.After(pendingInterval, d.checkPending)
}

// checkPending repeats unanswered token requests and admits requests whose tokens have
// become valid.
func (d *Distributed) checkPending(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkScheduled = false
	for workspace, c := range d.clients {
		if len(c.pending) == 0 {
			continue
		}
		d.admitPending(workspace, c, now)
		if len(c.pending) > 0 {
			d.schedulePendingCheck()
		}
	}
}

// Tick removes unused state, and follows the number of entries that are alive.
func (d *Distributed) Tick(now time.Time) {
	unreachable := d.unreachableFraction()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable = unreachable
	if now.Sub(d.lastSweep) < idleTimeout {
		return
	}
	d.lastSweep = now
	for workspace, c := range d.clients {
		if len(c.pending) == 0 && now.Sub(c.lastUsed) > idleTimeout {
			delete(d.clients, workspace)
		}
	}
	d.removeStaleBuckets()
}

var _ Leases = (*lease.Manager)(nil)
