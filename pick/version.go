package pick

import (
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

// WithoutRetired removes the backend servers of a pool that get no requests because of a
// roll-out: those of the new version while its share is 0 and once it has been rolled back, and all
// others from the share 1 on. At that share the servers of other versions run what they have, since
// they may be stopped as soon as the roll-out is completed. They are used again if there is no
// server of the new version.
func WithoutRetired(targets []fleet.Target, pool string, current state.State) []fleet.Target {
	rollout, known := state.Get[state.Rollout](current, pool)
	if !known {
		return targets
	}
	switch {
	case rollout.Phase == state.RolloutRolledBack || rollout.Phase == state.RolloutRunning && rollout.Share <= 0:
		return ofVersion(targets, rollout.Version, false)
	case rollout.Phase == state.RolloutCompleted || rollout.Phase == state.RolloutRunning && rollout.Share >= 1:
		if moved := ofVersion(targets, rollout.Version, true); len(moved) > 0 {
			return moved
		}
	}
	return targets
}

// ofVersion returns the servers of a version, or all others.
func ofVersion(targets []fleet.Target, version string, wanted bool) []fleet.Target {
	list := make([]fleet.Target, 0, len(targets))
	for _, t := range targets {
		if (t.Version == version) == wanted {
			list = append(list, t)
		}
	}
	return list
}

// Trial is the part of a pool's requests that the servers of a version get while a roll-out moves
// requests to them. The zero value stands for no such roll-out.
type Trial struct {
	Version string
	// Share is above 0 and below 1.
	Share float64
}

// TrialOf returns the trial of a pool.
func TrialOf(pool string, current state.State) Trial {
	rollout, known := state.Get[state.Rollout](current, pool)
	if !known || rollout.Phase != state.RolloutRunning || rollout.Share <= 0 || rollout.Share >= 1 {
		return Trial{}
	}
	return Trial{Version: rollout.Version, Share: rollout.Share}
}

// Active reports whether there is a trial.
func (t Trial) Active() bool { return t.Share > 0 }

// Proven removes the backend servers of the version on trial. Who cannot keep to the share, because
// it sees the requests of one VM only, uses the others.
func (t Trial) Proven(targets []fleet.Target) []fleet.Target {
	if !t.Active() {
		return targets
	}
	return ofVersion(targets, t.Version, false)
}
