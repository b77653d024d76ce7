package ctrl

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
)

const (
	repairTimeout = 60 * time.Second
	repairPoll    = 50 * time.Millisecond
	// waitingLimit is the silence after which a replica no longer waits.
	waitingLimit = 5 * time.Second
)

// ErrNotJoining means that no process on that VM asks to be added.
var ErrNotJoining = errors.New("no replica on that VM asks to be added; start its process first")

// replicasAnswer is the answer of /v1/replicas.
type replicasAnswer struct {
	Leader   string          `json:"leader"`
	Replicas []replicaStatus `json:"replicas"`
	// Waiting are processes that are not members and could be added.
	Waiting []replicaStatus `json:"waiting,omitempty"`
	Done    bool            `json:"done"`
}

func (c *Control) getReplicas(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.current(w, r); ok {
		admin.Reply(w, http.StatusOK, c.replicas(r.Context(), true))
	}
}

func (c *Control) replicas(ctx context.Context, done bool) replicasAnswer {
	s := c.status.Load()
	answer := replicasAnswer{Leader: c.leaderVM(*s), Done: done}
	for _, r := range s.Group.Replicas() {
		answer.Replicas = append(answer.Replicas, replicaStatus{VM: r.VM, ID: idText(r.ID), Learner: r.Learner, Match: s.Match[r.ID]})
	}
	c.do(ctx, func() {
		for _, r := range c.waiting {
			if _, member := s.Group.Get(r.ID); !member && c.options.Clock.Now().Sub(r.heard) < waitingLimit {
				answer.Waiting = append(answer.Waiting, replicaStatus{VM: r.VM, ID: idText(r.ID)})
			}
		}
	})
	return answer
}

// putReplica adds the replica that waits on a VM. It takes the place of the
// member named by the query "replaces", or of the one on the same VM under
// another identity. The answer comes once the new replica has caught up, is
// synced and has its vote: only then is the repair done.
func (c *Control) putReplica(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), repairTimeout)
	defer cancel()
	vm := r.PathValue("vm")
	replaces := r.URL.Query().Get("replaces")
	if replaces == "" {
		replaces = vm
	}
	if err := c.repair(ctx, vm, replaces); err != nil {
		c.failRepair(w, err)
		return
	}
	admin.Reply(w, http.StatusOK, c.replicas(r.Context(), true))
}

func (c *Control) deleteReplica(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), repairTimeout)
	defer cancel()
	member, ok := c.status.Load().Group.ByVM(r.PathValue("vm"))
	if !ok {
		c.failRepair(w, quorum.ErrUnknownReplica)
		return
	}
	if err := c.change(ctx, func() (uint64, error) { return c.core.Remove(member.ID) }); err != nil {
		c.failRepair(w, err)
		return
	}
	c.options.Line.Record(event.ReplicaRemoved, member.VM, idText(member.ID))
	admin.Reply(w, http.StatusOK, c.replicas(r.Context(), true))
}

func (c *Control) failRepair(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrNotJoining) || errors.Is(err, quorum.ErrUnknownReplica) || errors.Is(err, quorum.ErrLastVoter) {
		admin.Reply(w, http.StatusUnprocessableEntity, failure{Error: err.Error()})
		return
	}
	c.fail(w, err)
}

// repair adds a learner, waits until it holds everything, removes the replica
// that it replaces and gives it the vote. Every step may be repeated.
func (c *Control) repair(ctx context.Context, vm, replaces string) error {
	fresh, err := c.findWaiting(ctx, vm)
	if err != nil {
		return err
	}
	err = c.change(ctx, func() (uint64, error) { return c.core.AddLearner(fresh) })
	if err != nil && !errors.Is(err, quorum.ErrReplicaExists) {
		return errors.Wrap(err, "add learner")
	}
	if err := c.awaitCaughtUp(ctx, fresh.ID); err != nil {
		return errors.Wrap(err, "catch up")
	}
	if old, ok := c.memberToReplace(replaces, fresh.ID); ok {
		if err := c.change(ctx, func() (uint64, error) { return c.core.Remove(old.ID) }); err != nil {
			return errors.Wrap(err, "remove the old replica")
		}
		c.options.Line.Record(event.ReplicaRemoved, old.VM, idText(old.ID))
	}
	if err := c.change(ctx, func() (uint64, error) { return c.core.Promote(fresh.ID) }); err != nil {
		return errors.Wrap(err, "promote")
	}
	if err := c.awaitCaughtUp(ctx, fresh.ID); err != nil {
		return errors.Wrap(err, "catch up after promotion")
	}
	c.options.Line.Record(event.ReplicaPromoted, vm, idText(fresh.ID))
	return nil
}

// findWaiting returns the replica that waits on a VM, or that was added before.
func (c *Control) findWaiting(ctx context.Context, vm string) (quorum.Replica, error) {
	var found waitingReplica
	err := c.do(ctx, func() { found = c.waiting[vm] })
	if err != nil {
		return quorum.Replica{}, err
	}
	group := c.status.Load().Group
	lately := c.options.Clock.Now().Sub(found.heard) < waitingLimit
	member, known := group.Get(found.ID)
	if known && !member.Learner || !known && !lately {
		return quorum.Replica{}, ErrNotJoining
	}
	return found.replica(), nil
}

// memberToReplace returns the member on a VM that is not the fresh one.
func (c *Control) memberToReplace(vm string, fresh quorum.ID) (quorum.Replica, bool) {
	for _, r := range c.status.Load().Group.Replicas() {
		if r.VM == vm && r.ID != fresh {
			return r, true
		}
	}
	return quorum.Replica{}, false
}

// change makes one membership change and waits until it is committed.
func (c *Control) change(ctx context.Context, propose func() (uint64, error)) error {
	for {
		var index uint64
		var failed error
		if err := c.do(ctx, func() { index, failed = propose() }); err != nil {
			return err
		}
		if failed == nil {
			return c.awaitCommit(ctx, index)
		}
		later := errors.Is(failed, quorum.ErrNotCaughtUp) || errors.Is(failed, quorum.ErrChangePending) || errors.Is(failed, quorum.ErrNotReady)
		if !later {
			return failed
		}
		if err := pause(ctx); err != nil {
			return failed
		}
	}
}

func (c *Control) awaitCommit(ctx context.Context, index uint64) error {
	for {
		s := c.status.Load()
		if s.CommitIndex >= index {
			return nil
		}
		if s.Role != quorum.Leader {
			return ErrNotLeader
		}
		if err := pause(ctx); err != nil {
			return ErrOutcomeUnknown
		}
	}
}

// awaitCaughtUp waits until a replica has synced everything committed so far.
func (c *Control) awaitCaughtUp(ctx context.Context, id quorum.ID) error {
	goal := c.status.Load().CommitIndex
	for {
		s := c.status.Load()
		if s.Role != quorum.Leader {
			return ErrNotLeader
		}
		if s.Match[id] >= goal {
			return nil
		}
		if err := pause(ctx); err != nil {
			return err
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(repairPoll):
		return nil
	}
}
