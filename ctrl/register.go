package ctrl

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const (
	// maxRegisterTries bounds how often an announcement is judged anew because another
	// registration has changed meanwhile.
	maxRegisterTries = 4
	// maxHeld bounds the announcements that a replica holds. They are repeated, so none is lost
	// for good.
	maxHeld = 4096
	// heldLife is how long an announcement is held unless it is repeated.
	heldLife = time.Minute
	// releaseTimeout bounds the time for which a replica tries to register a server that it held, and
	// releaseTry one of its tries: the answer to a proposal is lost with the leader.
	releaseTimeout = 10 * time.Second
	releaseTry     = time.Second
	// maxReleasing bounds the servers that a replica registers at a time.
	maxReleasing = 32
	// maxAnnouncementBytes is the size above which a proposal is not an announcement.
	maxAnnouncementBytes = 8 << 10
)

// errRivalInFlight means that the log holds a registration that is not applied yet and may claim
// the same name or address.
var errRivalInFlight = errors.New("another registration of this name or address is not applied yet")

// Register stores the announcement of a backend server. It returns once the announcement is
// accepted, or is known to change nothing. An announcement that may not replace that of another
// server, because nobody has configured its pool, is held until then.
func (c *Control) Register(ctx context.Context, t state.Target) error {
	for try := range maxRegisterTries {
		marked, r, err := c.resolve(ctx, t, try > 0)
		if err != nil {
			return err
		}
		switch r.Decision {
		case ledger.Ignore:
			c.held.remove(t)
			return nil
		case ledger.Hold:
			c.hold(marked, r.Rival)
			return nil
		}
		err = c.displace(ctx, t, r)
		if err == nil {
			err = c.proposeRegistration(ctx, marked)
		}
		switch {
		case err == nil:
			c.held.remove(t)
			return nil
		case !errors.Is(err, ErrOvertaken):
			return err
		}
	}
	return errors.Wrapf(ErrOvertaken, "registrations of the name or address of %s keep changing", t.Name)
}

// resolve decides on an announcement, and returns it with the mark of one that was made before its
// pool was configured. This replica may lag behind, so all but a plain registration for a configured
// pool is confirmed by the leader, and that one too after the leader has decided otherwise.
func (c *Control) resolve(ctx context.Context, t state.Target, overruled bool) (state.Target, ledger.Resolution, error) {
	decide := func() (state.Target, ledger.Resolution) {
		l := c.Ledger()
		marked := t.WithEarly(t.Early || !l.IsConfigured(t.Pool))
		return marked, l.Resolve(marked)
	}
	marked, r := decide()
	if r.Decision == ledger.Register && len(r.Displaced) == 0 && !marked.Early && !overruled {
		return marked, r, nil
	}
	if err := c.awaitConfirmed(ctx); err != nil {
		return t, ledger.Resolution{}, err
	}
	marked, r = decide()
	return marked, r, nil
}

// proposeRegistration proposes a registration. ErrOvertaken means that another one has changed what
// it was decided by.
func (c *Control) proposeRegistration(ctx context.Context, t state.Target) error {
	change := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{t}}
	outcome, err := c.Propose(ctx, ledger.Proposal{Ticket: change, Author: t.Name})
	switch {
	case err != nil:
		return err
	case outcome.Verdict == ledger.Refused:
		return &RefusedError{Problems: outcome.Problems}
	case outcome.Verdict != ledger.Accepted:
		return ErrOvertaken
	default:
		return nil
	}
}

// displace removes registrations that keep the server t from being registered, unless they have
// changed since that was decided.
func (c *Control) displace(ctx context.Context, t state.Target, r ledger.Resolution) error {
	if len(r.Displaced) == 0 {
		return nil
	}
	for _, ref := range r.Displaced {
		c.options.EventLog.Record(event.TargetDisplaced, ref.Name, fmt.Sprintf("removed for %s of pool %s at %s", t.Name, t.Pool, t.Addr))
	}
	change := ticket.Ticket{Number: ledger.SystemNumber, Remove: r.Displaced}
	_, err := c.Propose(ctx, ledger.Proposal{Ticket: change, Author: t.Name}, unchangedSince(r.Index))
	return err
}

// hold keeps an announcement until its pool is configured.
func (c *Control) hold(t, rival state.Target) {
	if c.held.add(t, c.options.Clock.Now()) {
		c.options.EventLog.Record(event.TargetHeld, t.Name, fmt.Sprintf("pool %s was not configured; name or address is that of %s of pool %s", t.Pool, rival.Name, rival.Pool))
	}
	if c.Ledger().IsConfigured(t.Pool) {
		c.releaseHeld() // the pool was configured between the decision and now
	}
}

// releaseHeld registers the servers that were held until their pool was configured. One whose name
// or address belongs to a server of another configured pool waits for its next announcement, since
// this one may come from a foreign server.
func (c *Control) releaseHeld() {
	l := c.Ledger()
	due := slices.DeleteFunc(c.held.take(l.IsConfigured, c.options.Clock.Now()), func(t state.Target) bool {
		return l.Resolve(t).Decision != ledger.Register
	})
	if len(due) > 0 {
		go c.release(due)
	}
}

// release registers servers, a few at a time.
func (c *Control) release(list []state.Target) {
	var group sync.WaitGroup
	defer group.Wait()
	running := make(chan struct{}, maxReleasing)
	for _, t := range list {
		running <- struct{}{}
		group.Go(func() {
			c.releaseOne(t)
			<-running
		})
	}
}

// releaseOne registers a server. It tries again for a limited time; after that the server's next
// announcement counts.
func (c *Control) releaseOne(t state.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for {
		err := c.tryRelease(ctx, t)
		if err == nil {
			return
		}
		if !c.wait(ctx, pollPeriod) {
			c.options.EventLog.Record(event.TargetHeld, t.Name, "not registered for pool "+t.Pool+": "+err.Error())
			return
		}
	}
}

func (c *Control) tryRelease(ctx context.Context, t state.Target) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTry)
	defer cancel()
	return c.Register(ctx, t)
}

// announcements returns the backend servers that a proposal registers.
func announcements(data []byte) ([]state.Target, error) {
	if len(data) > maxAnnouncementBytes {
		return nil, nil
	}
	p, err := ledger.DecodeProposal(data)
	if err != nil {
		return nil, err
	}
	var list []state.Target
	for _, o := range p.Ticket.Set {
		if t, ok := o.(state.Target); ok && t.Phase != state.TargetGone {
			list = append(list, t)
		}
	}
	return list, nil
}

// checkAnnouncements returns an error if an announcement of a proposal may not replace another
// registration. Replicas check it before they propose; the leader does it again for registrations
// that they did not know yet, and for replicas of versions without the check.
func (c *Control) checkAnnouncements(list []state.Target) error {
	if len(list) > 0 && c.status.Load().Role != quorum.Leader {
		return ErrNotLeader // the log of another replica may hold entries that are never applied
	}
	l := c.Ledger()
	for _, t := range list {
		if l.Resolve(t).Decision == ledger.Hold {
			return ErrOvertaken
		}
		if !l.IsConfigured(t.Pool) && c.hasRivalInFlight(t) {
			return errRivalInFlight
		}
	}
	return nil
}

// hasRivalInFlight reports whether an entry of the log that is not applied yet may claim the name or
// the address of a server for another pool.
func (c *Control) hasRivalInFlight(t state.Target) bool {
	for _, entry := range c.node.ProposedAfter(c.appliedIndex) {
		pending, known := c.pending[entry.Index]
		if !known || pending.term != entry.Term {
			return true
		}
		for _, other := range pending.announced {
			if ledger.Rivals(t, other) {
				return true
			}
		}
	}
	return false
}

// heldKey identifies an announcement that is held. Servers of several pools may claim one name.
type heldKey struct{ name, pool string }

type heldTarget struct {
	target state.Target
	at     time.Time
}

// heldTargets are the announcements of servers that wait until their pool is configured. They are
// lost with the process; their servers repeat them.
type heldTargets struct {
	mu      sync.Mutex
	targets map[heldKey]heldTarget
}

// add adds or renews an announcement, and reports whether it is a new one.
func (h *heldTargets) add(t state.Target, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets == nil {
		h.targets = make(map[heldKey]heldTarget)
	}
	key := heldKey{t.Name, t.Pool}
	old, known := h.targets[key]
	if known && !t.Supersedes(old.target) {
		return false
	}
	if !known && len(h.targets) >= maxHeld {
		h.expire(now)
		if len(h.targets) >= maxHeld {
			return false
		}
	}
	h.targets[key] = heldTarget{target: t, at: now}
	return !known
}

func (h *heldTargets) expire(now time.Time) {
	for key, held := range h.targets {
		if now.Sub(held.at) > heldLife {
			delete(h.targets, key)
		}
	}
}

// take removes and returns the announcements whose pool is configured now.
func (h *heldTargets) take(isConfigured func(pool string) bool, now time.Time) []state.Target {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	var list []state.Target
	for key, held := range h.targets {
		if isConfigured(key.pool) {
			list = append(list, held.target)
			delete(h.targets, key)
		}
	}
	return list
}

// remove removes an announcement that needs to be held no longer.
func (h *heldTargets) remove(t state.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.targets, heldKey{t.Name, t.Pool})
}

// drop removes the announcements of a start of a server that has left, and of earlier ones.
func (h *heldTargets) drop(name string, boot uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, held := range h.targets {
		if key.name == name && held.target.Boot <= boot {
			delete(h.targets, key)
		}
	}
}

func (h *heldTargets) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.targets)
}
