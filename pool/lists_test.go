package pool

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

// Guards against entries that sort the servers of all pools anew for each server that registers.
func TestServersOfOtherPoolsAreNotListedAnew(t *testing.T) {
	is := is.New(t)
	e := newRolloutEntry(t, PlacementHolder)
	before := e.servers("desk")
	e.fleet.UpdateRegistered([]fleet.Target{{Name: "v1", Pool: "vault", DataCentre: "d1", Slots: 1, Boot: 1, Phase: fleet.Warm}}, nil)
	e.set(state.Target{Name: "v1", Pool: "vault", DataCentre: "d1", Addr: "10.0.0.1:80", Slots: 1, Boot: 1, Phase: state.TargetWarm})
	is.Equal(e.servers("desk"), before)
	is.Equal(len(e.servers("vault").cells["vault"]), 1)
	e.fleet.UpdateRegistered([]fleet.Target{{Name: "b9", Pool: "desk", DataCentre: "d1", Slots: 1, Boot: 1, Phase: fleet.Warm}}, nil)
	is.Equal(len(e.servers("desk").cells["desk"]), 5)
	e.set(state.DataCentre{Name: "d1", State: state.DataCentreOut})
	is.Equal(len(e.servers("desk").cells["desk"]), 0)
}
