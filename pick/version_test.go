package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

var bothVersions = []fleet.Target{
	{Name: "a1", Pool: "desk", Version: "v1"}, {Name: "b1", Pool: "desk", Version: "v2"}, {Name: "c", Pool: "desk"},
}

func stateWith(is *is.I, r state.Rollout) state.State {
	s, problems := state.State{}.WithChange(state.Change{Index: 1, Set: []state.Object{state.Pool{Name: "desk"}, r}})
	is.Equal(len(problems), 0)
	return s
}

func TestRolloutRetiresVersions(t *testing.T) {
	is := is.New(t)
	for _, one := range []struct {
		phase state.RolloutPhase
		share float64
		// targets are the first letters of those that may get requests, alone those if there are
		// only servers of version v1.
		targets, alone string
	}{
		{state.RolloutRunning, 0, "ac", "a"},
		{state.RolloutRunning, 0.3, "abc", "a"},
		{state.RolloutRunning, 1, "b", "a"},
		{state.RolloutCompleted, 1, "b", "a"},
		{state.RolloutRolledBack, 0, "ac", "a"},
		{state.RolloutRolledBack, 0.4, "ac", "a"},
	} {
		s := stateWith(is, state.Rollout{Pool: "desk", Version: "v2", Duration: state.Duration(time.Minute), Phase: one.phase, Share: one.share})
		letters := func(targets []fleet.Target) (list string) {
			for _, t := range targets {
				list += t.Name[:1]
			}
			return list
		}
		is.Equal(letters(WithoutRetired(bothVersions, "desk", s)), one.targets)
		is.Equal(letters(WithoutRetired(bothVersions[:1], "desk", s)), one.alone)
		is.Equal(letters(WithoutRetired(bothVersions, "other", s)), "abc")
		is.Equal(letters(WithoutRetired(bothVersions[1:2], "desk", s)) == "", one.targets == "ac") // never a version that was rolled back
		trial := TrialOf("desk", s)
		is.Equal(trial.Active(), one.targets == "abc")
		if trial.Active() {
			is.Equal(letters(trial.Proven(bothVersions)), "ac")
		}
	}
	is.Equal(len(WithoutRetired(bothVersions, "desk", state.State{})), 3)
	is.Equal(len(Trial{}.Proven(bothVersions)), 3)
}
