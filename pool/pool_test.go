package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

var startTime = time.Unix(5000, 0)

func newTargets(n int) []fleet.Target {
	var list []fleet.Target
	for i := range n {
		list = append(list, fleet.Target{Name: fmt.Sprint("b", i), Pool: "p", Slots: 4, Phase: fleet.Warm, Boot: 1})
	}
	return list
}

func TestEntryEnforcesTheFloorLocally(t *testing.T) {
	is := is.New(t)
	cs := &cellState{servers: make(map[string]*serverStats)}
	cs.status.Ejected = []string{"b0", "b1", "b2"}
	remaining := cs.withoutEjected(newTargets(4), 4, 0.5) // servers have left since the status was published
	is.Equal(len(remaining), 2)
	for i := range 4 {
		s := cs.server(fmt.Sprint("b", i))
		s.recordResult(health.Result{Kind: health.Unreachable}, startTime)
		s.recordResult(health.Result{Kind: health.Unreachable}, startTime)
	}
	is.Equal(len(cs.withoutFailing(newTargets(4), 0.5, startTime)), 4) // all servers fail, so none is avoided
}
