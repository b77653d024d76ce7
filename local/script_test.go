package local_test

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":   withEnv(startFleet),
			"target":  withEnv(startTarget),
			"fault":   withEnv(setFault),
			"phase":   withEnv(setPhase),
			"ticket":  withEnv(sendTicket),
			"race":    withEnv(raceTickets),
			"show":    withEnv(showTicket),
			"down":    withEnv(stopVM),
			"up":      withEnv(restartVM),
			"wipe":    withEnv(wipeVM),
			"repair":  withEnv(repairVM),
			"add":     withEnv(addEntry),
			"cut":     withEnv(dropMessages),
			"heal":    withEnv(restoreMessages),
			"await":   withEnv(awaitStatus),
			"request": withEnv(requestStatus),
			"ready":   withEnv(awaitReady),
			"load":    withEnv(startLoad),
			"loaded":  withEnv(stopLoad),
			"stream":  withEnv(startStream),
			"cutoff":  withEnv(awaitCutoff),
			"pause":   withEnv(sleepFor),
			"leader":  withEnv(setLeaderVars),
			"runs":    withEnv(checkRuns),
			"claim":   withEnv(claimRequest),
			"cold":    withEnv(startColdTarget),
			"turn":    withEnv(setReportedPhase),
			"mark":    withEnv(saveBaselineRuns),
			"most":    withEnv(checkMaxActive),
			"some":    withEnv(checkAnyRun),
		},
		Setup: func(env *testscript.Env) error {
			s := newTestEnv()
			env.Values[envKey{}] = s
			env.Defer(s.stop)
			return nil
		},
	})
}
