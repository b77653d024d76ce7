package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/clock"
)

// Reports on a roll-out must reach control while the control VM in use is lost.
func TestReportsGoToAllControlVMsWhileTheOneInUseIsSilent(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	w := &configWatcher{entry: &Entry{options: newOptions(Clock(manual))}, controls: []string{"c1", "c2", "c3"}, current: 1, lastResponse: manual.Now()}
	is.Equal(w.reportTargets(manual.Now()), []string{"c2"})
	manual.Advance(controlTimeout + 1)
	is.Equal(w.reportTargets(manual.Now()), []string{"c1", "c2", "c3"})
	is.Equal(w.current, 1) // a report is no request
}

func TestRolloutReportSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	tally := canary.Tally{Cell: "desk@d1.0", Version: "v2", Route: "read", Results: 5, Bad: 2, LogSum: -4.5, LogSquares: 7}
	m := rolloutReportToWire(canary.Report{VM: "e1", Boot: 7, Tallies: []canary.Tally{tally}})
	is.Equal(m.GetVm(), "e1")
	is.Equal(m.GetBoot(), uint64(7))
	one := m.GetTallies()[0]
	is.Equal(canary.Tally{
		Cell: one.GetCell(), Version: one.GetVersion(), Route: one.GetRoute(), Results: one.GetResults(), Bad: one.GetBad(),
		LogSum: one.GetLogSum(), LogSquares: one.GetLogSquares(),
	}, tally)
}
