package ctrl

import (
	"fmt"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
)

const (
	// repairPeriod is the interval between membership checks.
	repairPeriod = 200 * time.Millisecond
	// replicaTimeout is the silence after which a replica may be replaced. It is twice
	// the longest election timeout, so that an election alone replaces no replica.
	replicaTimeout = 2 * time.Second
	// formationTimeout is how long a group that is too small to tolerate MaxFailures accepts no
	// tickets after its start. A group of five is complete within a second;
	// after the timeout a fleet with fewer VMs starts all the same.
	formationTimeout = 3 * time.Second
	// foundingTimeout is how long founders wait for other control VMs. It is twice formationTimeout,
	// since a smaller group then accepts tickets at once.
	foundingTimeout = 2 * formationTimeout
	// maxReplicas limits the size of a self-managed group.
	maxReplicas = 9
)

// repairKind is a kind of membership change.
type repairKind string

// The membership changes that the leader makes on its own.
const (
	repairNone    repairKind = ""
	repairAdd     repairKind = "add"
	repairRemove  repairKind = "remove"
	repairPromote repairKind = "promote"
)

// repairStep is a membership change.
type repairStep struct {
	kind    repairKind
	replica quorum.Replica
}

// groupView is the leader's view of the group, from which it derives the next
// membership change.
type groupView struct {
	self  quorum.ID
	group quorum.Group
	// joining are the replicas that ask to join.
	joining []quorum.Replica
	// silence returns the time since the last message from a replica.
	silence func(quorum.ID) time.Duration
	// caughtUp reports whether a replica holds every entry that a majority holds for good.
	caughtUp func(quorum.ID) bool
	// wantedVoters is the number of voters that the group should have.
	wantedVoters int
}

// nextStep returns the next membership change towards a complete group. A new
// replica is first added as a learner. Once it has caught up, the member that it
// replaces is removed, and then the learner is promoted to voter.
//
// Three cases occur: a disk is lost, a VM is replaced by a blank one at another
// address, and a VM is offline for seconds and returns. Only the first two may
// shrink the group.
func (v groupView) nextStep() repairStep {
	for _, r := range v.joining {
		_, known := v.group.Get(r.ID)
		if !known && (v.group.Len() < maxReplicas || v.replacedMember(r) != nil) {
			return repairStep{repairAdd, r}
		}
	}
	for _, r := range v.group.Replicas() {
		if !r.Learner {
			continue
		}
		if v.silence(r.ID) > replicaTimeout || v.superseded(r) {
			return repairStep{repairRemove, r}
		}
		if !v.caughtUp(r.ID) {
			continue
		}
		if old := v.replacedMember(r); old != nil {
			return repairStep{repairRemove, *old}
		}
		return repairStep{repairPromote, r}
	}
	if lost := v.surplusVoter(); lost != nil {
		return repairStep{repairRemove, *lost}
	}
	return repairStep{}
}

// surplusVoter returns the voter to remove from a group that has more voters than
// wanted: the one that has been silent longest, whose place another has taken.
func (v groupView) surplusVoter() *quorum.Replica {
	if v.group.VoterCount() <= v.wantedVoters {
		return nil
	}
	return v.longestSilentVoter(0)
}

// longestSilentVoter returns the voter that has been silent longest and for more
// than replicaTimeout, other than this replica and the added one.
func (v groupView) longestSilentVoter(added quorum.ID) *quorum.Replica {
	var longest *quorum.Replica
	for _, r := range v.group.Replicas() {
		if r.ID == added || r.ID == v.self || r.Learner || v.silence(r.ID) <= replicaTimeout {
			continue
		}
		if longest == nil || v.silence(r.ID) > v.silence(longest.ID) {
			longest = &r
		}
	}
	return longest
}

// superseded reports whether a learner's VM has restarted with another disk.
func (v groupView) superseded(learner quorum.Replica) bool {
	for _, r := range v.joining {
		if r.VM == learner.VM && r.ID != learner.ID {
			return true
		}
	}
	return false
}

// replacedMember returns the member that a new replica replaces: the previous
// replica of its VM or address, or, if there are enough voters, the one that has
// been silent longest.
func (v groupView) replacedMember(added quorum.Replica) *quorum.Replica {
	for _, r := range v.group.Replicas() {
		sameHost := r.VM == added.VM || r.Addr == added.Addr
		if sameHost && r.ID != added.ID && r.ID != v.self && !r.Learner {
			return &r
		}
	}
	if v.group.VoterCount() < v.wantedVoters {
		return nil
	}
	return v.longestSilentVoter(added.ID)
}

// tickRepair makes the next membership change if this replica leads a self-managed
// group.
func (c *Control) tickRepair(now time.Time) {
	s := c.status.Load()
	if !c.selfManaged() || s.Role != quorum.Leader || now.Sub(c.lastRepair) < repairPeriod {
		return
	}
	c.lastRepair = now
	step := c.groupView(s, now).nextStep()
	var err error
	switch step.kind {
	case repairNone:
		return
	case repairAdd:
		_, err = c.node.AddLearner(step.replica)
	case repairRemove:
		_, err = c.node.Remove(step.replica.ID)
	case repairPromote:
		_, err = c.node.Promote(step.replica.ID)
	}
	if err != nil {
		// Another change is pending, or the replica fell behind; the next check retries.
		c.logRepairDelay(fmt.Sprintf("%s %s: %s", step.kind, step.replica.VM, err))
		return
	}
	c.lastRepairError = ""
	kinds := map[repairKind]event.Kind{
		repairAdd: event.ReplicaAdded, repairRemove: event.ReplicaRemoved, repairPromote: event.ReplicaPromoted,
	}
	c.options.EventLog.Record(kinds[step.kind], step.replica.VM, formatID(step.replica.ID))
}

// logRepairDelay logs why the group could not be changed, once for each reason.
func (c *Control) logRepairDelay(why string) {
	if why == c.lastRepairError {
		return
	}
	c.lastRepairError = why
	c.options.EventLog.Record(event.RepairDelayed, c.options.VM, why)
}

func (c *Control) groupView(s *quorum.Status, now time.Time) groupView {
	v := groupView{
		self: s.ID, group: s.Group, wantedVoters: c.options.fullSize(),
		silence: func(id quorum.ID) time.Duration {
			return now.Sub(latest(c.lastHeard[id], c.leaderSince))
		},
		caughtUp: func(id quorum.ID) bool { return s.Match[id] >= s.AgreedIndex },
	}
	for _, r := range c.joining {
		if now.Sub(r.lastHeard) < joinTimeout {
			v.joining = append(v.joining, r.replica())
		}
	}
	return v
}

// selfManaged reports whether the group forms and repairs itself, as opposed to
// operators naming its replicas.
func (c *Control) selfManaged() bool { return len(c.options.Seeds) > 0 }

// fullSize is the number of voters that still have a majority after MaxFailures.
func (o Options) fullSize() int { return 2*o.MaxFailures + 1 }

// forming reports whether a group is still too small to continue after MaxFailures. A ticket
// accepted now would survive on the remaining disks, but no majority would be left to read it.
// The leader may have been restarted since the group was founded.
func (c *Control) forming(now time.Time) bool {
	if !c.selfManaged() || c.reachedFullSize {
		return false
	}
	return now.Sub(c.groupSince) < formationTimeout
}

// hasFullSize reports whether the full number of voters are known to be in the group: all of them
// have synced the beginning of its log, or it has accepted tickets before.
func (c *Control) hasFullSize(s quorum.Status) bool {
	if s.Group.VoterCount() < c.options.fullSize() {
		return false
	}
	isUnknown := func(r quorum.Replica) bool { return !r.Learner && s.Match[r.ID] == 0 }
	return c.Ledger().State().Index() > 0 || !slices.ContainsFunc(s.Group.Replicas(), isUnknown)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
