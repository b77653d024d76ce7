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

// replicaStatus is one replica in the status answer.
type replicaStatus struct {
	VM      string `json:"vm"`
	ID      string `json:"id"`
	Learner bool   `json:"learner,omitempty"`
	Match   uint64 `json:"match,omitempty"`
}

// entryStatus is one entry in the status answer.
type entryStatus struct {
	VM         string  `json:"vm"`
	DataCentre string  `json:"data-centre"`
	Index      uint64  `json:"index"`
	Serving    bool    `json:"serving"`
	SilentFor  float64 `json:"silent-seconds"`
}

// centreStatus is one data centre in the status answer.
type centreStatus struct {
	Name  string            `json:"name"`
	State state.CentreState `json:"state"`
}

// statusAnswer is the answer of /v1/status.
type statusAnswer struct {
	VM       string          `json:"vm"`
	Role     quorum.Role     `json:"role"`
	Term     uint64          `json:"term"`
	Leader   string          `json:"leader,omitempty"`
	Last     uint64          `json:"last"`
	Commit   uint64          `json:"commit"`
	State    uint64          `json:"state-index"`
	Replicas []replicaStatus `json:"replicas"`
	Entries  []entryStatus   `json:"entries"`
	Centres  []centreStatus  `json:"data-centres"`
	Voters   []string        `json:"lease-voters"`
	Links    link.Stats      `json:"links"`
}

// Leads reports whether this replica leads as far as it knows.
func (c *Control) Leads() bool { return c.status.Load().Role == quorum.Leader }

const statusTimeout = time.Second

func (c *Control) statusAnswer() statusAnswer {
	s := c.status.Load()
	answer := statusAnswer{
		VM: c.options.VM, Role: s.Role, Term: s.Term, Leader: c.leaderVM(*s),
		Last: s.LastIndex, Commit: s.CommitIndex, State: c.Ledger().State().Index(), Links: c.link.Stats(),
	}
	for _, r := range s.Group.Replicas() {
		answer.Replicas = append(answer.Replicas, replicaStatus{
			VM: r.VM, ID: idText(r.ID), Learner: r.Learner, Match: s.Match[r.ID],
		})
	}
	current := c.Ledger().State()
	answer.Voters = current.Electors()
	for _, d := range state.List[state.DataCentre](current) {
		answer.Centres = append(answer.Centres, centreStatus{Name: d.Name, State: d.State})
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	c.do(ctx, func() { answer.Entries = c.entryStatuses() })
	return answer
}

func (c *Control) entryStatuses() []entryStatus {
	now := c.options.Clock.Now()
	var list []entryStatus
	for vm, w := range c.watchers {
		list = append(list, entryStatus{
			VM: vm, DataCentre: w.centre, Index: w.index, Serving: w.serving,
			SilentFor: now.Sub(w.heard).Seconds(),
		})
	}
	slices.SortFunc(list, func(a, b entryStatus) int { return strings.Compare(a.VM, b.VM) })
	return list
}
