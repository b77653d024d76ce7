package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/fresh"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// leaderItem is the name of the gossip item with the control leader's beacon.
const leaderItem = "leader"

// freshnessTracker gossips the evidence that the configuration is current: the beacons of
// the control leader and, on a lease voter, the heartbeats of this VM.
type freshnessTracker struct {
	entry *Entry
	boot  uint64

	mu    sync.Mutex
	fresh *fresh.Tracker
	// leaderIndex and leaderDigest are those of the leader's state at its last beacon.
	leaderIndex       uint64
	leaderDigest      uint64
	sequence          uint64
	heartbeatsAllowed bool
	lastErr           error

	// confirmed is closed once this VM may serve by its state, which it received first at
	// firstStateAt.
	confirmed    chan struct{}
	firstStateAt time.Time
}

// unconfirmedTimeout is how long an entry with the policy PartitionServe waits for evidence
// that its first state is current. If there is no control leader, the lease voters send
// heartbeats after half of fresh.HeartbeatTimeout.
const unconfirmedTimeout = 2 * time.Second

func newFreshnessTracker(e *Entry) *freshnessTracker {
	t := &freshnessTracker{
		entry: e, fresh: fresh.New(), boot: uint64(e.options.Clock.Now().UnixNano()), confirmed: make(chan struct{}),
	}
	e.fleet.Watch(fleet.KindBeacon, t.recordLeaderBeacon)
	e.fleet.Watch(fleet.KindVoter, t.recordVoterHeartbeat)
	return t
}

// relayLeaderBeacon gossips a beacon received from a control VM.
func (t *freshnessTracker) relayLeaderBeacon(b *wire.Beacon) {
	if b == nil {
		return
	}
	t.observeAccepted(b.GetIndex())
	body, err := proto.Marshal(b)
	if err != nil {
		return
	}
	t.entry.fleet.Publish(fleet.Item{
		Key:     fleet.Key{Kind: fleet.KindBeacon, Name: leaderItem},
		Version: fleet.Version{Boot: b.GetTerm(), Count: b.GetSeq()},
		Body:    body,
	})
}

// observeAccepted records that an index is accepted, while this VM does not know whether its first
// state is current. Gossip may have brought the same beacon from before that index was accepted.
func (t *freshnessTracker) observeAccepted(index uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isConfirmed() {
		t.fresh.ObserveAccepted(index, t.entry.options.Clock.Now())
	}
}

func (t *freshnessTracker) recordLeaderBeacon(item fleet.Item) {
	var b wire.Beacon
	if proto.Unmarshal(item.Body, &b) != nil {
		return
	}
	now := t.entry.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fresh.ObserveLeader(item.Version.Boot, item.Version.Count, b.GetIndex(), now)
	t.leaderIndex, t.leaderDigest = b.GetIndex(), b.GetDigest()
	t.confirm(t.entry.State(), now)
	go t.entry.watcher.compareWithLeader()
}

// diverges reports whether a state differs from the leader's at the same index. It must be called
// with the lock.
func (t *freshnessTracker) diverges(s state.State) bool {
	return t.leaderDigest != 0 && t.leaderIndex == s.Index() && t.leaderDigest != s.Digest()
}

// equalsLeader reports whether a state is that of the leader at its last beacon.
func (t *freshnessTracker) equalsLeader(s state.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaderDigest != 0 && t.leaderIndex == s.Index() && t.leaderDigest == s.Digest()
}

// checkDivergence returns an error if a state differs from the leader's at the same index.
func (t *freshnessTracker) checkDivergence(s state.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.diverges(s) {
		return errors.Wrapf(ErrDiverged, "index %d, digest %016x, the leader's is %016x", s.Index(), s.Digest(), t.leaderDigest)
	}
	return nil
}

func (t *freshnessTracker) recordVoterHeartbeat(item fleet.Item) {
	var b wire.VoterBeat
	if proto.Unmarshal(item.Body, &b) != nil {
		return
	}
	now := t.entry.options.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if item.Key.Name == t.entry.options.VM && item.Version.Boot > t.boot {
		// The wall clock of this VM has been set back since the last start.
		t.boot = item.Version.Boot + 1
	}
	t.fresh.ObserveVoter(item.Key.Name, item.Version.Boot, item.Version.Count, b.GetIndex(), now)
	t.confirm(t.entry.State(), now)
}

// confirmState lets this VM serve by a state if it is known to be current.
func (t *freshnessTracker) confirmState(s state.State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(s, now)
}

// confirm must be called with the lock. The VM that sent the first state may have missed
// changes itself, so that state is not served before a leader or a majority of the voters
// shows that nothing newer is accepted.
func (t *freshnessTracker) confirm(s state.State, now time.Time) {
	if t.isConfirmed() || s.Index() == 0 {
		return
	}
	if t.firstStateAt.IsZero() {
		t.firstStateAt = now
	}
	err := t.checkComplete(s, now)
	reason := "nothing newer is accepted"
	if err != nil {
		if errors.Is(err, ErrDiverged) {
			return // no state at all is better than one that nobody accepted
		}
		if t.entry.options.OnPartition != PartitionServe || now.Sub(t.firstStateAt) < unconfirmedTimeout {
			return
		}
		reason = "cut off: " + err.Error()
	}
	close(t.confirmed)
	t.entry.options.EventLog.Record(event.StateConfirmed, s.String(), reason)
}

// isConfirmed reports whether this VM may serve by its state.
func (t *freshnessTracker) isConfirmed() bool {
	select {
	case <-t.confirmed:
		return true
	default:
		return false
	}
}

// checkCurrent returns an error while a state may lack something that is accepted.
func (t *freshnessTracker) checkCurrent(s state.State, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkComplete(s, now)
}

// checkComplete is checkCurrent for callers that hold the lock.
func (t *freshnessTracker) checkComplete(s state.State, now time.Time) error {
	if t.diverges(s) {
		return ErrDiverged
	}
	return t.fresh.CheckCurrent(s.Index(), s.ActiveVoters(), now)
}

// checkServing returns an error while this VM must not serve with a state.
func (t *freshnessTracker) checkServing(s state.State, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh.CheckServing(s.Index(), s.ActiveVoters(), now)
}

// leaderNeverSeen reports whether no beacon of a control leader has been received since the
// start.
func (t *freshnessTracker) leaderNeverSeen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.fresh.LeaderEverSeen()
}

// tick sends a heartbeat if this VM is a lease voter and receives no leader beacons, and
// records when serving stops and resumes.
func (t *freshnessTracker) tick(now time.Time) {
	s := t.entry.State()
	if t.heartbeatDue(s, now) {
		t.sendHeartbeat(s)
	}
	err := t.entry.Ready()
	t.mu.Lock()
	changed := (err == nil) != (t.lastErr == nil)
	t.lastErr = err
	t.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		t.entry.options.EventLog.Record(event.ServingStopped, "", err.Error())
		return
	}
	t.entry.options.EventLog.Record(event.ServingResumed, "", "")
}

func (t *freshnessTracker) heartbeatDue(s state.State, now time.Time) bool {
	self, voters := t.entry.options.VM, s.ActiveVoters()
	if !slices.Contains(voters, self) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.heartbeatsAllowed {
		t.heartbeatsAllowed = t.fresh.MaySendHeartbeats(self, s.Index(), voters, now)
	}
	return t.heartbeatsAllowed && t.fresh.HeartbeatDue(now)
}

func (t *freshnessTracker) sendHeartbeat(s state.State) {
	body, err := proto.Marshal(&wire.VoterBeat{Index: s.Index()})
	if err != nil {
		return
	}
	t.mu.Lock()
	t.sequence++
	version := fleet.Version{Boot: t.boot, Count: t.sequence}
	t.mu.Unlock()
	t.entry.fleet.Publish(fleet.Item{
		Key: fleet.Key{Kind: fleet.KindVoter, Name: t.entry.options.VM}, Version: version, Body: body,
	})
}
