package event_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/event"
)

func skewed(d time.Duration) event.Option {
	return event.WallClock(func() time.Time { return time.Now().Add(d) })
}

func TestMergeKeepsCauseBeforeEffectWithSkewedClocks(t *testing.T) {
	is := is.New(t)
	ahead := event.New("c1", skewed(30*time.Second))
	behind := event.New("e1", skewed(-30*time.Second))

	ahead.Record(event.TicketAccepted, "12", "")
	behind.Observe(ahead.Stamp())
	behind.Record(event.StateApplied, "12", "")
	ahead.Observe(behind.Stamp())
	ahead.Record(event.TicketInForce, "12", "")

	a, _ := ahead.Since(0)
	b, _ := behind.Since(0)
	var kinds []event.Kind
	for _, e := range event.Merge(b, a) {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []event.Kind{event.TicketAccepted, event.StateApplied, event.TicketInForce})
}

func TestLineSaysWhatItLost(t *testing.T) {
	is := is.New(t)
	line := event.New("e1", event.Capacity(4))
	for range 10 {
		line.Record(event.Ejected, "b1", "")
	}
	events, lost := line.Since(0)
	is.Equal(len(events), 4)
	is.Equal(lost, uint64(6))
	is.Equal(events[0].Seq, uint64(7))
	_, lost = line.Since(8)
	is.Equal(lost, uint64(0))
}

func TestObserveIgnoresAStampFarAhead(t *testing.T) {
	is := is.New(t)
	line := event.New("e1")
	line.Observe(event.Stamp{WallMillis: time.Now().Add(24 * time.Hour).UnixMilli()})
	is.True(line.Stamp().WallMillis < time.Now().Add(time.Minute).UnixMilli())
}
