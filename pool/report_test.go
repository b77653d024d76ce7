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
	ps := &cellState{servers: make(map[string]*serverStats)}
	ps.server("b1").recordLocally(health.Result{Kind: health.Failed, Cold: true}, startTime)
	is.Equal(len(ps.report(startTime.Add(time.Second))), 0)
	is.True(startTime.Before(ps.server("b1").coldUntil))
	ps.server("b1").recordResult(health.Result{Kind: health.Failed}, startTime)
	is.Equal(len(ps.report(startTime.Add(2*time.Second))), 1) // chosen by this VM alone
}
