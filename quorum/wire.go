package quorum

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

// ErrInvalidMessage means that a message from another replica cannot be decoded.
var ErrInvalidMessage = errors.New("invalid Raft message")

var messageKinds = map[MessageKind]wire.RaftKind{
	PreVote:         wire.RaftKind_RAFT_KIND_PRE_VOTE,
	PreVoteAnswer:   wire.RaftKind_RAFT_KIND_PRE_VOTE_ANSWER,
	Vote:            wire.RaftKind_RAFT_KIND_VOTE,
	VoteAnswer:      wire.RaftKind_RAFT_KIND_VOTE_ANSWER,
	Append:          wire.RaftKind_RAFT_KIND_APPEND,
	AppendAnswer:    wire.RaftKind_RAFT_KIND_APPEND_ANSWER,
	InstallSnapshot: wire.RaftKind_RAFT_KIND_SNAPSHOT,
	TimeoutNow:      wire.RaftKind_RAFT_KIND_TIMEOUT_NOW,
}

var entryKinds = map[EntryKind]wire.EntryKind{
	NoopEntry:       wire.EntryKind_ENTRY_KIND_NOOP,
	DataEntry:       wire.EntryKind_ENTRY_KIND_TICKET,
	MembershipEntry: wire.EntryKind_ENTRY_KIND_MEMBERS,
}

// keyOf returns the key that table maps to value.
func keyOf[K, V comparable](table map[K]V, value V) (K, bool) {
	for k, v := range table {
		if v == value {
			return k, true
		}
	}
	var zero K
	return zero, false
}

// GroupToWire encodes a group.
func GroupToWire(g Group) []*wire.Replica {
	list := make([]*wire.Replica, 0, g.Len())
	for _, r := range g.replicas {
		list = append(list, &wire.Replica{Id: uint64(r.ID), Vm: r.VM, Addr: r.Addr, Learner: r.Learner})
	}
	return list
}

// GroupFromWire decodes a group.
func GroupFromWire(list []*wire.Replica) Group {
	replicas := make([]Replica, 0, len(list))
	for _, r := range list {
		replicas = append(replicas, Replica{ID: ID(r.GetId()), VM: r.GetVm(), Addr: r.GetAddr(), Learner: r.GetLearner()})
	}
	return NewGroup(replicas...)
}

// EntryToWire encodes a log entry.
func EntryToWire(e Entry) (*wire.LogEntry, error) {
	out := &wire.LogEntry{Index: e.Index, Term: e.Term, Kind: entryKinds[e.Kind], Data: e.Data}
	if e.Kind != MembershipEntry {
		return out, nil
	}
	data, err := proto.Marshal(&wire.Members{Replicas: GroupToWire(e.Group)})
	out.Data = data
	return out, err
}

// EntryFromWire decodes and validates a log entry.
func EntryFromWire(in *wire.LogEntry) (Entry, error) {
	kind, ok := keyOf(entryKinds, in.GetKind())
	if !ok || in.GetIndex() == 0 {
		return Entry{}, errors.Wrapf(ErrInvalidMessage, "entry index %d, kind %v", in.GetIndex(), in.GetKind())
	}
	e := Entry{Index: in.GetIndex(), Term: in.GetTerm(), Kind: kind, Data: in.GetData()}
	if kind != MembershipEntry {
		return e, nil
	}
	var members wire.Members
	if err := proto.Unmarshal(in.GetData(), &members); err != nil {
		return Entry{}, errors.Wrap(ErrInvalidMessage, err.Error())
	}
	e.Data = nil
	e.Group = GroupFromWire(members.GetReplicas())
	return e, nil
}

// MessageToWire encodes a message.
func MessageToWire(m Message) (*wire.Raft, error) {
	out := &wire.Raft{
		Kind: messageKinds[m.Kind], From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.CommitIndex, Reject: m.Reject,
		Hint: m.Hint, Round: m.Round, Transfer: m.Transfer,
	}
	for _, e := range m.Entries {
		entry, err := EntryToWire(e)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, entry)
	}
	if s := m.Snapshot; s != nil {
		out.Snapshot = &wire.Snapshot{Index: s.Index, Term: s.Term, Replicas: GroupToWire(s.Group), Data: s.Data}
	}
	return out, nil
}

// MessageFromWire decodes and validates a message.
func MessageFromWire(in *wire.Raft) (Message, error) {
	kind, ok := keyOf(messageKinds, in.GetKind())
	if !ok {
		return Message{}, errors.Wrapf(ErrInvalidMessage, "unknown message kind %v", in.GetKind())
	}
	m := Message{
		Kind: kind, From: ID(in.GetFrom()), To: ID(in.GetTo()), Term: in.GetTerm(),
		Index: in.GetIndex(), LogTerm: in.GetLogTerm(), CommitIndex: in.GetCommit(), Reject: in.GetReject(),
		Hint: in.GetHint(), Round: in.GetRound(), Transfer: in.GetTransfer(),
	}
	for i, entry := range in.GetEntries() {
		e, err := EntryFromWire(entry)
		if err != nil {
			return Message{}, err
		}
		if e.Index != m.Index+uint64(i)+1 {
			return Message{}, errors.Wrapf(ErrInvalidMessage, "entry %d follows entry %d", e.Index, m.Index+uint64(i))
		}
		m.Entries = append(m.Entries, e)
	}
	if s := in.GetSnapshot(); s != nil {
		m.Snapshot = &Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Group: GroupFromWire(s.GetReplicas()), Data: s.GetData()}
	}
	return m, nil
}
