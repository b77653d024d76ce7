package ticket_test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const validTicket = `
number: 12
workspaces:
  - name: showroom-east
    rate: 50            # requests per second
    burst: 100
    key-digests: [sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08]
pools:
  - {name: loan-desk, floor: 0.6}
routes:
  - name: decisions
    host: loan.example
    path-prefix: /decisions/
    methods: [POST]
    pool: loan-desk
    idempotent: false
    deadline: 3s
data-centres:
  - {name: fukuoka, state: in}
remove:
  routes: [old-decisions]
`

func TestParseValidTicket(t *testing.T) {
	is := is.New(t)
	parsed, err := ticket.Parse("12.yaml", []byte(validTicket))
	is.NoErr(err)
	is.Equal(parsed.Number, uint64(12))
	is.Equal(len(parsed.Set), 4)
	is.Equal(parsed.Remove, []state.Ref{{Kind: state.KindRoute, Name: "old-decisions"}})

	data, err := parsed.Canonical()
	is.NoErr(err)
	decoded, err := ticket.Decode(data)
	is.NoErr(err)
	first, err := parsed.Digest()
	is.NoErr(err)
	second, err := decoded.Digest()
	is.NoErr(err)
	is.Equal(first, second)
}

func TestDigestIgnoresLayout(t *testing.T) {
	is := is.New(t)
	a, err := ticket.Parse("a", []byte("number: 3\npools: [{name: p, floor: 0.5}, {name: q}]\n"))
	is.NoErr(err)
	b, err := ticket.Parse("b", []byte(`{"pools": [{"name": "q"}, {"floor": 0.50, "name": "p"}], "number": 3}`))
	is.NoErr(err)
	da, _ := a.Digest()
	db, _ := b.Digest()
	is.Equal(da, db)
}

func TestFindingsIncludePositions(t *testing.T) {
	is := is.New(t)
	_, err := ticket.Parse("bad.yaml", []byte(`number: 0
workspaces:
  - name: Bad_Name
    rate: .nan
    burst: 10
    colour: red
  - name: east
    rate: 1
    rate: 2
    burst: 1
    key-digests: [secret]
pools:
  - name: p
  - name: p
routes:
  - name: r
    path-prefix: decisions
`))
	var found check.Findings
	is.True(errors.As(err, &found))
	for _, position := range []string{
		"bad.yaml:1:9:", "bad.yaml:3:11:", "bad.yaml:4:11:", "bad.yaml:6:5:",
		"bad.yaml:9:5:", "bad.yaml:11:19:", "bad.yaml:14:5:", "bad.yaml:17:18:",
	} {
		if !strings.Contains(err.Error(), position) {
			t.Errorf("no finding at %s in:\n%s", position, err)
		}
	}
}

func TestParseRejectsInvalidTickets(t *testing.T) {
	for _, text := range []string{
		"", "[]", "number: 1", "number: 1\n---\nnumber: 2", "a: &x 1\nb: *x",
		"number: 1\npools: [&p {name: p}, *p]",
		"number: 1\nlease-voters: [e1, e2]",
		"number: 1\nworkspaces: [{name: a, rate: 1, burst: 1, key-digests: [" + state.HashKey("k").String() +
			"]}, {name: b, rate: 1, burst: 1, key-digests: [" + state.HashKey("k").String() + "]}]",
	} {
		if _, err := ticket.Parse("t", []byte(text)); err == nil {
			t.Errorf("invalid ticket accepted: %q", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTicket))
	f.Add([]byte("number: 1\nremove: {pools: [p]}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := ticket.Parse("f", data)
		if err != nil {
			return
		}
		canonical, err := parsed.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ticket.Decode(canonical); err != nil {
			t.Fatal(err)
		}
	})
}
