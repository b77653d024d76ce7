package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

func TestLocalChoicesRespectPauses(t *testing.T) {
	is := is.New(t)
	cs := &cellState{servers: make(map[string]*serverStats)}
	a, b := fleet.Target{Name: "a", Boot: 1}, fleet.Target{Name: "b", Boot: 1}
	cs.recordPause(a, health.Result{Pause: 2 * time.Second}, startTime)
	cs.recordPause(a, health.Result{Pause: time.Second}, startTime) // the longer one holds
	kept, shortest := cs.withoutPaused([]fleet.Target{a, b}, startTime)
	is.Equal(kept, []fleet.Target{b})
	is.Equal(shortest, time.Duration(0))
	cs.recordPause(b, health.Result{Pause: time.Second}, startTime)
	kept, shortest = cs.withoutPaused([]fleet.Target{a, b}, startTime)
	is.Equal(len(kept), 0)
	is.Equal(shortest, time.Second)
	kept, _ = cs.withoutPaused([]fleet.Target{a, b}, startTime.Add(time.Second))
	is.Equal(kept, []fleet.Target{b})
	is.Equal(cs.pauseLeft(fleet.Target{Name: "a", Boot: 2}, startTime), time.Duration(0))
}
