package clock_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
)

func TestSystemClockRunsFunctionOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.New()
		runs := 0
		stop := c.Every(time.Second, func(time.Time) { runs++ })
		time.Sleep(3*time.Second + time.Millisecond)
		stop()
		time.Sleep(3 * time.Second)
		c.Stop()
		is.Equal(runs, 3)
	})
}

func TestManualClockRunsFunctionsInOrderOfTime(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(0, 0))
	var order []string
	manual.Every(2*time.Second, func(time.Time) { order = append(order, "slow") })
	manual.Every(time.Second, func(time.Time) { order = append(order, "fast") })
	manual.Advance(3 * time.Second)
	is.Equal(order, []string{"fast", "slow", "fast", "fast"})
}

func TestFunctionAfterADelayRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.New()
		manual := clock.NewManual(time.Unix(0, 0))
		var runs atomic.Int64
		c.After(time.Second, func(time.Time) { runs.Add(1) })
		manual.After(time.Second, func(time.Time) { runs.Add(1) })
		time.Sleep(time.Second - time.Millisecond)
		manual.Advance(time.Second - time.Millisecond)
		is.Equal(runs.Load(), int64(0))
		time.Sleep(time.Minute)
		manual.Advance(time.Minute)
		c.Stop()
		is.Equal(runs.Load(), int64(2))
	})
}

// Guards against a process that is woken once for each of its periodic functions.
func TestFunctionsWhosePeriodsDivideEachOtherAreDueTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := clock.New()
		due := make(map[time.Time]int)
		note := func(now time.Time) { due[now]++ }
		c.Every(100*time.Millisecond, note)
		time.Sleep(30 * time.Millisecond)
		c.Every(100*time.Millisecond, note)
		time.Sleep(5 * time.Millisecond)
		c.Every(500*time.Millisecond, note)
		time.Sleep(time.Second)
		c.Stop()
		is.Equal(len(due), 10)
	})
}
