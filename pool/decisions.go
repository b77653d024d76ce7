package pool

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/sched"
)

// Decisions of a holder on a request, as metrics name them.
const (
	decisionAssigned  = "assigned"
	decisionQueued    = "queued"
	decisionForwarded = "forwarded"
	decisionRefused   = "refused"
)

// maxRankLabel bounds the ranks that metrics tell apart.
const maxRankLabel = 15

// decisionCounter counts the decisions of the cells that this VM holds.
type decisionCounter struct {
	counter *prometheus.CounterVec
}

func newDecisionCounter(m *meter.Meter) decisionCounter {
	if m == nil {
		return decisionCounter{}
	}
	return decisionCounter{m.CounterVec("placement_decisions_total",
		"Decisions on requests in the cells held by this VM, by decision, reason and rank.", "decision", "reason", "rank")}
}

// countDecision counts a decision.
func (b *Balancer) countDecision(p sched.Placement) {
	if b.decisions.counter == nil {
		return
	}
	decision := decisionRefused
	switch {
	case p.Forward != (sched.Destination{}):
		decision = decisionForwarded
	case p.Queued:
		decision = decisionQueued
	case p.Target != "":
		decision = decisionAssigned
	}
	b.decisions.counter.WithLabelValues(decision, string(p.Reason), strconv.Itoa(min(max(p.Request.Rank, 0), maxRankLabel))).Inc()
}

// Queues returns the queues of the cells of a pool that this VM holds, if requests wait by
// their work.
func (b *Balancer) Queues(pool string) map[string]sched.QueueStatus {
	now := b.options.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var queues map[string]sched.QueueStatus
	for _, cell := range b.cells(pool) {
		h := b.holders[cell]
		if _, held := b.leases.Held(LeaseName(cell)); h == nil || !held {
			continue
		}
		if q, ordered := h.Queue(now); ordered {
			if queues == nil {
				queues = make(map[string]sched.QueueStatus)
			}
			queues[cell] = q
		}
	}
	return queues
}
