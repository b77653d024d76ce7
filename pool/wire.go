package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/wire"
)

func reportsToWire(pool string, reports []health.Report) *wire.Outcomes {
	m := &wire.Outcomes{Pool: pool}
	for _, r := range reports {
		m.Targets = append(m.Targets, &wire.TargetOutcomes{
			Name: r.Target, Ok: uint32(r.Stats.OK), Failed: uint32(r.Stats.Failed),
			TimedOut: uint32(r.Stats.TimedOut), Unreachable: uint32(r.Stats.Unreachable), Torn: uint32(r.Stats.Torn), Late: uint32(r.Stats.Late),
			LogSum: r.Stats.LogSum, LogSquares: r.Stats.LogSquares,
			OldestMicros: uint64(r.Oldest.Microseconds()), InFlight: uint32(r.InFlight), Cold: r.Cold, Limit: limitToWire(r.Limit),
			LeavingBoot: r.LeavingBoot,
		})
	}
	return m
}

func reportsOfWire(m *wire.Outcomes) []health.Report {
	var reports []health.Report
	for _, t := range m.GetTargets() {
		reports = append(reports, health.Report{
			Target: t.GetName(),
			Stats: health.Stats{
				OK: int(t.GetOk()), Failed: int(t.GetFailed()), TimedOut: int(t.GetTimedOut()),
				Unreachable: int(t.GetUnreachable()), Torn: int(t.GetTorn()), Late: int(t.GetLate()),
				LogSum: t.GetLogSum(), LogSquares: t.GetLogSquares(),
			},
			Oldest:   time.Duration(t.GetOldestMicros()) * time.Microsecond,
			InFlight: int(t.GetInFlight()), Cold: t.GetCold(), Limit: limitOfWire(t.GetLimit()),
			LeavingBoot: t.GetLeavingBoot(),
		})
	}
	return reports
}

// limitToWire returns nil if nothing is stated, so that nothing is sent.
func limitToWire(l health.Limit) *wire.Limit {
	if l.Stated == health.LimitUnstated {
		return nil
	}
	return &wire.Limit{Stated: string(l.Stated), PerSecond: l.PerSecond}
}

func limitOfWire(m *wire.Limit) health.Limit {
	return health.Limit{Stated: health.LimitStatement(m.GetStated()), PerSecond: m.GetPerSecond()}
}

// requestToWire returns the request as it is sent to the holder of a cell.
func requestToWire(req sched.Request, cell string, now time.Time) *wire.SlotAsk {
	return &wire.SlotAsk{
		Pool: cell, Id: req.ID, Idempotent: req.Idempotent, Rank: uint32(max(0, req.Rank)), Workspace: req.Workspace,
		ObjectiveMicros: uint64(max(0, req.Objective.Sub(now)).Microseconds()), DeadlineMicros: uint64(max(0, req.Deadline.Sub(now)).Microseconds()),
		Avoid: req.Avoid, Arrived: req.Arrived, Bytes: uint64(max(0, req.Bytes)), DataCentre: req.DataCentre,
		Print: req.Print.Bytes(), Hedge: req.Hedge, Route: req.Route,
	}
}

// requestOfWire returns a request that a VM has sent, for itself or, as the holder of another
// cell, for an entry.
func requestOfWire(from string, m *wire.SlotAsk, now time.Time) sched.Request {
	req := sched.Request{
		VM: from, ID: m.GetId(), DataCentre: m.GetDataCentre(), Idempotent: m.GetIdempotent(), Rank: int(m.GetRank()),
		Workspace: m.GetWorkspace(), Avoid: m.GetAvoid(), Arrived: m.GetArrived(), Bytes: int64(m.GetBytes()),
		Objective: now.Add(time.Duration(m.GetObjectiveMicros()) * time.Microsecond),
		Deadline:  now.Add(time.Duration(m.GetDeadlineMicros()) * time.Microsecond),
		Print:     guard.PrintOfBytes(m.GetPrint()), Hedge: m.GetHedge(), Route: m.GetRoute(),
	}
	if vm := m.GetVm(); vm != "" {
		req.VM, req.Forwarded = vm, true
	}
	return req
}
