package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A data centre that is cut off sees a third of the fleet. It must not admit three
// times its part.
func TestCrowdRemembersEntriesThatAreNoLongerHeard(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	c := crowd{started: start}
	is.Equal(c.count(1, start.Add(crowdSettles/2)), 0) // the others are not known yet
	is.Equal(c.count(40, start.Add(time.Second)), 40)
	is.Equal(c.count(14, start.Add(30*time.Second)), 40)
	is.Equal(c.count(14, start.Add(2*time.Minute)), 14)
}
