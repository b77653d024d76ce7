package ctrl

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
)

const (
	repairTimeout    = 60 * time.Second
	repairPollPeriod = 50 * time.Millisecond
	// joinTimeout is the silence after which a replica no longer counts as joining.
	joinTimeout = 5 * time.Second
)

// ErrNotJoining means that no process on a VM asks to join the group.
var ErrNotJoining = errors.New("no replica on that VM is waiting to join; start its control process first")

// replicasResponse is the response to /v1/replicas.
type replicasResponse struct {
	Leader   string          `json:"leader"`
	Replicas []replicaStatus `json:"replicas"`
	// Waiting are replicas that are not members and ask to join.
	Waiting []replicaStatus `json:"waiting,omitempty"`
	Done    bool            `json:"done"`
}

func (c *Control) getReplicas(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.currentLedger(w, r); ok {
		admin.WriteJSON(w, http.StatusOK, c.replicas(r.Context(), true))
	}
}

func (c *Control) replicas(ctx context.Context, done bool) replicasResponse {
	s := c.status.Load()
	response := replicasResponse{Leader: c.leaderVM(*s), Done: done}
	for _, r := range s.Group.Replicas() {
		response.Replicas = append(response.Replicas, replicaStatus{VM: r.VM, ID: formatID(r.ID), Learner: r.Learner, Match: s.Match[r.ID]})
	}
	c.do(ctx, func() {
		for _, r := range c.joining {
			if _, member := s.Group.Get(r.ID); !member && c.options.Clock.Now().Sub(r.lastHeard) < joinTimeout {
				response.Waiting = append(response.Waiting, replicaStatus{VM: r.VM, ID: formatID(r.ID)})
			}
		}
	})
	return response
}

// Query parameters that name the replica that is added or removed, and the one that it replaces, by
// identity.
const (
	replicaParameter  = "id"
	replacedParameter = "replaced-id"
)

// putReplica adds the replica that is joining from a VM. It replaces the member
// named by the query parameter "replaces", or else the one on the same VM under
// another identity. It responds only after the new replica has caught up, synced
// its data and been promoted to voter.
func (c *Control) putReplica(w http.ResponseWriter, r *http.Request) {
	if !c.leads() {
		c.replyUnavailable(w, ErrNotLeader) // others may not have heard of the replica yet
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), repairTimeout)
	defer cancel()
	vm := r.PathValue("vm")
	replaces := r.URL.Query().Get("replaces")
	if replaces == "" {
		replaces = vm
	}
	added, err := c.findJoining(ctx, vm)
	if err != nil {
		c.replyRepairError(w, err)
		return
	}
	old, _ := c.memberToReplace(replaces, added.ID)
	names := url.Values{"replaces": {replaces}, replicaParameter: {formatID(added.ID)}, replacedParameter: {formatID(old.ID)}}
	if !c.checkNamed(w, r, names) {
		return
	}
	if err := c.repair(ctx, added, old.ID); err != nil {
		c.replyRepairError(w, err)
		return
	}
	admin.WriteJSON(w, http.StatusOK, c.replicas(r.Context(), true))
}

func (c *Control) deleteReplica(w http.ResponseWriter, r *http.Request) {
	if !c.leads() {
		c.replyUnavailable(w, ErrNotLeader) // others may not have heard of the replica yet
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), repairTimeout)
	defer cancel()
	member, ok := c.status.Load().Group.ByVM(r.PathValue("vm"))
	if !ok {
		c.replyRepairError(w, quorum.ErrUnknownReplica)
		return
	}
	if !c.checkNamed(w, r, url.Values{replicaParameter: {formatID(member.ID)}}) {
		return
	}
	if err := c.changeMembership(ctx, func() (uint64, error) { return c.node.Remove(member.ID) }); err != nil {
		c.replyRepairError(w, err)
		return
	}
	c.options.EventLog.Record(event.ReplicaRemoved, member.VM, formatID(member.ID))
	admin.WriteJSON(w, http.StatusOK, c.replicas(r.Context(), true))
}

// checkNamed reports whether a call names the replicas that it would change now, and answers it
// otherwise. A call that names VMs only is answered with a redirect that names their replicas: if
// it is read late, other replicas may be there by then, and its caller does not follow.
func (c *Control) checkNamed(w http.ResponseWriter, r *http.Request, names url.Values) bool {
	if r.URL.Query().Get(replicaParameter) == "" {
		w.Header().Set("Location", r.URL.EscapedPath()+"?"+names.Encode())
		w.WriteHeader(http.StatusTemporaryRedirect)
		return false
	}
	for name := range names {
		if r.URL.Query().Get(name) != names.Get(name) {
			c.replyRepairError(w, quorum.ErrUnknownReplica)
			return false
		}
	}
	return true
}

func (c *Control) replyRepairError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrNotJoining) || errors.Is(err, quorum.ErrUnknownReplica) || errors.Is(err, quorum.ErrLastVoter) {
		admin.WriteJSON(w, http.StatusUnprocessableEntity, errorResponse{Error: err.Error()})
		return
	}
	c.replyUnavailable(w, err)
}

// repair adds a learner, waits until it has caught up, removes the replica that it
// replaces, if any, and promotes the learner to voter. Every step may be repeated.
func (c *Control) repair(ctx context.Context, added quorum.Replica, replaced quorum.ID) error {
	err := c.changeMembership(ctx, func() (uint64, error) { return c.node.AddLearner(added) })
	if err != nil && !errors.Is(err, quorum.ErrReplicaExists) {
		return errors.Wrap(err, "add learner")
	}
	if err := c.awaitCaughtUp(ctx, added.ID); err != nil {
		return errors.Wrap(err, "catch up")
	}
	if old, ok := c.status.Load().Group.Get(replaced); ok {
		if err := c.changeMembership(ctx, func() (uint64, error) { return c.node.Remove(old.ID) }); err != nil {
			return errors.Wrap(err, "remove the old replica")
		}
		c.options.EventLog.Record(event.ReplicaRemoved, old.VM, formatID(old.ID))
	}
	if err := c.changeMembership(ctx, func() (uint64, error) { return c.node.Promote(added.ID) }); err != nil {
		return errors.Wrap(err, "promote")
	}
	if err := c.awaitCaughtUp(ctx, added.ID); err != nil {
		return errors.Wrap(err, "catch up after promotion")
	}
	c.options.EventLog.Record(event.ReplicaPromoted, added.VM, formatID(added.ID))
	return nil
}

// findJoining returns the replica that is joining from a VM, or a learner that was
// added before.
func (c *Control) findJoining(ctx context.Context, vm string) (quorum.Replica, error) {
	var found joiningReplica
	err := c.do(ctx, func() { found = c.joining[vm] })
	if err != nil {
		return quorum.Replica{}, err
	}
	group := c.status.Load().Group
	recent := c.options.Clock.Now().Sub(found.lastHeard) < joinTimeout
	member, known := group.Get(found.ID)
	if known && !member.Learner || !known && !recent {
		return quorum.Replica{}, ErrNotJoining
	}
	return found.replica(), nil
}

// memberToReplace returns the member on a VM other than the added replica.
func (c *Control) memberToReplace(vm string, added quorum.ID) (quorum.Replica, bool) {
	for _, r := range c.status.Load().Group.Replicas() {
		if r.VM == vm && r.ID != added {
			return r, true
		}
	}
	return quorum.Replica{}, false
}

// changeMembership makes one membership change and waits until it is committed. It
// retries while another change is pending or a replica has to catch up.
func (c *Control) changeMembership(ctx context.Context, propose func() (uint64, error)) error {
	for {
		var index uint64
		var changeErr error
		if err := c.do(ctx, func() { index, changeErr = propose() }); err != nil {
			return err
		}
		if changeErr == nil {
			return c.awaitCommit(ctx, index)
		}
		retry := errors.Is(changeErr, quorum.ErrNotCaughtUp) || errors.Is(changeErr, quorum.ErrChangePending) || errors.Is(changeErr, quorum.ErrNotReady)
		if !retry {
			return changeErr
		}
		if err := waitForPoll(ctx); err != nil {
			return changeErr
		}
	}
}

func (c *Control) awaitCommit(ctx context.Context, index uint64) error {
	for {
		s := c.status.Load()
		if s.AgreedIndex >= index {
			return nil
		}
		if s.Role != quorum.Leader {
			return ErrNotLeader
		}
		if err := waitForPoll(ctx); err != nil {
			return ErrOutcomeUnknown
		}
	}
}

// awaitCaughtUp waits until a replica has synced everything that a majority holds for good so far.
func (c *Control) awaitCaughtUp(ctx context.Context, id quorum.ID) error {
	target := c.status.Load().AgreedIndex
	for {
		s := c.status.Load()
		if s.Role != quorum.Leader {
			return ErrNotLeader
		}
		if s.Match[id] >= target {
			return nil
		}
		if err := waitForPoll(ctx); err != nil {
			return err
		}
	}
}

func waitForPoll(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(repairPollPeriod):
		return nil
	}
}
