package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/limit"
	"github.com/dottereldeal/dottereldeal/pool"
	"github.com/dottereldeal/dottereldeal/proxy"
	"github.com/dottereldeal/dottereldeal/state"
)

// An entry connects ahead of time to the holders that its requests will ask, and to no others:
// 440 entries of which each connected to all holders would keep these busy for nothing.
func TestEntryConnectsToTheHoldersThatItAsks(t *testing.T) {
	is := is.New(t)
	s, problems := state.State{}.WithChange(state.Change{Index: 1, Set: []state.Object{
		state.Workspace{Name: "limited", Rate: 5, Burst: 5}, state.Workspace{Name: "free", Unlimited: true},
	}})
	is.Equal(len(problems), 0)
	e := &Entry{options: newOptions(DataCentre("oita"))}
	e.config.Store(proxy.NewConfig(s))
	used := 0
	for i := range limit.ShardCount {
		if e.usesLease(limit.ShardName(i)) {
			used++
		}
	}
	is.Equal(used, 1)
	is.True(e.usesLease(limit.ShardOf("limited")))
	is.True(e.usesLease(pool.LeaseName("desk")))
	is.True(e.usesLease(pool.LeaseName("desk@oita.0")))
	is.True(!e.usesLease(pool.LeaseName("desk@fukuoka.0")))
}
