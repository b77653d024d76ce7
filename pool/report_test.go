package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/health"
)

// The holder knows the results of the requests that it has placed. Reports on them from a
// hundred entries, ten times a second for each that runs, kept it from placing others.
func TestPlacedRequestsAreNotReported(t *testing.T) {
	is := is.New(t)
	cs := &cellState{servers: make(map[string]*serverStats)}
	cs.server("b1").recordLocally(health.Result{Kind: health.Failed, Cold: true}, startTime)
	is.Equal(len(cs.report(startTime.Add(time.Second))), 0)
	is.True(startTime.Before(cs.server("b1").coldUntil))
	cs.server("b1").recordResult(health.Result{Kind: health.Failed}, startTime)
	is.Equal(len(cs.report(startTime.Add(2*time.Second))), 1) // chosen by this VM alone
}
