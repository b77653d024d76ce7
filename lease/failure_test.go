package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A takeover is requested for a holder that fails for half a second, but not for one
// that fails occasionally or serves in between.
func TestTakeoverIsRequestedAfterContinuedFailures(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	f := newFailureTracker()
	requested := 0
	for now := start; now.Sub(start) < time.Second; now = now.Add(50 * time.Millisecond) {
		if f.recordFailure("w01", now) {
			requested++
			is.True(now.Sub(start) >= takeoverAfter)
		}
	}
	is.Equal(requested, 2) // limited by takeoverInterval
	for i := range 100 {
		now := start.Add(time.Duration(10+2*i) * time.Second)
		is.True(!f.recordFailure("w02", now))
	}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		is.True(!f.recordFailure("w03", now))
		f.clear("w03") // the holder served in between
	}
}

func TestTakeoverRequestExpires(t *testing.T) {
	is := is.New(t)
	start := time.Unix(9000, 0)
	f := newFailureTracker()
	f.addTakeovers("e1", []string{"w01"}, start)
	is.True(f.takeoverRequested("w01", start))
	is.True(!f.takeoverRequested("w02", start))
	is.True(!f.takeoverRequested("w01", start.Add(takeoverTimeout)))
}
