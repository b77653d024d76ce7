// Package claim ensures that a request with an idempotency key runs at most once in the
// fleet, whichever entries its retries reach and whichever entry fails.
//
// Before an entry sends the request to a backend server, it claims the key at the lease
// voters. A voter grants a key to the first claimant and remembers the claim for
// Retention. A request may run only if a majority granted its claim: any later claim
// then meets a voter that has granted the first one. A voter that has just started may
// lack earlier claims and grants nothing for Retention, unless it becomes a voter only
// after its start; see Manager.Tick. A claim is never released, because the request may
// have run.
//
// # Usage
//
//	claims := claim.New(links, claim.VM("e1"), claim.Voters(activeVoters))
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
	// maxClaims bounds the claims that a voter stores.
	maxClaims = 200_000
)

// Errors of Manager.Claim. After each of them the request must not run.
var (
	// ErrClaimed means that another request has claimed the key.
	ErrClaimed = errors.New("a request with this idempotency key has been claimed before")
	// ErrNoMajority means that no majority of the voters granted the claim in time, and
	// none reported another claimant.
	ErrNoMajority = errors.New("no majority of the lease voters granted the idempotency key")
)

// Key is the digest of a request's workspace, route and idempotency key.
type Key [sha256.Size]byte

// KeyOf returns the key of a request.
func KeyOf(workspace, route, idempotencyKey string) Key {
	return sha256.Sum256([]byte(workspace + "\n" + route + "\n" + idempotencyKey))
}

// Claimant identifies one request that claims a key. ID is random, so that a restarted
// process does not reuse it.
type Claimant struct {
	VM string
	ID uint64
}

// Table holds the claims of one voter. It does no I/O.
type Table struct {
	startupWaitEnd time.Time
	claims         map[Key]grant
	order          []Key
}

// grant is a granted claim.
type grant struct {
	claimant Claimant
	at       time.Time
}

// NewTable returns a table that grants nothing before startupWaitEnd.
func NewTable(startupWaitEnd time.Time) *Table {
	return &Table{startupWaitEnd: startupWaitEnd, claims: make(map[Key]grant)}
}

// EndStartupWait lets the table grant at once. The caller must be certain that no
// earlier claim is missing from it.
func (t *Table) EndStartupWait() { t.startupWaitEnd = time.Time{} }

// Claim grants a key to a claimant, and reports whether another one holds it.
func (t *Table) Claim(k Key, claimant Claimant, now time.Time) (granted, held bool) {
	t.removeExpired(now)
	if old, ok := t.claims[k]; ok {
		return old.claimant == claimant, old.claimant != claimant
	}
	if now.Before(t.startupWaitEnd) || len(t.claims) >= maxClaims {
		return false, false
	}
	t.claims[k] = grant{claimant: claimant, at: now}
	t.order = append(t.order, k)
	return true, false
}

func (t *Table) removeExpired(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.claims[t.order[0]].at) > Retention {
		delete(t.claims, t.order[0])
		t.order = t.order[1:]
	}
}

// Manager is one entry's part in the claims: it claims keys and, on a voter, grants them.
type Manager struct {
	options Options
	link    link.Transport

	mu    sync.Mutex
	table *Table
	// ranAsNonVoter is set once this VM has run with an up-to-date configuration without
	// being a voter.
	ranAsNonVoter bool
	wasVoter      bool // at the last Tick
	pending       map[uint64]*round
}

// round counts the voters' answers to one claim.
type round struct {
	voters  []string
	granted map[string]bool
	refused map[string]bool
	held    bool
	done    chan error
}

// New returns a manager. Tick must be called periodically.
func New(l link.Transport, opts ...Option) *Manager {
	o := newOptions(opts...)
	return &Manager{
		options: o, link: l,
		table:   NewTable(o.Clock.Now().Add(Retention)),
		pending: make(map[uint64]*round),
	}
}

// Tick ends the startup wait if this VM becomes a voter while it runs with an up-to-date
// configuration. It then has no earlier claims, except from a previous time as a voter,
// which its table still holds.
func (m *Manager) Tick(time.Time) {
	if m.options.CheckFresh() != nil {
		return
	}
	isVoter := slices.Contains(m.options.Voters(), m.options.VM)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isVoter {
		m.ranAsNonVoter = true
	}
	if isVoter && !m.wasVoter && m.ranAsNonVoter {
		m.table.EndStartupWait()
	}
	m.wasVoter = isVoter
}

// Claim requests a key from all voters and waits for a majority.
func (m *Manager) Claim(ctx context.Context, k Key) error {
	voters := m.options.Voters()
	if len(voters) == 0 {
		return ErrNoMajority
	}
	m.mu.Lock()
	id := rand.Uint64()
	r := &round{voters: voters, granted: make(map[string]bool), refused: make(map[string]bool), done: make(chan error, 1)}
	m.pending[id] = r
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.pending, id)
		m.mu.Unlock()
	}()
	request := &wire.ClaimAsk{Key: k[:], Id: id}
	for _, vm := range voters {
		if vm == m.options.VM {
			m.handleAnswer(vm, m.vote(vm, request))
			continue
		}
		m.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_ClaimAsk{ClaimAsk: request}})
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return ErrNoMajority
	}
}

// Receive handles a message and reports whether it was for the claims.
func (m *Manager) Receive(from string, e *wire.Envelope) bool {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_ClaimAsk:
		if answer := m.vote(from, body.ClaimAsk); answer != nil {
			m.link.Send(from, &wire.Envelope{Body: &wire.Envelope_ClaimAnswer{ClaimAnswer: answer}})
		}
	case *wire.Envelope_ClaimAnswer:
		m.handleAnswer(from, body.ClaimAnswer)
	default:
		return false
	}
	return true
}

// vote answers a claim. It returns nil if the claim is malformed or this VM is no voter.
func (m *Manager) vote(from string, request *wire.ClaimAsk) *wire.ClaimAnswer {
	if len(request.GetKey()) != sha256.Size || !slices.Contains(m.options.Voters(), m.options.VM) {
		return nil
	}
	claimant := Claimant{VM: from, ID: request.GetId()}
	m.mu.Lock()
	defer m.mu.Unlock()
	granted, held := m.table.Claim(Key(request.GetKey()), claimant, m.options.Clock.Now())
	return &wire.ClaimAnswer{Id: request.GetId(), Granted: granted, Held: held}
}

// handleAnswer counts a voter's answer and finishes the round once it is decided.
func (m *Manager) handleAnswer(from string, answer *wire.ClaimAnswer) {
	if answer == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.pending[answer.GetId()]
	if !ok || !slices.Contains(r.voters, from) {
		return
	}
	if answer.GetGranted() {
		r.granted[from] = true
	} else {
		r.refused[from] = true
		r.held = r.held || answer.GetHeld()
	}
	majority := len(r.voters)/2 + 1
	switch {
	case len(r.granted) >= majority:
		r.finish(nil)
	case len(r.refused) > len(r.voters)-majority && r.held:
		r.finish(ErrClaimed)
	case len(r.refused) > len(r.voters)-majority:
		r.finish(ErrNoMajority)
	}
}

func (r *round) finish(err error) {
	select {
	case r.done <- err:
	default:
	}
}
