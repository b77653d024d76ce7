package ctrl

import (
	"fmt"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
)

const (
	// repairPeriod is the time between two looks at the group.
	repairPeriod = 200 * time.Millisecond
	// goneAfter is the silence after which a replica may be replaced. It is twice
	// the longest election, so that an election alone replaces nobody.
	goneAfter = 2 * time.Second
	// growthPatience is how long a new group that is too small to bear its losses
	// accepts nothing. A group of five is whole within a second; where fewer VMs
	// exist, the fleet must start all the same.
	growthPatience = 3 * time.Second
	// maxReplicas bounds a group that grows by itself.
	maxReplicas = 9
)

// repairKind is a kind of membership change.
type repairKind string

// The membership changes that the leader makes by itself.
const (
	repairNothing repairKind = ""
	repairAdd     repairKind = "add"
	repairRemove  repairKind = "remove"
	repairPromote repairKind = "promote"
)

// repairStep is the next membership change.
type repairStep struct {
	kind    repairKind
	replica quorum.Replica
}

// repairView is what the next membership change is decided by.
type repairView struct {
	self  quorum.ID
	group quorum.Group
	// waiting are replicas that ask to be added.
	waiting []quorum.Replica
	// silence returns the time since a replica was heard.
	silence func(quorum.ID) time.Duration
	// caughtUp reports whether a replica holds everything committed.
	caughtUp func(quorum.ID) bool
	// wanted is the number of voters that the group should have.
	wanted int
}

// next returns the next step towards a group that is whole. A replica is added
// without a vote first. Once it has caught up, the one that it replaces is
// removed, and then it gets its vote.
//
// The pattern it answers: disks are lost, VMs are replaced by empty ones at
// other addresses, and VMs are away for seconds and come back. Only the first
// two may shrink the group.
func (v repairView) next() repairStep {
	for _, r := range v.waiting {
		_, known := v.group.Get(r.ID)
		if !known && (v.group.Len() < maxReplicas || v.replaced(r) != nil) {
			return repairStep{repairAdd, r}
		}
	}
	for _, r := range v.group.Replicas() {
		if !r.Learner {
			continue
		}
		if v.silence(r.ID) > goneAfter || v.superseded(r) {
			return repairStep{repairRemove, r}
		}
		if !v.caughtUp(r.ID) {
			continue
		}
		if old := v.replaced(r); old != nil {
			return repairStep{repairRemove, *old}
		}
		return repairStep{repairPromote, r}
	}
	if lost := v.surplus(); lost != nil {
		return repairStep{repairRemove, *lost}
	}
	return repairStep{}
}

// surplus returns the longest silent voter of a group that has more than it needs:
// another one has taken its place.
func (v repairView) surplus() *quorum.Replica {
	if v.group.VoterCount() <= v.wanted {
		return nil
	}
	return v.longestSilent(0)
}

// longestSilent returns the voter that has been silent for longest and long enough
// to be replaced, other than this replica and a new one.
func (v repairView) longestSilent(fresh quorum.ID) *quorum.Replica {
	var longest *quorum.Replica
	for _, r := range v.group.Replicas() {
		if r.ID == fresh || r.ID == v.self || r.Learner || v.silence(r.ID) <= goneAfter {
			continue
		}
		if longest == nil || v.silence(r.ID) > v.silence(longest.ID) {
			longest = &r
		}
	}
	return longest
}

// superseded reports whether a learner's VM has started again with another disk.
func (v repairView) superseded(learner quorum.Replica) bool {
	for _, r := range v.waiting {
		if r.VM == learner.VM && r.ID != learner.ID {
			return true
		}
	}
	return false
}

// replaced returns the member whose place a new replica takes: the one that its
// VM had before, or the longest silent one if there are enough voters.
func (v repairView) replaced(fresh quorum.Replica) *quorum.Replica {
	for _, r := range v.group.Replicas() {
		taken := r.VM == fresh.VM || r.Addr == fresh.Addr
		if taken && r.ID != fresh.ID && r.ID != v.self && !r.Learner {
			return &r
		}
	}
	if v.group.VoterCount() < v.wanted {
		return nil
	}
	return v.longestSilent(fresh.ID)
}

// tickRepair makes the next membership change, if this replica leads a group
// that repairs itself.
func (c *Control) tickRepair(now time.Time) {
	s := c.status.Load()
	if !c.selfRepairs() || s.Role != quorum.Leader || now.Sub(c.lastRepair) < repairPeriod {
		return
	}
	c.lastRepair = now
	step := c.repairView(s, now).next()
	var err error
	switch step.kind {
	case repairNothing:
		return
	case repairAdd:
		_, err = c.core.AddLearner(step.replica)
	case repairRemove:
		_, err = c.core.Remove(step.replica.ID)
	case repairPromote:
		_, err = c.core.Promote(step.replica.ID)
	}
	if err != nil {
		// A change under way, or a replica that fell behind: the next look decides anew.
		c.noteRepair(fmt.Sprintf("%s %s: %s", step.kind, step.replica.VM, err))
		return
	}
	c.repairNote = ""
	kinds := map[repairKind]event.Kind{
		repairAdd: event.ReplicaAdded, repairRemove: event.ReplicaRemoved, repairPromote: event.ReplicaPromoted,
	}
	c.options.Line.Record(kinds[step.kind], step.replica.VM, idText(step.replica.ID))
}

// noteRepair logs why the group could not be changed, once for each reason.
func (c *Control) noteRepair(why string) {
	if why == c.repairNote {
		return
	}
	c.repairNote = why
	c.options.Line.Record(event.RepairDelayed, c.options.VM, why)
}

func (c *Control) repairView(s *quorum.Status, now time.Time) repairView {
	v := repairView{
		self: s.ID, group: s.Group, wanted: c.options.wholeGroup(),
		silence: func(id quorum.ID) time.Duration {
			return now.Sub(latest(c.heard[id], c.ledSince))
		},
		caughtUp: func(id quorum.ID) bool { return s.Match[id] >= s.CommitIndex },
	}
	for _, w := range c.waiting {
		if now.Sub(w.heard) < waitingLimit {
			v.waiting = append(v.waiting, w.replica())
		}
	}
	return v
}

// selfRepairs reports whether the group founds and repairs itself, without
// operators who name its replicas.
func (c *Control) selfRepairs() bool { return len(c.options.Seeds) > 0 }

// wholeGroup is the number of voters with which the losses to be borne leave a
// majority.
func (o Options) wholeGroup() int { return 2*o.MaxFailures + 1 }

// growing reports whether the group that this VM has founded is still too small to
// go on after the losses that it has to bear. What it accepts now would be safe on
// the disks, but no majority would be left to read it.
func (c *Control) growing(now time.Time) bool {
	if !c.selfRepairs() || !c.options.Bootstrap || c.grown {
		return false
	}
	c.grown = c.core.Status().Group.VoterCount() >= c.options.wholeGroup()
	return !c.grown && now.Sub(c.ledSince) < growthPatience
}

// latest returns the later of two instants.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
