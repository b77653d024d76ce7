package quorum

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a replica that drops entries which it has acknowledged, because a snapshot of
// what came before them arrives late (LOST).
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	is := is.New(t)
	group := NewGroup(Replica{ID: 1, VM: "a"}, Replica{ID: 2, VM: "b"}, Replica{ID: 3, VM: "c"})
	node, err := New(2, PersistedState{Snapshot: Snapshot{Group: group}})
	is.NoErr(err)
	var entries []Entry
	for i := range uint64(8) {
		entries = append(entries, Entry{Index: i + 1, Term: 1, Kind: DataEntry, Data: []byte{byte(i)}})
	}
	disk := simDisk{snapshot: Snapshot{Group: group}}
	step := func(m Message) Message {
		node.Step(m)
		e := node.Effects()
		disk.save(e)
		node.MarkPersisted(e)
		is.Equal(len(e.Send), 1)
		return e.Send[0]
	}
	answer := step(Message{Kind: Append, From: 1, To: 2, Term: 1, Entries: entries, CommitIndex: 2})
	is.Equal(answer.Index, uint64(8))
	late := Snapshot{Index: 5, Term: 1, Group: group, Data: []byte("state")}
	answer = step(Message{Kind: InstallSnapshot, From: 1, To: 2, Term: 1, Snapshot: &late, CommitIndex: 5})
	is.True(!answer.Reject)
	is.Equal(node.Status().LastIndex, uint64(8))
	is.Equal(node.Status().CommitIndex, uint64(5))
	is.Equal(disk.snapshot.Index+uint64(len(disk.entries)), uint64(8)) // the disk keeps them as well
	// Entries of another term are replaced.
	other := Snapshot{Index: 7, Term: 2, Group: group, Data: []byte("state")}
	answer = step(Message{Kind: InstallSnapshot, From: 1, To: 2, Term: 2, Snapshot: &other, CommitIndex: 7})
	is.Equal(answer.Index, uint64(7))
	is.Equal(node.Status().LastIndex, uint64(7))
	is.Equal(disk.snapshot.Index+uint64(len(disk.entries)), uint64(7))
}
