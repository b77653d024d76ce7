package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The entries of a partitioned data centre see a third of the fleet. They must not admit
// three times their share of the requests.
func TestPeakCounterCountsUnreachableEntries(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	c := peakCounter{started: start}
	is.Equal(c.count(1, start.Add(countSettleTime/2)), 0) // the other entries have not been discovered yet
	is.Equal(c.count(40, start.Add(time.Second)), 40)
	is.Equal(c.count(14, start.Add(30*time.Second)), 40)
	is.Equal(c.count(14, start.Add(2*time.Minute)), 14)
}
