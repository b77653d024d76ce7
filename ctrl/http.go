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
	// AuthorHeader names the author of a ticket if there is no client certificate.
	AuthorHeader = "Dottereldeal-Author"

	acceptTimeout  = 10 * time.Second
	readTimeout    = 2 * time.Second
	maxInForceWait = 5 * time.Minute
	maxAuthorBytes = 128
)

// Stage is the progress of an accepted ticket.
type Stage string

// The stages of an accepted ticket.
const (
	// StageAccepted means that a majority of the replicas has stored the ticket.
	StageAccepted Stage = "accepted"
	// StageInForce means that no VM serves from an older state any more.
	StageInForce Stage = "in-force"
)

// ticketResponse is the response to PUT and GET of a ticket.
type ticketResponse struct {
	Number   uint64         `json:"number"`
	Verdict  ledger.Verdict `json:"verdict"`
	Stage    Stage          `json:"stage,omitempty"`
	Digest   string         `json:"digest,omitempty"`
	Index    uint64         `json:"index,omitempty"`
	Author   string         `json:"author,omitempty"`
	Repeated bool           `json:"repeated,omitempty"`
	Findings check.Findings `json:"findings,omitempty"`
}

// errorResponse is the response to a request that could not be completed.
type errorResponse struct {
	Error  string `json:"error"`
	Leader string `json:"leader,omitempty"`
	// Resend means that it is safe to send the same ticket again.
	Resend bool `json:"resend"`
}

// Admin returns the control process's part of the operators' interface.
func (c *Control) Admin() []admin.Option {
	return []admin.Option{
		admin.Ready(c.Ready),
		admin.Status(func() any { return c.statusResponse() }),
		admin.EventLog(c.options.EventLog),
		admin.Meter(c.options.Meter),
		admin.Handle("PUT /v1/tickets/{number}", c.putTicket),
		admin.Handle("GET /v1/tickets/{number}", c.getTicket),
		admin.Handle("GET /v1/state", c.getState),
		admin.Handle("GET /v1/rollouts", c.getRollouts),
		admin.Handle("DELETE /v1/rollouts/{pool}/{version}", c.deleteRollout),
		admin.Handle("GET /v1/replicas", c.getReplicas),
		admin.Handle("PUT /v1/replicas/{vm}", c.putReplica),
		admin.Handle("DELETE /v1/replicas/{vm}", c.deleteReplica),
	}
}

// putTicket proposes the ticket in the request body.
func (c *Control) putTicket(w http.ResponseWriter, r *http.Request) {
	proposal, findings := c.readTicket(w, r)
	if len(findings) > 0 {
		response := ticketResponse{Number: proposal.Ticket.Number, Verdict: ledger.Refused, Findings: findings}
		admin.WriteJSON(w, http.StatusUnprocessableEntity, response)
		return
	}
	if wantsInForce(r) && !c.leads() {
		c.replyUnavailable(w, ErrNotLeader) // only the leader knows what is in force
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	outcome, err := c.Propose(ctx, proposal)
	if err != nil {
		c.replyUnavailable(w, err)
		return
	}
	response := newTicketResponse(outcome, proposal.Ticket)
	if outcome.Verdict != ledger.Accepted {
		admin.WriteJSON(w, httpStatus(outcome.Verdict), response)
		return
	}
	response.Stage = c.awaitStage(r, outcome.Index)
	admin.WriteJSON(w, http.StatusOK, response)
}

// readTicket reads and validates the ticket in the request body.
func (c *Control) readTicket(w http.ResponseWriter, r *http.Request) (ledger.Proposal, check.Findings) {
	var findings check.Findings
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, ticket.MaxBytes))
	if err != nil {
		findings.Add("body", "%s", err)
		return ledger.Proposal{}, findings
	}
	parsed, err := ticket.Parse("ticket", body)
	if errors.As(err, &findings) {
		return ledger.Proposal{}, findings
	}
	if number := r.PathValue("number"); number != strconv.FormatUint(parsed.Number, 10) {
		findings.Add("path", "number %q in the path does not match ticket number %d", number, parsed.Number)
	}
	digest, err := parsed.Digest()
	if err != nil {
		findings.Add("body", "%s", err)
	}
	return ledger.Proposal{Ticket: parsed, Digest: digest, Author: author(r)}, findings
}

// author returns the sender of a request: the common name of the client
// certificate, or AuthorHeader if there is none.
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

// wantsInForce reports whether the client waits until its ticket is in force.
func wantsInForce(r *http.Request) bool {
	return Stage(r.URL.Query().Get("wait")) == StageInForce
}

// leads reports whether this replica believes itself to be the leader.
func (c *Control) leads() bool { return c.status.Load().Role == quorum.Leader }

// awaitStage waits until the ticket is in force if the request asks for it, and
// returns the stage reached.
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

func newTicketResponse(o ledger.Outcome, t ticket.Ticket) ticketResponse {
	response := ticketResponse{
		Number: o.TicketNumber, Verdict: o.Verdict, Index: o.Index, Author: o.Author, Repeated: o.Repeated,
	}
	if o.Digest != (ticket.Digest{}) {
		response.Digest = o.Digest.String()
	}
	for _, problem := range o.Problems {
		position := t.Position(problem.Ref)
		response.Findings.Add(fmt.Sprintf("ticket:%d:%d", position.Line, position.Column), "%s", problem.Text)
	}
	return response
}

func httpStatus(v ledger.Verdict) int {
	switch v {
	case ledger.Accepted:
		return http.StatusOK
	case ledger.Refused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

// replyUnavailable writes a 503 response with the cause and the current leader.
func (c *Control) replyUnavailable(w http.ResponseWriter, err error) {
	s := c.status.Load()
	admin.WriteJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error(), Leader: c.leaderVM(*s), Resend: true})
}

// getTicket returns the outcome and stage of a ticket.
func (c *Control) getTicket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		http.Error(w, "ticket number must be an unsigned integer", http.StatusBadRequest)
		return
	}
	if !c.leads() {
		c.replyUnavailable(w, ErrNotLeader) // only the leader knows what is in force
		return
	}
	l, ok := c.currentLedger(w, r)
	if !ok {
		return
	}
	outcome, known := l.Outcome(number)
	if !known {
		http.Error(w, fmt.Sprintf("no accepted ticket %d on record", number), http.StatusNotFound)
		return
	}
	response := newTicketResponse(outcome, ticket.Ticket{})
	response.Stage = StageAccepted
	inForce := false
	if c.do(r.Context(), func() { inForce = c.inForce(outcome.Index) }) == nil && inForce {
		response.Stage = StageInForce
	}
	admin.WriteJSON(w, http.StatusOK, response)
}

// currentLedger returns the result of a linearizable read, or writes an error response.
func (c *Control) currentLedger(w http.ResponseWriter, r *http.Request) (ledger.Ledger, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	l, err := c.Current(ctx)
	if err != nil {
		c.replyUnavailable(w, err)
		return ledger.Ledger{}, false
	}
	return l, true
}

// stateObject is an object in the response to GET /v1/state.
type stateObject struct {
	Kind   string `json:"kind"`
	Number uint64 `json:"number"`
	Index  uint64 `json:"index"`
	Object any    `json:"object"`
}

// stateResponse is the response to GET /v1/state.
type stateResponse struct {
	Index   uint64        `json:"index"`
	Numbers []uint64      `json:"numbers"`
	Objects []stateObject `json:"objects"`
}

func (c *Control) getState(w http.ResponseWriter, r *http.Request) {
	l, ok := c.currentLedger(w, r)
	if !ok {
		return
	}
	response := stateResponse{Index: l.State().Index(), Numbers: l.Numbers()}
	for _, record := range l.State().Records() {
		if record.Object == nil {
			continue
		}
		response.Objects = append(response.Objects, stateObject{
			Kind: string(record.Ref.Kind), Number: record.TicketNumber, Index: record.Index, Object: record.Object,
		})
	}
	admin.WriteJSON(w, http.StatusOK, response)
}
