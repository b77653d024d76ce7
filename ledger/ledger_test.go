package ledger_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// book applies tickets one after another.
type book struct {
	t      *testing.T
	ledger ledger.Ledger
	index  uint64
}

func (b *book) apply(text string) ledger.Outcome {
	b.t.Helper()
	parsed, err := ticket.Parse("t", []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	digest, err := parsed.Digest()
	if err != nil {
		b.t.Fatal(err)
	}
	b.index++
	data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: parsed, Digest: digest, Author: "test"})
	if err != nil {
		b.t.Fatal(err)
	}
	p, err := ledger.DecodeProposal(data)
	if err != nil {
		b.t.Fatal(err)
	}
	next, outcome := b.ledger.Apply(b.index, p)
	b.ledger = next
	return outcome
}

func poolTicket(number int, name string, floor float64) string {
	return fmt.Sprintf("number: %d\npools: [{name: %s, floor: %g}]\n", number, name, floor)
}

func TestNumbers(t *testing.T) {
	is := is.New(t)
	b := &book{t: t, ledger: ledger.New(100)}
	first := b.apply(poolTicket(5, "p", 0.5))
	is.Equal(first.Verdict, ledger.Accepted)

	again := b.apply(poolTicket(5, "p", 0.5))
	is.True(again.Repeated)
	is.Equal(again.Index, first.Index)

	other := b.apply(poolTicket(5, "p", 0.6))
	is.Equal(other.Verdict, ledger.Conflict)
	is.Equal(other.Digest, first.Digest)

	is.Equal(b.apply(poolTicket(4, "p", 0.6)).Verdict, ledger.Stale)
	is.Equal(b.apply(poolTicket(4, "q", 0.6)).Verdict, ledger.Accepted) // another object
	is.Equal(b.apply("number: 6\nremove: {pools: [p]}\n").Verdict, ledger.Accepted)
	is.Equal(b.apply(poolTicket(3, "p", 0.6)).Verdict, ledger.Stale) // removed by a higher one
	is.Equal(b.apply("number: 7\nroutes: [{name: r, pool: p}]\n").Verdict, ledger.Refused)
	is.Equal(b.apply(poolTicket(7, "r", 0.6)).Verdict, ledger.Accepted) // the number was free
}

func TestWindowIsExactAtItsEdge(t *testing.T) {
	is := is.New(t)
	b := &book{t: t, ledger: ledger.New(3)}
	for number := 10; number <= 13; number++ {
		is.Equal(b.apply(poolTicket(number, fmt.Sprint("p", number), 0.5)).Verdict, ledger.Accepted)
	}
	is.Equal(b.ledger.Numbers(), []uint64{11, 12, 13})
	is.Equal(b.ledger.HighestEvicted(), uint64(10))
	is.True(b.apply(poolTicket(11, "p11", 0.5)).Repeated)
	is.Equal(b.apply(poolTicket(10, "p10", 0.5)).Verdict, ledger.TooOld) // cannot be proved a resend
	is.Equal(b.apply(poolTicket(9, "new", 0.5)).Verdict, ledger.TooOld)
}

func TestImageKeepsEverything(t *testing.T) {
	is := is.New(t)
	b := &book{t: t, ledger: ledger.New(4)}
	for number := 1; number <= 6; number++ {
		b.apply(poolTicket(number, fmt.Sprint("p", number), 0.5))
	}
	b.apply("number: 7\nremove: {pools: [p6]}\n")
	image, err := b.ledger.Snapshot()
	is.NoErr(err)
	loaded, err := ledger.FromSnapshot(image, 4)
	is.NoErr(err)
	again, err := loaded.Snapshot()
	is.NoErr(err)
	is.Equal(image, again)

	b.ledger = loaded
	is.True(b.apply(poolTicket(5, "p5", 0.5)).Repeated)
	is.Equal(b.apply(poolTicket(6, "p6", 0.9)).Verdict, ledger.Conflict)
	is.Equal(b.apply(poolTicket(3, "p3", 0.5)).Verdict, ledger.TooOld)
}

func TestKeyBelongsToOneWorkspace(t *testing.T) {
	is := is.New(t)
	b := &book{t: t, ledger: ledger.New(100)}
	workspace := func(number int, name, key string) string {
		return fmt.Sprintf("number: %d\nworkspaces: [{name: %s, rate: 1, burst: 1, key-digests: [%q]}]\n", number, name, state.HashKey(key))
	}
	is.Equal(b.apply(workspace(1, "east", "k")).Verdict, ledger.Accepted)
	is.Equal(b.apply(workspace(2, "west", "k")).Verdict, ledger.Refused)
	is.Equal(b.apply(workspace(3, "east", "other")).Verdict, ledger.Accepted)
	is.Equal(b.apply(workspace(4, "west", "k")).Verdict, ledger.Accepted) // it is free now
	w, ok := b.ledger.State().Workspace(state.HashKey("k"))
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
