package ctrl

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// rolloutPeriod is the interval between decisions on a roll-out, that of the reports.
	rolloutPeriod = 200 * time.Millisecond
	// shareTimeout is the time after which a share counts as in force although entries that are
	// cut off have not acknowledged it: roll-outs have deadlines, and those entries do not report.
	shareTimeout = time.Second
	// holdLogPeriod is the shortest time between two log lines that say why a share stays.
	holdLogPeriod = time.Second
	// replayTime is the time after the start of a process in which roll-outs that it first sees
	// were ordered before.
	replayTime = 5 * time.Second
	// maxOrderAge is the age of an order that a running process first sees: a commit, and the time
	// to the next decision. It bounds what a wrong wall clock can do.
	maxOrderAge = 2 * rolloutPeriod
	// maxDrain is the time for which a request may run at a server, at most, where its route has
	// no deadline.
	maxDrain = 10 * time.Second
)

// rollout is what this process knows of a roll-out. All replicas follow the time since the order,
// the leader also judges.
type rollout struct {
	present state.Rollout
	index   uint64
	// start is the time of the order, by the clock of this process.
	start time.Time
	// applied is when this process applied the present share, inForceAt when that was in force.
	applied   time.Time
	inForceAt time.Time
	judge     *canary.Judge
	// lastReason is the reason to hold that was last logged, at loggedAt.
	lastReason string
	loggedAt   time.Time
}

// elapsed returns the time since the order.
func (r *rollout) elapsed(now time.Time) time.Duration {
	return max(now.Sub(r.start), time.Duration(r.present.Elapsed))
}

// BeginRollout orders that the requests of a pool are moved to another version of its servers,
// unless a roll-out of the pool has changed after the state index since, which the caller read
// before it gave the order. A repeated order changes nothing.
func (c *Control) BeginRollout(ctx context.Context, pool, version string, duration time.Duration, author string, since uint64) error {
	current, err := c.Current(ctx)
	if err != nil {
		return err
	}
	if last, ok := state.Get[state.Rollout](current.State(), pool); ok && last.Version == version {
		return nil
	}
	return c.proposeOrder(ctx, author, since, func(current state.State) state.Object {
		last, _ := state.Get[state.Rollout](current, pool)
		rejected := last.Rejected
		if last.Phase == state.RolloutRolledBack {
			rejected = last.Version
		}
		if rejected == version {
			rejected = ""
		}
		return state.Rollout{
			Pool: pool, Version: version, Duration: state.Duration(duration), Phase: state.RolloutRunning,
			OrderedMillis: c.options.Clock.Now().UnixMilli(), Rejected: rejected,
		}
	})
}

// tickRollouts follows the roll-outs and, on the leader, decides on them.
func (c *Control) tickRollouts(now time.Time) {
	if c.options.Rollouts == nil || now.Sub(c.lastRolloutCheck) < rolloutPeriod {
		return
	}
	c.lastRolloutCheck = now
	current := c.Ledger().State()
	if index := current.Index(); index != c.rolloutIndex {
		c.rolloutIndex = index
		c.followRollouts(current, now)
	}
	leads := c.status.Load().Role == quorum.Leader
	for _, pool := range c.runningRollouts() {
		r := c.rollouts[pool]
		if !leads {
			r.judge, r.lastReason = nil, ""
			continue
		}
		c.decideRollout(r, current, now)
	}
}

// followRollouts takes over the roll-outs of a state.
func (c *Control) followRollouts(current state.State, now time.Time) {
	seen := make(map[string]bool)
	for _, present := range state.List[state.Rollout](current) {
		seen[present.Pool] = true
		record, _ := current.Record(present.Ref())
		r, known := c.rollouts[present.Pool]
		if known && r.index == record.Index {
			continue
		}
		if !known || r.present.Version != present.Version {
			r = &rollout{start: c.orderTime(present, now)}
			c.rollouts[present.Pool] = r
		}
		r.present, r.index, r.applied, r.inForceAt = present, record.Index, now, time.Time{}
	}
	for pool := range c.rollouts {
		if !seen[pool] {
			delete(c.rollouts, pool)
		}
	}
}

// orderTime returns when a roll-out that this process sees for the first time was ordered. A
// process that runs sees an order soon. One that starts goes by the wall clock, which may be wrong:
// too late by the clock ends a roll-out early, never by a completion.
func (c *Control) orderTime(r state.Rollout, now time.Time) time.Time {
	wall := now.Sub(time.UnixMilli(r.OrderedMillis))
	if now.Sub(c.started) >= replayTime {
		wall = min(wall, maxOrderAge)
	}
	return now.Add(-max(time.Duration(r.Elapsed), wall, 0))
}

// runningRollouts returns the pools whose roll-outs are running, ordered by name.
func (c *Control) runningRollouts() []string {
	var pools []string
	for pool, r := range c.rollouts {
		if r.present.Phase == state.RolloutRunning {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	c.runningCount.Store(int64(len(pools)))
	return pools
}

// decideRollout decides on the next step of a running roll-out.
func (c *Control) decideRollout(r *rollout, current state.State, now time.Time) {
	if r.judge == nil {
		order := canary.Order{
			Version: r.present.Version, Duration: time.Duration(r.present.Duration), Drain: longestDeadline(current, r.present.Pool),
		}
		r.judge = canary.New(order, *c.options.Rollouts)
	}
	if r.inForceAt.IsZero() && (c.shareAcknowledged(r.index, now) || now.Sub(r.applied) >= shareTimeout) {
		r.inForceAt = now
	}
	situation := canary.Situation{Elapsed: r.elapsed(now), Share: r.present.Share}
	if !r.inForceAt.IsZero() {
		situation.InForce = now.Sub(r.inForceAt)
	}
	countServers(&situation, current, r.present)
	decision := r.judge.Decide(situation, now)
	if decision.Action == canary.Hold {
		if decision.Reason != r.lastReason && now.Sub(r.loggedAt) >= holdLogPeriod {
			r.lastReason, r.loggedAt = decision.Reason, now
			c.recordRollout(r, situation, decision)
		}
		return
	}
	next := nextRollout(r.present, decision, situation.Elapsed)
	change := ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{next}}
	data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: change, Author: systemAuthor})
	if err == nil {
		err = c.checkUnchanged(data, r.index) // a decision that is not applied yet, or a new order
	}
	if errors.Is(err, ErrOvertaken) {
		return
	}
	if err == nil {
		_, _, err = c.node.Propose(data)
	}
	if err != nil {
		decision.Reason += ": " + err.Error()
	}
	c.recordRollout(r, situation, decision)
	c.rolloutDecisions.WithLabelValues(string(decision.Action)).Inc()
}

// shareAcknowledged reports whether all entries that this leader hears from have acknowledged a
// state index. It proves less than inForce, for which a new leader waits too long.
func (c *Control) shareAcknowledged(index uint64, now time.Time) bool {
	return c.acknowledged(index, func(w *watcher) bool { return w.present(now) })
}

// nextRollout returns a roll-out after a decision.
func nextRollout(r state.Rollout, d canary.Decision, elapsed time.Duration) state.Rollout {
	switch d.Action {
	case canary.Complete:
		return r.WithStep(state.RolloutCompleted, 1, elapsed, d.Reason)
	case canary.RollBack:
		return r.WithStep(state.RolloutRolledBack, 0, elapsed, d.Reason)
	default:
		return r.WithStep(state.RolloutRunning, d.Share, elapsed, d.Reason)
	}
}

// recordRollout logs a decision with its inputs.
func (c *Control) recordRollout(r *rollout, s canary.Situation, d canary.Decision) {
	var version, other canary.Stats
	for _, e := range r.judge.Evidence() {
		version, other = version.Plus(e.New), other.Plus(e.Other)
	}
	c.options.EventLog.Record(event.RolloutDecided, r.present.Pool, fmt.Sprintf(
		"%s to %.3g: %s; version %q, share %.3g, elapsed %s of %s, servers %d (%d cold) and %d others, failed %d of %d and %d of %d others",
		d.Action, d.Share, d.Reason, r.present.Version, s.Share, s.Elapsed.Round(time.Millisecond), time.Duration(r.present.Duration),
		s.Servers, s.Cold, s.Others, version.Bad, version.Results, other.Bad, other.Results))
}

// countServers counts the servers of a roll-out's version, and of the others, in data centres that
// are in service.
func countServers(situation *canary.Situation, s state.State, r state.Rollout) {
	usable := func(t state.Target) bool {
		return t.Pool == r.Pool && (t.Phase == state.TargetWarm || t.Phase == state.TargetCold) && !s.IsDataCentreOut(t.DataCentre)
	}
	for _, t := range state.Select(s, usable) {
		switch {
		case t.Version == r.Version && t.Phase == state.TargetWarm:
			situation.Servers++
		case t.Version == r.Version:
			situation.Cold++
		case t.Version != r.Rejected:
			situation.Others++
		}
	}
}

// longestDeadline returns the longest deadline of the routes to a pool.
func longestDeadline(s state.State, pool string) time.Duration {
	toPool := func(r state.Route) bool { return slices.Contains(r.Pools(), pool) }
	longest := time.Duration(0)
	for _, r := range state.Select(s, toPool) {
		longest = max(longest, time.Duration(r.Deadline))
	}
	return min(longest, maxDrain)
}

// handleRolloutReport takes a report of the holder of cells into account on the leader. Other
// replicas pass on what they have from entries.
func (c *Control) handleRolloutReport(from string, e *wire.Envelope) {
	s := c.status.Load()
	if s.Role != quorum.Leader {
		if leader := c.leaderVM(*s); leader != "" && leader != c.options.VM && !c.isControl(from) {
			c.transport.Send(leader, e)
		}
		return
	}
	if c.options.Rollouts == nil {
		return
	}
	now := c.options.Clock.Now()
	for pool, report := range c.reportsOfWire(e.GetRolloutReport()) {
		if r, ok := c.rollouts[pool]; ok && r.judge != nil {
			r.judge.Add(report, now)
		}
	}
}

// reportsOfWire decodes a report and returns the part of each pool. Sums that are no numbers would
// spoil those of all other reports.
func (c *Control) reportsOfWire(m *wire.RolloutReport) map[string]canary.Report {
	reports := make(map[string]canary.Report)
	current := c.Ledger().State()
	for _, t := range m.GetTallies() {
		sum := t.GetLogSum() + t.GetLogSquares()
		if t.GetBad() > t.GetResults() || math.IsNaN(sum) || math.IsInf(sum, 0) {
			continue
		}
		pool := current.PoolOfCell(t.GetCell())
		r := reports[pool]
		r.VM, r.Boot = m.GetVm(), m.GetBoot()
		r.Tallies = append(r.Tallies, canary.Tally{
			Cell: t.GetCell(), Version: t.GetVersion(), Route: t.GetRoute(), Results: t.GetResults(), Bad: t.GetBad(),
			LogSum: t.GetLogSum(), LogSquares: t.GetLogSquares(),
		})
		reports[pool] = r
	}
	return reports
}
