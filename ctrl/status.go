package ctrl

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
)

// replicaStatus is a replica in the status response.
type replicaStatus struct {
	VM      string `json:"vm"`
	ID      string `json:"id"`
	Learner bool   `json:"learner,omitempty"`
	Match   uint64 `json:"match,omitempty"`
}

// entryStatus is an entry in the status response.
type entryStatus struct {
	VM         string  `json:"vm"`
	DataCentre string  `json:"data-centre"`
	Index      uint64  `json:"index"`
	Serving    bool    `json:"serving"`
	SilentFor  float64 `json:"silent-seconds"`
}

// dataCentreStatus is a data centre in the status response.
type dataCentreStatus struct {
	Name  string                `json:"name"`
	State state.DataCentreState `json:"state"`
}

// statusResponse is the response to /v1/status.
type statusResponse struct {
	VM          string             `json:"vm"`
	Role        quorum.Role        `json:"role"`
	Term        uint64             `json:"term"`
	Leader      string             `json:"leader,omitempty"`
	Last        uint64             `json:"last"`
	Commit      uint64             `json:"commit"`
	State       uint64             `json:"state-index"`
	Replicas    []replicaStatus    `json:"replicas"`
	Entries     []entryStatus      `json:"entries"`
	DataCentres []dataCentreStatus `json:"data-centres"`
	Voters      []string           `json:"lease-voters"`
	Links       link.Stats         `json:"links"`
}

// Leads reports whether this replica believes itself to be the leader.
func (c *Control) Leads() bool { return c.status.Load().Role == quorum.Leader }

const statusTimeout = time.Second

func (c *Control) statusResponse() statusResponse {
	s := c.status.Load()
	response := statusResponse{
		VM: c.options.VM, Role: s.Role, Term: s.Term, Leader: c.leaderVM(*s),
		Last: s.LastIndex, Commit: s.CommitIndex, State: c.Ledger().State().Index(), Links: c.transport.Stats(),
	}
	for _, r := range s.Group.Replicas() {
		response.Replicas = append(response.Replicas, replicaStatus{
			VM: r.VM, ID: formatID(r.ID), Learner: r.Learner, Match: s.Match[r.ID],
		})
	}
	current := c.Ledger().State()
	response.Voters = current.ActiveVoters()
	for _, d := range state.List[state.DataCentre](current) {
		response.DataCentres = append(response.DataCentres, dataCentreStatus{Name: d.Name, State: d.State})
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	c.do(ctx, func() { response.Entries = c.entryStatuses() })
	return response
}

func (c *Control) entryStatuses() []entryStatus {
	now := c.options.Clock.Now()
	var list []entryStatus
	for vm, w := range c.watchers {
		list = append(list, entryStatus{
			VM: vm, DataCentre: w.dataCentre, Index: w.index, Serving: w.serving,
			SilentFor: now.Sub(w.lastHeard).Seconds(),
		})
	}
	slices.SortFunc(list, func(a, b entryStatus) int { return strings.Compare(a.VM, b.VM) })
	return list
}
