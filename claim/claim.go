// Package claim lets a request with an idempotency key run at most once in the
// fleet, whichever entry its resends reach and whichever entry dies.
//
// Before the request is sent to a backend server, its entry claims the key at
// the lease voters. A voter grants a key to the first that asks and remembers
// that for Memory. Only a claim that a majority granted may run: a second one
// meets a voter of the first majority. A voter that has just started, or has just
// become a voter, grants nothing for Memory, because it may have forgotten
// claims. A claim is never given back: what was claimed may have run.
//
// # Usage
//
//	claims := claim.New(links, claim.VM("e1"), claim.Voters(electors))
//	err := claims.Claim(ctx, claim.KeyOf("east", "decisions", "k-17"))
package claim

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// Retention is how long a voter remembers a claim.
	Retention = 10 * time.Minute
	// maxClaims bounds the claims that a voter remembers.
	maxClaims = 200_000
)

// Errors of claims. In each case the request must not run.
var (
	// ErrClaimed means that another request has claimed the key.
	ErrClaimed = errors.New("a request with this idempotency key has been claimed before")
	// ErrNoMajority means that no majority of the voters answered in time.
	ErrNoMajority = errors.New("no majority of the lease voters could note the idempotency key")
)

// Key names a request: a digest of workspace, route and idempotency key.
type Key [sha256.Size]byte

// KeyOf returns the key of a request.
func KeyOf(workspace, route, idempotencyKey string) Key {
	return sha256.Sum256([]byte(workspace + "\n" + route + "\n" + idempotencyKey))
}

// Claimant is one request that claims a key. Its number is drawn at random, so
// that it does not repeat after a restart.
type Claimant struct {
	VM string
	ID uint64
}

// Table is a voter's memory of claims. It has no input or output.
type Table struct {
	silentUntil time.Time
	claims      map[Key]noted
	order       []Key
}

// noted is a remembered claim.
type noted struct {
	by Claimant
	at time.Time
}

// NewTable returns a register that grants nothing before an instant.
func NewTable(silentUntil time.Time) *Table {
	return &Table{silentUntil: silentUntil, claims: make(map[Key]noted)}
}

// EndStartupWait lets the register grant at once: it is certain that it never granted before.
func (r *Table) EndStartupWait() { r.silentUntil = time.Time{} }

// Claim grants a key to a claimant, and reports whether another holds it.
func (r *Table) Claim(k Key, by Claimant, now time.Time) (granted, held bool) {
	r.expire(now)
	if old, ok := r.claims[k]; ok {
		return old.by == by, old.by != by
	}
	if now.Before(r.silentUntil) || len(r.claims) >= maxClaims {
		return false, false
	}
	r.claims[k] = noted{by: by, at: now}
	r.order = append(r.order, k)
	return true, false
}

func (r *Table) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.claims[r.order[0]].at) > Retention {
		delete(r.claims, r.order[0])
		r.order = r.order[1:]
	}
}

// Manager is one entry's part: its register, if it is a voter, and its own claims.
type Manager struct {
	options Options
	link    link.Link

	mu       sync.Mutex
	register *Table
	clean    bool
	elected  bool
	waiting  map[uint64]*ballot
}

// ballot counts the answers to one claim.
type ballot struct {
	voters  []string
	granted map[string]bool
	refused map[string]bool
	held    bool
	done    chan error
}

// New returns an entry's part in the claims. Tick must be called from time to time.
func New(l link.Link, opts ...Option) *Manager {
	o := newOptions(opts...)
	return &Manager{
		options: o, link: l,
		register: NewTable(o.Clock.Now().Add(Retention)),
		waiting:  make(map[uint64]*ballot),
	}
}

// Tick notes whether this VM is a voter. One that becomes a voter while it runs
// up to date has granted nothing before, except in an earlier time as a voter,
// which its register still holds.
func (c *Manager) Tick(time.Time) {
	if c.options.CheckFresh() != nil {
		return
	}
	elected := slices.Contains(c.options.Voters(), c.options.VM)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !elected {
		c.clean = true
	}
	if elected && !c.elected && c.clean {
		c.register.EndStartupWait()
	}
	c.elected = elected
}

// Claim asks all voters for a key and waits for a majority.
func (c *Manager) Claim(ctx context.Context, k Key) error {
	voters := c.options.Voters()
	if len(voters) == 0 {
		return ErrNoMajority
	}
	c.mu.Lock()
	id := rand.Uint64()
	b := &ballot{voters: voters, granted: make(map[string]bool), refused: make(map[string]bool), done: make(chan error, 1)}
	c.waiting[id] = b
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, id)
		c.mu.Unlock()
	}()
	ask := &wire.ClaimAsk{Key: k[:], Id: id}
	for _, vm := range voters {
		if vm == c.options.VM {
			c.take(vm, c.answer(vm, ask))
			continue
		}
		c.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: ask}})
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return ErrNoMajority
	}
}

// Receive handles a message and reports whether it was meant for the claims.
func (c *Manager) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_ClaimAsk:
		if answer := c.answer(from, body.ClaimAsk); answer != nil {
			c.link.Send(from, &wire.Envelope{Body: &wire.Envelope_ClaimAnswer{ClaimAnswer: answer}})
		}
	case *wire.Envelope_ClaimAnswer:
		c.take(from, body.ClaimAnswer)
	default:
		return false
	}
	return true
}

// answer grants a claim or not.
func (c *Manager) answer(from string, m *wire.ClaimAsk) *wire.ClaimAnswer {
	if len(m.GetKey()) != sha256.Size || !slices.Contains(c.options.Voters(), c.options.VM) {
		return nil
	}
	by := Claimant{VM: from, ID: m.GetId()}
	c.mu.Lock()
	defer c.mu.Unlock()
	granted, held := c.register.Claim(Key(m.GetKey()), by, c.options.Clock.Now())
	return &wire.ClaimAnswer{Id: m.GetId(), Granted: granted, Held: held}
}

// take counts a voter's answer.
func (c *Manager) take(from string, m *wire.ClaimAnswer) {
	if m == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.waiting[m.GetId()]
	if !ok || !slices.Contains(b.voters, from) {
		return
	}
	if m.GetGranted() {
		b.granted[from] = true
	} else {
		b.refused[from] = true
		b.held = b.held || m.GetHeld()
	}
	majority := len(b.voters)/2 + 1
	switch {
	case len(b.granted) >= majority:
		b.end(nil)
	case len(b.refused) > len(b.voters)-majority && b.held:
		b.end(ErrClaimed)
	case len(b.refused) > len(b.voters)-majority:
		b.end(ErrNoMajority)
	}
}

func (b *ballot) end(err error) {
	select {
	case b.done <- err:
	default:
	}
}
