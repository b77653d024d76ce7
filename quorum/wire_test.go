package quorum

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/wire"
)

func TestMessageWireRoundTrip(t *testing.T) {
	is := is.New(t)
	group := NewGroup(Replica{ID: 3, VM: "c3", Addr: "127.0.0.1:1"}, Replica{ID: 1, VM: "c1", Learner: true})
	m := Message{
		Kind: Append, From: 1, To: 3, Term: 7, Index: 4, LogTerm: 6, CommitIndex: 3, Round: 9,
		Entries: []Entry{
			{Index: 5, Term: 7, Kind: DataEntry, Data: []byte("data")},
			{Index: 6, Term: 7, Kind: MembershipEntry, Group: group},
		},
		Snapshot: &Snapshot{Index: 4, Term: 6, Group: group, Data: []byte("image")},
	}
	out, err := MessageToWire(m)
	is.NoErr(err)
	decoded, err := MessageFromWire(out)
	is.NoErr(err)
	is.Equal(decoded, m)
}

func FuzzMessage(f *testing.F) {
	out, _ := MessageToWire(Message{
		Kind: Append, From: 2, To: 1, Term: 1, CommitIndex: 1,
		Entries: []Entry{{Index: 1, Term: 1, Kind: DataEntry, Data: []byte("data")}},
	})
	data, _ := proto.Marshal(out)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var in wire.Raft
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		m, err := MessageFromWire(&in)
		if err != nil {
			return
		}
		group := NewGroup(Replica{ID: 1}, Replica{ID: 2}, Replica{ID: 3})
		node, err := New(1, PersistedState{Snapshot: Snapshot{Group: group}})
		if err != nil {
			t.Fatal(err)
		}
		node.Step(m)
		node.Effects()
	})
}
