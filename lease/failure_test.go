package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A holder that does not serve for half a second is doubted, one that fails now and
// then is not.
func TestHoldersThatDoNotServeAreDoubted(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	d := newDoubts()
	told := 0
	for now := start; now.Sub(start) < time.Second; now = now.Add(50 * time.Millisecond) {
		if d.add("w01", now) {
			told++
			is.True(now.Sub(start) >= doubtAfter)
		}
	}
	is.Equal(told, 2) // not with every request
	for i := range 100 {
		now := start.Add(time.Duration(10+2*i) * time.Second)
		is.True(!d.add("w02", now))
	}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		is.True(!d.add("w03", now))
		d.clear("w03") // it served in between
	}
}

func TestLeasesAreTakenOnlyAsLongAsTheyAreNeeded(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	d := newDoubts()
	d.need([]string{"w01"}, start)
	is.True(d.needed("w01", start))
	is.True(!d.needed("w02", start))
	is.True(!d.needed("w01", start.Add(needLife)))
}
