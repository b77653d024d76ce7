package prog

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The balancer needs two misses, a second apart. The end of the process itself takes
// up to a second.
func TestPlannedStopLeavesTimeForEveryStep(t *testing.T) {
	is := is.New(t)
	delay, limit := planStop(6 * time.Second)
	is.True(delay > 2*time.Second)
	is.True(limit > 2*time.Second)
	is.True(6*time.Second-delay-limit >= time.Second)
}
