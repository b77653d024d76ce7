package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/wire"
)

func reportsToWire(pool string, reports []health.Report) *wire.Outcomes {
	m := &wire.Outcomes{Pool: pool}
	for _, r := range reports {
		m.Targets = append(m.Targets, &wire.TargetOutcomes{
			Name: r.Target, Ok: uint32(r.Stats.OK), Failed: uint32(r.Stats.Failed),
			TimedOut: uint32(r.Stats.TimedOut), Unreachable: uint32(r.Stats.Unreachable), Torn: uint32(r.Stats.Torn), Late: uint32(r.Stats.Late),
			LogSum: r.Stats.LogSum, LogSquares: r.Stats.LogSquares,
			OldestMicros: uint64(r.Oldest.Microseconds()), InFlight: uint32(r.InFlight), Cold: r.Cold,
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
			InFlight: int(t.GetInFlight()), Cold: t.GetCold(),
		})
	}
	return reports
}
