package ledger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// ticketApplier applies tickets one after another.
type ticketApplier struct {
	t      *testing.T
	ledger ledger.Ledger
	index  uint64
}

func (a *ticketApplier) apply(text string) ledger.Outcome {
	a.t.Helper()
	parsed, err := ticket.Parse("t", []byte(text))
	if err != nil {
		a.t.Fatal(err)
	}
	digest, err := parsed.Digest()
	if err != nil {
		a.t.Fatal(err)
	}
	a.index++
	data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: parsed, Digest: digest, Author: "test"})
	if err != nil {
		a.t.Fatal(err)
	}
	p, err := ledger.DecodeProposal(data)
	if err != nil {
		a.t.Fatal(err)
	}
	next, outcome := a.ledger.Apply(a.index, p)
	a.ledger = next
	return outcome
}

func poolTicket(number int, name string, floor float64) string {
	return fmt.Sprintf("number: %d\npools: [{name: %s, floor: %g}]\n", number, name, floor)
}

func TestTicketNumbers(t *testing.T) {
	is := is.New(t)
	a := &ticketApplier{t: t, ledger: ledger.New(100)}
	first := a.apply(poolTicket(5, "p", 0.5))
	is.Equal(first.Verdict, ledger.Accepted)

	repeated := a.apply(poolTicket(5, "p", 0.5))
	is.True(repeated.Repeated)
	is.Equal(repeated.Index, first.Index)

	other := a.apply(poolTicket(5, "p", 0.6))
	is.Equal(other.Verdict, ledger.Conflict)
	is.Equal(other.Digest, first.Digest)

	is.Equal(a.apply(poolTicket(4, "p", 0.6)).Verdict, ledger.Stale)
	is.Equal(a.apply(poolTicket(4, "q", 0.6)).Verdict, ledger.Accepted) // a different object
	is.Equal(a.apply("number: 6\nremove: {pools: [p]}\n").Verdict, ledger.Accepted)
	is.Equal(a.apply(poolTicket(3, "p", 0.6)).Verdict, ledger.Stale) // removed by a higher ticket
	is.Equal(a.apply("number: 7\nroutes: [{name: r, pool: p}]\n").Verdict, ledger.Refused)
	is.Equal(a.apply(poolTicket(7, "r", 0.6)).Verdict, ledger.Accepted) // a refused ticket does not use its number up
}

func TestDedupWindowBoundary(t *testing.T) {
	is := is.New(t)
	a := &ticketApplier{t: t, ledger: ledger.New(3)}
	for number := 10; number <= 13; number++ {
		is.Equal(a.apply(poolTicket(number, fmt.Sprint("p", number), 0.5)).Verdict, ledger.Accepted)
	}
	is.Equal(a.ledger.Numbers(), []uint64{11, 12, 13})
	is.Equal(a.ledger.HighestEvicted(), uint64(10))
	is.True(a.apply(poolTicket(11, "p11", 0.5)).Repeated)
	is.Equal(a.apply(poolTicket(10, "p10", 0.5)).Verdict, ledger.TooOld) // may be a resend that can no longer be recognised
	is.Equal(a.apply(poolTicket(9, "new", 0.5)).Verdict, ledger.TooOld)
}

func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	a := &ticketApplier{t: t, ledger: ledger.New(4)}
	for number := 1; number <= 6; number++ {
		a.apply(poolTicket(number, fmt.Sprint("p", number), 0.5))
	}
	a.apply("number: 7\nremove: {pools: [p6]}\n")
	snapshot, err := a.ledger.Snapshot()
	is.NoErr(err)
	loaded, err := ledger.FromSnapshot(snapshot, 4)
	is.NoErr(err)
	repeated, err := loaded.Snapshot()
	is.NoErr(err)
	is.Equal(snapshot, repeated)

	a.ledger = loaded
	is.True(a.apply(poolTicket(5, "p5", 0.5)).Repeated)
	is.Equal(a.apply(poolTicket(6, "p6", 0.9)).Verdict, ledger.Conflict)
	is.Equal(a.apply(poolTicket(3, "p3", 0.5)).Verdict, ledger.TooOld)
}

func TestKeyBelongsToOneWorkspace(t *testing.T) {
	is := is.New(t)
	a := &ticketApplier{t: t, ledger: ledger.New(100)}
	workspace := func(number int, name, key string) string {
		return fmt.Sprintf("number: %d\nworkspaces: [{name: %s, rate: 1, burst: 1, key-digests: [%q]}]\n", number, name, state.HashKey(key))
	}
	is.Equal(a.apply(workspace(1, "east", "k")).Verdict, ledger.Accepted)
	is.Equal(a.apply(workspace(2, "west", "k")).Verdict, ledger.Refused)
	is.Equal(a.apply(workspace(3, "east", "other")).Verdict, ledger.Accepted)
	is.Equal(a.apply(workspace(4, "west", "k")).Verdict, ledger.Accepted) // the key is no longer in use
	w, ok := a.ledger.State().Workspace(state.HashKey("k"))
	is.True(ok)
	is.Equal(w.Name, "west")
}

func FuzzDecodeProposal(f *testing.F) {
	parsed, _ := ticket.Parse("t", []byte(poolTicket(1, "p", 0.5)))
	data, _ := ledger.EncodeProposal(ledger.Proposal{Ticket: parsed})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		p, err := ledger.DecodeProposal(data)
		if err == nil {
			ledger.New(2).Apply(1, p)
		}
	})
}
