// Package quorum is the core of a replicated log: leader election and majority
// replication after the Raft algorithm (Ongaro and Ousterhout, 2014), with
// pre-vote, check-quorum, read index, snapshots, learners and single-replica
// membership changes.
//
// The core has no input or output, no goroutine, no clock and no random source
// of its own. Its driver feeds it messages, ticks and proposals, and carries
// out the Effects in this order: write and sync Hard, Install and Append; call
// Saved; send Send; apply Commit. Nothing may be sent before it is synced.
//
// # Usage
//
//	core, err := quorum.New(quorum.ID(7), restored, quorum.Random(source))
//	core.Tick()
//	core.Step(message)
//	index, err := core.Propose(data)
//	effects := core.Effects()
//	// write, sync
//	core.Saved(effects)
//	// send, apply
package quorum

import (
	"github.com/go-faster/errors"
)

// Errors of the core.
var (
	// ErrNotLeader means that only the leader can do this.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrNotReady means that the leader has committed nothing in its term yet.
	ErrNotReady = errors.New("the leader has not committed a record of its term yet")
	// ErrChangePending means that a membership change is still on its way.
	ErrChangePending = errors.New("another membership change is not committed yet")
	// ErrNotCaughtUp means that a learner lacks committed records.
	ErrNotCaughtUp = errors.New("the learner has not caught up yet")
	// ErrUnknownReplica means that the group has no such replica.
	ErrUnknownReplica = errors.New("the group has no such replica")
	// ErrReplicaExists means that the group already has the replica.
	ErrReplicaExists = errors.New("the group already has this replica")
	// ErrLastVoter means that the group would be left without a voter.
	ErrLastVoter = errors.New("the last voter cannot be removed")
)

// ID is the identity of a replica. An identity belongs to one disk: a replica
// that lost its disk comes back under a new one.
type ID uint64

// Role is what a replica does at present.
type Role string

// The roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre-candidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// EntryKind says what an entry carries.
type EntryKind string

// The kinds of entries.
const (
	NoopEntry       EntryKind = "noop"
	DataEntry       EntryKind = "data"
	MembershipEntry EntryKind = "member"
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
	// Group is the new group of a MemberEntry.
	Group Group
}

// HardState must be synced before any message of its term is sent.
type HardState struct {
	Term uint64
	Vote ID
}

// Snapshot is the applied state at an index, in place of the log up to there.
type Snapshot struct {
	Index uint64
	Term  uint64
	Group Group
	Data  []byte
}

// MessageKind is a kind of message.
type MessageKind string

// The kinds of messages.
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

// Message is sent between replicas.
type Message struct {
	Kind MessageKind
	From ID
	To   ID
	Term uint64
	// Index and LogTerm name the record before Entries, or a candidate's last
	// record. In an AppendAnswer, Index is the last record that matches.
	Index       uint64
	LogTerm     uint64
	Entries     []Entry
	CommitIndex uint64
	Reject      bool
	// Hint is the last index of a follower that rejects an Append.
	Hint uint64
	// Round is echoed by answers and confirms reads.
	Round    uint64
	Snapshot *Snapshot
	// Transfer marks votes that the old leader asked for.
	Transfer bool
}

// ConfirmedRead is a confirmed read: everything up to Index was committed when it was asked.
type ConfirmedRead struct {
	Token uint64
	Index uint64
	Term  uint64
}

// Effects is what the driver has to do.
type Effects struct {
	// HardState is nil if unchanged.
	HardState *HardState
	// Install replaces state and log.
	Install *Snapshot
	// Append is written after the record before Append[0], replacing any others.
	Append []Entry
	Send   []Message
	// Committed is applied in order.
	Committed []Entry
	Reads     []ConfirmedRead
}

// Empty reports whether there is nothing to do.
func (e Effects) Empty() bool {
	return e.HardState == nil && e.Install == nil && len(e.Append) == 0 &&
		len(e.Send) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0
}

// PersistedState is what a driver read from its disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Status describes a replica.
type Status struct {
	ID          ID
	Role        Role
	Term        uint64
	Leader      ID
	LastIndex   uint64
	CommitIndex uint64
	Group       Group
	// Match is how far each replica is known to have synced, on the leader only.
	Match map[ID]uint64
}
