package ctrl

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// writeTickets writes a data folder with a number of tickets, as a replica leaves it.
func writeTickets(tb testing.TB, path string, tickets int) {
	tb.Helper()
	folder, err := store.OpenFolder(path)
	if err != nil {
		tb.Fatal(err)
	}
	defer folder.Close()
	group := quorum.NewGroup(quorum.Replica{ID: 1, VM: "c1"})
	if err := store.SaveIdentity(folder, store.Identity{ID: 1, VM: "c1", Founders: group, IsMember: true}); err != nil {
		tb.Fatal(err)
	}
	storage, _, err := store.Open(folder)
	if err != nil {
		tb.Fatal(err)
	}
	defer storage.Close()
	hard := quorum.HardState{Term: 1, Vote: 1}
	l := ledger.New(ledger.DefaultDedupWindow)
	var batch []quorum.Entry
	for i := 1; i <= tickets; i++ {
		entry := ticketEntry(tb, uint64(i))
		p, err := ledger.DecodeProposal(entry.Data)
		if err != nil {
			tb.Fatal(err)
		}
		l, _ = l.Apply(entry.Index, p)
		batch = append(batch, entry)
		if len(batch) < compactEntries && i < tickets {
			continue
		}
		if err := storage.Save(quorum.Effects{HardState: &hard, Append: batch}, hard); err != nil {
			tb.Fatal(err)
		}
		if len(batch) == compactEntries {
			data, err := l.Snapshot()
			if err != nil {
				tb.Fatal(err)
			}
			s := quorum.Snapshot{Index: entry.Index, Term: 1, Group: group, Data: data}
			if err := storage.Compact(s, hard, nil); err != nil {
				tb.Fatal(err)
			}
		}
		batch = nil
	}
}

func ticketEntry(tb testing.TB, number uint64) quorum.Entry {
	tb.Helper()
	t := ticket.Ticket{Number: number, Set: []state.Object{
		state.Workspace{Name: fmt.Sprint("w", number%5000), Rate: float64(number), Burst: 100, KeyDigests: []state.KeyDigest{state.HashKey(fmt.Sprint(number))}},
	}}
	digest, err := t.Digest()
	if err != nil {
		tb.Fatal(err)
	}
	data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: t, Digest: digest, Author: "test"})
	if err != nil {
		tb.Fatal(err)
	}
	return quorum.Entry{Index: number, Term: 1, Kind: quorum.DataEntry, Data: data}
}

// restart loads a data folder as a starting process does.
func restart(tb testing.TB, path string) ledger.Ledger {
	tb.Helper()
	folder, err := store.OpenFolder(path)
	if err != nil {
		tb.Fatal(err)
	}
	defer folder.Close()
	storage, restored, err := store.Open(folder)
	if err != nil {
		tb.Fatal(err)
	}
	defer storage.Close()
	l, err := replay(restored)
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

func TestRestartAfterManyTickets(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	const tickets = 10_000
	writeTickets(t, path, tickets)
	l := restart(t, path)
	is.Equal(l.State().Index(), uint64(tickets))
	is.Equal(len(l.Numbers()), ledger.DefaultDedupWindow)
	is.Equal(l.HighestEvicted(), uint64(tickets-ledger.DefaultDedupWindow))
}

func BenchmarkRestart(b *testing.B) {
	for _, tickets := range []int{1_000, 100_000} {
		b.Run(fmt.Sprint(tickets), func(b *testing.B) {
			path := b.TempDir()
			writeTickets(b, path, tickets)
			for b.Loop() {
				restart(b, path)
			}
		})
	}
}
