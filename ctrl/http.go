package ctrl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const (
	// AuthorHeader names the author of a ticket where no client certificate does.
	AuthorHeader = "Dottereldeal-Author"

	acceptTimeout  = 10 * time.Second
	readTimeout    = 2 * time.Second
	maxInForceWait = 5 * time.Minute
	maxAuthorBytes = 128
)

// Stage says how far an accepted ticket has come.
type Stage string

// The stages.
const (
	// StageAccepted means that the ticket is durable on a majority.
	StageAccepted Stage = "accepted"
	// StageInForce means that no VM serves by an older state any more.
	StageInForce Stage = "in-force"
)

// ticketAnswer is the answer to PUT and GET of a ticket.
type ticketAnswer struct {
	Number   uint64         `json:"number"`
	Verdict  ledger.Verdict `json:"verdict"`
	Stage    Stage          `json:"stage,omitempty"`
	Digest   string         `json:"digest,omitempty"`
	Index    uint64         `json:"index,omitempty"`
	Author   string         `json:"author,omitempty"`
	Repeated bool           `json:"repeated,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
}

// failure is the answer when nothing can be said about a ticket.
type failure struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
	// Resend says that sending the same ticket again is safe.
	Resend bool `json:"resend"`
}

// Admin returns what this role adds to the operators' interface.
func (c *Control) Admin() []admin.Option {
	return []admin.Option{
		admin.Ready(c.Ready),
		admin.Status(func() any { return c.statusAnswer() }),
		admin.Line(c.options.Line),
		admin.Meter(c.options.Meter),
		admin.Handle("PUT /v1/tickets/{number}", c.putTicket),
		admin.Handle("GET /v1/tickets/{number}", c.getTicket),
		admin.Handle("GET /v1/state", c.getState),
		admin.Handle("GET /v1/replicas", c.getReplicas),
		admin.Handle("PUT /v1/replicas/{vm}", c.putReplica),
		admin.Handle("DELETE /v1/replicas/{vm}", c.deleteReplica),
	}
}

// putTicket accepts a ticket file.
func (c *Control) putTicket(w http.ResponseWriter, r *http.Request) {
	proposal, findings := c.readTicket(w, r)
	if len(findings) > 0 {
		answer := ticketAnswer{Number: proposal.Ticket.Number, Verdict: ledger.Refused, Findings: findings}
		admin.Reply(w, http.StatusUnprocessableEntity, answer)
		return
	}
	if wantsInForce(r) && !c.leads() {
		c.fail(w, ErrNotLeader) // only the leader knows what is in force
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	outcome, err := c.Propose(ctx, proposal)
	if err != nil {
		c.fail(w, err)
		return
	}
	answer := answerOf(outcome, proposal.Ticket)
	if outcome.Verdict != ledger.Accepted {
		admin.Reply(w, statusOf(outcome.Verdict), answer)
		return
	}
	answer.Stage = c.awaitStage(r, outcome.Index)
	admin.Reply(w, http.StatusOK, answer)
}

// readTicket reads and checks the request's body.
func (c *Control) readTicket(w http.ResponseWriter, r *http.Request) (ledger.Proposal, check.Findings) {
	var found check.Findings
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, ticket.MaxBytes))
	if err != nil {
		found.Add("body", "%s", err)
		return ledger.Proposal{}, found
	}
	parsed, err := ticket.Parse("ticket", body)
	if errors.As(err, &found) {
		return ledger.Proposal{}, found
	}
	if number := r.PathValue("number"); number != strconv.FormatUint(parsed.Number, 10) {
		found.Add("path", "number %q differs from the ticket's number %d", number, parsed.Number)
	}
	digest, err := parsed.Digest()
	if err != nil {
		found.Add("body", "%s", err)
	}
	return ledger.Proposal{Ticket: parsed, Digest: digest, Author: author(r)}, found
}

// author returns who sent a request: the name in the client certificate, or a
// header where there is none.
func author(r *http.Request) string {
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		return r.TLS.PeerCertificates[0].Subject.CommonName
	}
	name := r.Header.Get(AuthorHeader)
	if len(name) > maxAuthorBytes {
		name = name[:maxAuthorBytes]
	}
	return name
}

// wantsInForce reports whether a request waits until its ticket is in force.
func wantsInForce(r *http.Request) bool {
	return Stage(r.URL.Query().Get("wait")) == StageInForce
}

// leads reports whether this replica leads, as far as it knows.
func (c *Control) leads() bool { return c.status.Load().Role == quorum.Leader }

// awaitStage waits for in-force if the request asks for it.
func (c *Control) awaitStage(r *http.Request, index uint64) Stage {
	if !wantsInForce(r) {
		return StageAccepted
	}
	limit, err := time.ParseDuration(r.URL.Query().Get("timeout"))
	if err != nil || limit <= 0 || limit > maxInForceWait {
		limit = maxInForceWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if c.WaitInForce(ctx, index) != nil {
		return StageAccepted
	}
	return StageInForce
}

func answerOf(o ledger.Outcome, t ticket.Ticket) ticketAnswer {
	answer := ticketAnswer{
		Number: o.Number, Verdict: o.Verdict, Index: o.Index, Author: o.Author, Repeated: o.Repeated,
	}
	if o.Digest != (ticket.Digest{}) {
		answer.Digest = o.Digest.String()
	}
	for _, problem := range o.Problems {
		place := t.Place(problem.Ref)
		answer.Findings.Add(fmt.Sprintf("ticket:%d:%d", place.Line, place.Column), "%s", problem.Text)
	}
	return answer
}

func statusOf(v ledger.Verdict) int {
	switch v {
	case ledger.Accepted:
		return http.StatusOK
	case ledger.Refused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

// fail answers that the outcome is not known or that another replica leads.
func (c *Control) fail(w http.ResponseWriter, err error) {
	s := c.status.Load()
	admin.Reply(w, http.StatusServiceUnavailable, failure{Error: err.Error(), Leader: c.leaderVM(*s), Resend: true})
}

// getTicket tells what became of a number.
func (c *Control) getTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		http.Error(w, "ticket number is not a whole number", http.StatusBadRequest)
		return
	}
	if !c.leads() {
		c.fail(w, ErrNotLeader) // only the leader knows what is in force
		return
	}
	book, ok := c.current(w, r)
	if !ok {
		return
	}
	outcome, known := book.Outcome(number)
	if !known {
		http.Error(w, fmt.Sprintf("no accepted ticket %d is remembered", number), http.StatusNotFound)
		return
	}
	answer := answerOf(outcome, ticket.Ticket{})
	answer.Stage = StageAccepted
	inForce := false
	if c.do(r.Context(), func() { inForce = c.inForce(outcome.Index) }) == nil && inForce {
		answer.Stage = StageInForce
	}
	admin.Reply(w, http.StatusOK, answer)
}

// current returns the confirmed state, or answers that there is none here.
func (c *Control) current(w http.ResponseWriter, r *http.Request) (ledger.Ledger, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	book, err := c.Current(ctx)
	if err != nil {
		c.fail(w, err)
		return ledger.Ledger{}, false
	}
	return book, true
}

// stateObject is one object of GET /v1/state.
type stateObject struct {
	Kind   string `json:"kind"`
	Number uint64 `json:"number"`
	Index  uint64 `json:"index"`
	Object any    `json:"object"`
}

// stateAnswer is the answer of GET /v1/state.
type stateAnswer struct {
	Index   uint64        `json:"index"`
	Numbers []uint64      `json:"numbers"`
	Objects []stateObject `json:"objects"`
}

func (c *Control) getState(w http.ResponseWriter, r *http.Request) {
	book, ok := c.current(w, r)
	if !ok {
		return
	}
	answer := stateAnswer{Index: book.State().Index(), Numbers: book.Numbers()}
	for _, record := range book.State().Records() {
		if record.Object == nil {
			continue
		}
		answer.Objects = append(answer.Objects, stateObject{
			Kind: string(record.Ref.Kind), Number: record.Number, Index: record.Index, Object: record.Object,
		})
	}
	admin.Reply(w, http.StatusOK, answer)
}
