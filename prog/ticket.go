package prog

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

// ticketAnswer is a control VM's answer about a ticket.
type ticketAnswer struct {
	Number   uint64         `json:"number"`
	Verdict  ledger.Verdict `json:"verdict"`
	Stage    string         `json:"stage"`
	Digest   string         `json:"digest"`
	Index    uint64         `json:"index"`
	Author   string         `json:"author"`
	Repeated bool           `json:"repeated"`
	Findings check.Findings `json:"findings"`
}

// parseWait reads the stage to wait for.
func parseWait(text string) (string, error) {
	if text != "accepted" && text != "in-force" {
		return "", fmt.Errorf("%q is neither accepted nor in-force", text)
	}
	return text, nil
}

// readTicket reads and checks the file named by the only argument.
func readTicket(set *conf.Set, s streams) (ticket.Ticket, []byte, bool) {
	if set.NArg() != 1 {
		fmt.Fprintln(s.err, "expected one ticket file")
		return ticket.Ticket{}, nil, false
	}
	file := set.Arg(0)
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(s.err, err)
		return ticket.Ticket{}, nil, false
	}
	parsed, err := ticket.Parse(file, data)
	if err != nil {
		fmt.Fprintln(s.err, err)
		return ticket.Ticket{}, nil, false
	}
	return parsed, data, true
}

func checkCommand(*conf.Set) runner {
	return func(set *conf.Set, s streams) int {
		parsed, _, ok := readTicket(set, s)
		if !ok {
			return exitUsage
		}
		digest, err := parsed.Digest()
		if err != nil {
			fmt.Fprintln(s.err, err)
			return exitUsage
		}
		fmt.Fprintf(s.out, "ticket %d: sets %d, removes %d, digest %s\n", parsed.Number, len(parsed.Set), len(parsed.Remove), digest)
		return exitOK
	}
}

func applyCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	wait := conf.Var(set, "wait", "how far to wait: accepted or in-force", parseWait, conf.Default("in-force"))
	timeout := set.Duration("timeout", "longest wait", conf.Default("30s"))
	author := set.String("author", "author for the time line, where no client certificate names one", conf.Default(os.Getenv("USER")))
	return func(set *conf.Set, s streams) int {
		parsed, data, ok := readTicket(set, s)
		d := settings.open(set, *author)
		if unusable(set, s) || !ok {
			return exitUsage
		}
		return apply(d, parsed, data, *wait, *timeout, s)
	}
}

// apply sends a ticket and prints its outcome.
func apply(d *desk, parsed ticket.Ticket, data []byte, wait string, timeout time.Duration, s streams) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	path := fmt.Sprintf("/v1/tickets/%d", parsed.Number)
	answered, err := d.askLeader(ctx, http.MethodPut, path, data)
	if err != nil {
		fmt.Fprintf(s.err, "ticket %d: outcome unknown: %s; sending the same ticket again is safe\n", parsed.Number, err)
		return exitFailed
	}
	answer, err := decode[ticketAnswer](answered)
	if err != nil {
		fmt.Fprintf(s.err, "ticket %d: outcome unknown: %s; sending the same ticket again is safe\n", parsed.Number, err)
		return exitFailed
	}
	if answer.Verdict != ledger.Accepted {
		return refused(answer, s)
	}
	if wait == "in-force" && !awaitInForce(ctx, d, answer.Number) {
		fmt.Fprintf(s.err, "ticket %d: accepted at index %d, not known to be in force yet; sending the same ticket again is safe\n", answer.Number, answer.Index)
		return exitFailed
	}
	fmt.Fprintf(s.out, "ticket %d: %s at index %d, digest %s\n", answer.Number, wait, answer.Index, answer.Digest)
	return exitOK
}

// awaitInForce asks for the stage of an accepted ticket until it is in force.
func awaitInForce(ctx context.Context, d *desk, number uint64) bool {
	for {
		answered, err := d.askLeader(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil)
		if err != nil {
			return false
		}
		answer, err := decode[ticketAnswer](answered)
		if err == nil && answer.Stage == "in-force" {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(askPause / 3):
		}
	}
}

// refused prints why a ticket was not accepted.
func refused(a ticketAnswer, s streams) int {
	fmt.Fprintf(s.err, "ticket %d: %s\n", a.Number, a.Verdict)
	if a.Verdict == ledger.Conflict {
		fmt.Fprintf(s.err, "number %d is held by the ticket with digest %s, author %q\n", a.Number, a.Digest, a.Author)
	}
	if len(a.Findings) > 0 {
		fmt.Fprintln(s.err, a.Findings)
	}
	if a.Verdict == ledger.Refused {
		return exitUsage
	}
	return exitConflict
}

func showCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		path := "/v1/state"
		if set.NArg() > 0 {
			path = "/v1/tickets/" + url.PathEscape(set.Arg(0))
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		answered, err := d.askLeader(ctx, http.MethodGet, path, nil)
		if err != nil {
			fmt.Fprintln(s.err, err)
			return exitFailed
		}
		s.out.Write(answered.body)
		if answered.status != http.StatusOK {
			return exitFailed
		}
		return exitOK
	}
}

func digestCommand(*conf.Set) runner {
	return func(_ *conf.Set, s streams) int {
		line, _ := bufio.NewReader(s.in).ReadString('\n')
		key := strings.TrimRight(line, "\r\n")
		if key == "" {
			fmt.Fprintln(s.err, "no key on standard input")
			return exitUsage
		}
		fmt.Fprintln(s.out, state.HashKey(key))
		return exitOK
	}
}
