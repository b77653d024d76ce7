package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/ledger"
)

// retryInterval is the wait between rounds over all control processes.
const retryInterval = 50 * time.Millisecond

// TicketStatus is the response of a control process about a ticket.
type TicketStatus struct {
	Number   uint64         `json:"number"`
	Verdict  ledger.Verdict `json:"verdict"`
	Stage    string         `json:"stage"`
	Digest   string         `json:"digest"`
	Index    uint64         `json:"index"`
	Repeated bool           `json:"repeated"`
	Findings check.Findings `json:"findings"`
}

// ApplyTicket submits a ticket, retrying until a leader answers, and if the ticket is
// accepted waits until it is in force.
func (f *Fleet) ApplyTicket(ctx context.Context, number uint64, text string) (TicketStatus, error) {
	return f.sendToLeader(ctx, http.MethodPut, fmt.Sprintf("/v1/tickets/%d?wait=in-force&timeout=10s", number), text)
}

// SubmitTicket submits a ticket, retrying until a leader answers.
func (f *Fleet) SubmitTicket(ctx context.Context, number uint64, text string) (TicketStatus, error) {
	return f.sendToLeader(ctx, http.MethodPut, fmt.Sprintf("/v1/tickets/%d", number), text)
}

// TicketStatus returns the outcome recorded for a ticket number.
func (f *Fleet) TicketStatus(ctx context.Context, number uint64) (TicketStatus, error) {
	return f.sendToLeader(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), "")
}

// RepairReplica replaces the replica of a control VM that lost its disk by the new
// one waiting on that VM.
func (f *Fleet) RepairReplica(ctx context.Context, vm string) error {
	_, err := f.sendToLeader(ctx, http.MethodPut, "/v1/replicas/"+vm, "")
	return err
}

func (f *Fleet) sendToLeader(ctx context.Context, method, path, body string) (TicketStatus, error) {
	for {
		for _, c := range f.controls() {
			answer, err := sendTo(ctx, c.Admin, method, path, body)
			if err == nil {
				return answer, nil
			}
		}
		select {
		case <-ctx.Done():
			return TicketStatus{}, errors.Wrap(ctx.Err(), "no control process answered the request")
		case <-time.After(retryInterval):
		}
	}
}

func sendTo(ctx context.Context, base, method, path, body string) (TicketStatus, error) {
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewBufferString(body))
	if err != nil {
		return TicketStatus{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return TicketStatus{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return TicketStatus{}, err
	}
	var answer TicketStatus
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusNotFound ||
		strings.Contains(path, "replicas") && response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("%s: %s", response.Status, data)
	}
	return answer, json.Unmarshal(data, &answer)
}
