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
	// ShardCount is the number of shards that workspaces are spread over.
	ShardCount = 64
	// patience bounds how long a request waits for the holder of its shard.
	patience = 5 * time.Second
	// askTimeout is the time after which an unanswered ask is repeated.
	askTimeout = 150 * time.Millisecond
	// holderPause is the wait before a holder that is not known is looked for again.
	holderPause = 50 * time.Millisecond
	// maxWaiting bounds the requests of one workspace that wait on one VM.
	maxWaiting = 512
	// holderPatience is how long a request waits for the first word of its shard's
	// holder where the entry may admit by itself. It covers a round trip between
	// regions.
	holderPatience = 150 * time.Millisecond
	// silentPatience bounds the wait for a holder that has said nothing.
	silentPatience = time.Second
	// holderRetry is when a caller may come back that waited for a holder in vain: a
	// new one has the shard within a lease and the time of a holder's first word.
	holderRetry = lease.Duration
	// retryHolder is how long a holder that did not answer is not waited for.
	retryHolder = 500 * time.Millisecond
	// idleShare is the time after which an unused share is forgotten.
	idleShare = time.Minute
)

// ShardName returns the name of the lease of a shard.
func ShardName(n int) string { return fmt.Sprintf("w%02d", n) }

// ShardOf returns the name of the lease that a workspace belongs to.
func ShardOf(workspace string) string {
	return ShardName(int(xxhash.Sum64String(workspace) % ShardCount))
}

// Leases says who holds a shard.
type Leases interface {
	// Held reports whether this VM holds a lease, and since when.
	Held(name string) (since time.Time, held bool)
	// Holder returns the VM that was last heard to hold it.
	Holder(name string) (string, bool)
	// ReportSuccess notes that a holder serves, and ReportFailure that it does not.
	ReportSuccess(name string)
	ReportFailure(name string)
}

// Distributed is a Limiter that counts over the whole fleet. The holder of a
// workspace's shard has its only bucket; entries ask it for tokens.
type Distributed struct {
	vm     string
	clock  clock.Service
	link   link.Link
	leases Leases
	state  func() state.State

	// tolerance is how far a workspace may exceed its rate, and entries the number
	// of entries that share it.
	tolerance Tolerance
	entries   func() int
	// present is the number of entries that are heard now, and missing the part of all
	// that is not.
	present func() int
	missing float64

	mu      sync.Mutex
	clients map[string]*client
	buckets map[string]*owned
	sweptAt time.Time
}

// client is an entry's side of one workspace.
type client struct {
	share   TokenCache
	waiting []*waiter
	holder  string
	seq     uint64
	asked   time.Time // zero if no ask is under way
	used    time.Time
	// answered is when the holder was heard last.
	answered time.Time
	// silentSince is when an ask was given up last.
	silentSince time.Time
	alone       *aloneBucket
}

// waiter is a request that waits for a token.
type waiter struct {
	answer chan Admission
	until  time.Time
}

// NewDistributed returns a limiter over the whole fleet. Tick must be called often.
func NewDistributed(vm string, c clock.Service, l link.Link, leases Leases, current func() state.State) *Distributed {
	return &Distributed{
		vm: vm, clock: c, link: l, leases: leases, state: current,
		clients: make(map[string]*client), buckets: make(map[string]*owned),
		entries: func() int { return 1 }, present: func() int { return 1 },
	}
}

// WithTolerance lets workspaces exceed their rate as far as operators say, and lets
// an entry that does not reach the holder of a shard admit its part of that.
func (s *Distributed) WithTolerance(t Tolerance, entries func() int) *Distributed {
	s.tolerance, s.entries, s.present = t, entries, entries
	return s
}

// WithLiveEntries sets the source of the number of entries that are heard now.
func (s *Distributed) WithLiveEntries(present func() int) *Distributed {
	s.present = present
	return s
}

// String names the implementation.
func (s *Distributed) String() string { return "shared" }

// Admit takes one token, waiting for it for a short time.
func (s *Distributed) Admit(ctx context.Context, w *state.Workspace) Admission {
	now := s.clock.Now()
	s.mu.Lock()
	c := s.client(w.Name, now)
	c.share.RecordArrival(now)
	if len(c.waiting) == 0 && c.share.Take(now) {
		s.refill(w.Name, c, now)
		s.mu.Unlock()
		return Admission{OK: true}
	}
	if len(c.waiting) >= maxWaiting {
		s.mu.Unlock()
		return Admission{RetryAfter: time.Second}
	}
	silent := s.tolerance.Window > 0 && (c.silent(now) || !s.holderKnown(w.Name))
	if silent && s.admitAlone(w, c, now) {
		s.refill(w.Name, c, now)
		s.mu.Unlock()
		return Admission{OK: true}
	}
	one := &waiter{answer: make(chan Admission, 1), until: waitUntil(ctx, silent, now)}
	c.waiting = append(c.waiting, one)
	s.refill(w.Name, c, now)
	s.mu.Unlock()
	return s.await(ctx, w, c, one, now)
}

// holderKnown reports whether anybody is known to hold a workspace's shard.
func (s *Distributed) holderKnown(workspace string) bool {
	if _, mine := s.leases.Held(ShardOf(workspace)); mine {
		return true
	}
	_, known := s.leases.Holder(ShardOf(workspace))
	return known
}

func (s *Distributed) client(workspace string, now time.Time) *client {
	c, ok := s.clients[workspace]
	if !ok {
		c = &client{}
		s.clients[workspace] = c
	}
	c.used = now
	return c
}

// refill asks the holder for tokens if some are needed and no ask is under way.
func (s *Distributed) refill(workspace string, c *client, now time.Time) {
	ahead := c.share.PrefetchTarget()
	left := c.share.Available(now)
	want := len(c.waiting) + ahead - left
	urgent := len(c.waiting) > 0
	if !c.asked.IsZero() && now.Sub(c.asked) < askTimeout || want <= 0 || !urgent && left > ahead/2 {
		return
	}
	holder, known := s.leases.Holder(ShardOf(workspace))
	if _, mine := s.leases.Held(ShardOf(workspace)); mine {
		holder, known = s.vm, true
	}
	if !known {
		return
	}
	if holder != c.holder {
		c.share.DiscardExpired()
		c.holder = holder
	}
	if !c.asked.IsZero() && holder != s.vm {
		s.leases.ReportFailure(ShardOf(workspace)) // the ask before this one was not answered
	}
	c.seq++
	c.asked = now
	ask := &wire.TokenAsk{
		Workspace: workspace, Seq: c.seq, Tokens: uint32(want), Returned: uint32(c.share.TakeExpired()),
		MaxWaitMicros: uint64(MaxWait.Microseconds()),
	}
	if holder == s.vm {
		s.take(workspace, c, s.grant(ask, now), now)
		return
	}
	s.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_TokenAsk{TokenAsk: ask}})
}

// Receive handles a message and reports whether it was meant for the limiter.
func (s *Distributed) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_TokenAsk:
		s.mu.Lock()
		answer := s.grant(body.TokenAsk, s.clock.Now())
		s.mu.Unlock()
		s.link.Send(from, &wire.Envelope{Body: &wire.Envelope_TokenAnswer{TokenAnswer: answer}})
	case *wire.Envelope_TokenAnswer:
		s.receiveAnswer(from, body.TokenAnswer)
	default:
		return false
	}
	return true
}

func (s *Distributed) receiveAnswer(from string, m *wire.TokenAnswer) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[m.GetWorkspace()]
	if !ok || m.GetSeq() != c.seq || from != c.holder || c.asked.IsZero() {
		return
	}
	s.take(m.GetWorkspace(), c, m, now)
}

// take uses an answer for the requests that wait.
func (s *Distributed) take(workspace string, c *client, m *wire.TokenAnswer, now time.Time) {
	sent := c.asked
	c.asked = time.Time{}
	if m.GetNotHolder() {
		s.leases.ReportFailure(ShardOf(workspace))
		c.asked = now.Add(holderPause - askTimeout) // asks again after a pause
		return
	}
	c.answered = now
	s.leases.ReportSuccess(ShardOf(workspace))
	g := Grant{
		Tokens:     int(m.GetTokens()),
		Wait:       time.Duration(m.GetWaitMicros()) * time.Microsecond,
		Lifetime:   time.Duration(m.GetLifetimeMicros()) * time.Microsecond,
		RetryAfter: time.Duration(m.GetRetryMicros()) * time.Microsecond,
	}
	if g.Lifetime > maxLifetime || g.Wait > MaxWait {
		return
	}
	c.share.Add(g, sent, now)
	if g.Tokens == 0 {
		c.refuse(Admission{RetryAfter: max(g.RetryAfter, time.Millisecond)})
		return
	}
	if g.Wait > 0 {
		time.AfterFunc(g.Wait, func() { s.serveWaiting(workspace) })
		return
	}
	s.serve(workspace, c, now)
}

func (s *Distributed) serveWaiting(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[workspace]; ok {
		s.serve(workspace, c, s.clock.Now())
	}
}

// serve gives tokens to the requests that wait, first come first served.
func (s *Distributed) serve(workspace string, c *client, now time.Time) {
	for len(c.waiting) > 0 {
		one := c.waiting[0]
		if now.Before(one.until) {
			if !c.share.Take(now) {
				break
			}
			one.answer <- Admission{OK: true}
		}
		c.waiting = c.waiting[1:]
	}
	s.refill(workspace, c, now)
}

// refuse ends the wait of all requests.
func (c *client) refuse(a Admission) {
	for _, one := range c.waiting {
		one.answer <- a
	}
	c.waiting = nil
}

// Tick repeats asks that were not answered and forgets what is out of use.
func (s *Distributed) Tick(now time.Time) {
	missing := s.absent()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missing = missing
	for workspace, c := range s.clients {
		if len(c.waiting) > 0 {
			s.serve(workspace, c, now)
		}
	}
	if now.Sub(s.sweptAt) < idleShare {
		return
	}
	s.sweptAt = now
	for workspace, c := range s.clients {
		if len(c.waiting) == 0 && now.Sub(c.used) > idleShare {
			delete(s.clients, workspace)
		}
	}
	s.sweepBuckets()
}

var _ Leases = (*lease.Manager)(nil)
