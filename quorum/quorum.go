// Package quorum implements the Raft consensus algorithm (Ongaro and Ousterhout,
// 2014) with pre-vote, check-quorum, read index, snapshots, learners and
// single-replica membership changes.
//
// A Node does no I/O, starts no goroutine and reads no clock; its random numbers come
// from the Random option. The caller feeds it messages, ticks and proposals, and
// carries out the Effects in this order: write and sync HardState, Install and Append;
// call MarkPersisted; send the messages in Send; apply Committed. Nothing may be sent
// before it is synced.
//
// # Usage
//
//	node, err := quorum.New(quorum.ID(7), persisted, quorum.Random(source))
//	node.Tick()
//	node.Step(message)
//	index, term, err := node.Propose(data)
//	effects := node.Effects()
//	// write, sync
//	node.MarkPersisted(effects)
//	// send, apply
package quorum

import (
	"github.com/go-faster/errors"
)

// Errors returned by a Node.
var (
	// ErrNotLeader means that the operation is possible on the leader only.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrNotReady means that the leader has not committed an entry of its term yet.
	ErrNotReady = errors.New("the leader has not committed an entry of its term yet")
	// ErrChangePending means that an earlier membership change is not committed yet.
	ErrChangePending = errors.New("another membership change is not committed yet")
	// ErrNotCaughtUp means that a learner lacks committed entries or did not answer lately.
	ErrNotCaughtUp = errors.New("the learner has not caught up with the leader yet")
	// ErrUnknownReplica means that the replica is not a member of the group.
	ErrUnknownReplica = errors.New("the replica is not a member of the group")
	// ErrReplicaExists means that the replica is a member of the group already.
	ErrReplicaExists = errors.New("the replica is already a member of the group")
	// ErrLastVoter means that the change would leave the group without a voter.
	ErrLastVoter = errors.New("the last voter cannot be removed")
)

// ID identifies a replica together with its disk: a replica that lost its disk
// rejoins under a new ID, because it no longer knows its votes and log.
type ID uint64

// Role is the Raft role of a replica.
type Role string

// Roles of a replica.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// EntryKind is the type of a log entry.
type EntryKind string

// Kinds of log entries.
const (
	NoopEntry       EntryKind = "noop"
	DataEntry       EntryKind = "data"
	MembershipEntry EntryKind = "member"
)

// Entry is a log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Group is the new group, in a MembershipEntry only.
	Group Group
}

// HardState is the state that must be synced before any message of its term is sent.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot is the applied state at Index and replaces the log up to and including it.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	Data  []byte
}

// MessageKind is the type of a message.
type MessageKind string

// Kinds of messages.
const (
	PreVote         MessageKind = "pre-vote"
	PreVoteAnswer   MessageKind = "pre-vote-answer"
	Vote            MessageKind = "vote"
	VoteAnswer      MessageKind = "vote-answer"
	Append          MessageKind = "append"
	AppendAnswer    MessageKind = "append-answer"
	InstallSnapshot MessageKind = "install-snapshot"
	TimeoutNow      MessageKind = "timeout-now"
)

// Message is a Raft message between two replicas.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm identify the entry before Entries, or the candidate's last
	// entry. In an AppendAnswer, Index is the last matching entry, or the rejected
	// Index if Reject is set.
	Index       uint64
	LogTerm     uint64
	Entries     []Entry
	CommitIndex uint64
	Reject      bool
	// Hint is the highest index at which a follower that rejects an Append may match.
	Hint uint64
	// Round is the leader's read round; answers return it to confirm reads.
	Round    uint64
	Snapshot *Snapshot
	// Transfer marks vote requests caused by a leadership transfer.
	Transfer bool
}

// ConfirmedRead is a linearizable read: Index was the commit index when the read was
// requested.
type ConfirmedRead struct {
	Token uint64
	Index uint64
	Term  uint64
}

// Effects is the work that a Node requests from its caller.
type Effects struct {
	// HardState is to be written. It is nil if unchanged.
	HardState *HardState
	// Install is a snapshot that replaces the state and the log, nil if there is none.
	Install *Snapshot
	// Append is to be written, replacing existing entries from Append[0].Index on.
	Append []Entry
	Send   []Message
	// Committed is to be applied in order.
	Committed []Entry
	Reads     []ConfirmedRead
}

// Empty reports whether no work is requested.
func (e Effects) Empty() bool {
	return e.HardState == nil && e.Install == nil && len(e.Append) == 0 &&
		len(e.Send) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// PersistedState is the state of a replica as read from its disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Status describes the current state of a replica.
type Status struct {
	ID          ID
	Role        Role
	Term        uint64
	Leader      ID
	LastIndex   uint64
	CommitIndex uint64
	// AgreedIndex is the highest index that a majority is known to hold for good, whether it may
	// be applied already or not.
	AgreedIndex uint64
	Group       Group
	// Match is the highest index that each replica is known to have synced, set on the
	// leader only.
	Match map[ID]uint64
}
