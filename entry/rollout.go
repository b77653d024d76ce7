package entry

import (
	"time"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/wire"
)

// rolloutReportPeriod is the interval between reports on the versions of a running roll-out. A bad
// version is to be rolled back within seconds of its first failures.
const rolloutReportPeriod = 200 * time.Millisecond

// reportRollouts sends what this VM has counted, as the holder of cells, of the versions of running
// roll-outs. Counters only grow, so a report that is lost is made up for by the next one.
func (e *Entry) reportRollouts(now time.Time) {
	tallies := e.pools.RolloutTallies(now)
	if len(tallies) == 0 {
		return
	}
	report := rolloutReportToWire(canary.Report{VM: e.options.VM, Boot: e.boot, Tallies: tallies})
	for _, vm := range e.watcher.reportTargets(now) {
		e.link.Send(vm, &wire.Envelope{Body: &wire.Envelope_RolloutReport{RolloutReport: report}})
	}
}

// reportTargets returns the control VMs that reports are sent to: the one in use, or all of them
// while it does not respond.
func (w *configWatcher) reportTargets(now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.controlRespondsLocked(now) {
		return w.knownControls()
	}
	return []string{w.controls[w.current]}
}

func rolloutReportToWire(r canary.Report) *wire.RolloutReport {
	m := &wire.RolloutReport{Vm: r.VM, Boot: r.Boot}
	for _, t := range r.Tallies {
		m.Tallies = append(m.Tallies, &wire.RolloutTally{
			Cell: t.Cell, Version: t.Version, Route: t.Route, Results: t.Results, Bad: t.Bad, LogSum: t.LogSum, LogSquares: t.LogSquares,
		})
	}
	return m
}
