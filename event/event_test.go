package event_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/event"
)

func skewedClock(d time.Duration) event.Option {
	return event.WallClock(func() time.Time { return time.Now().Add(d) })
}

func TestMergeOrdersCauseBeforeEffectUnderClockSkew(t *testing.T) {
	is := is.New(t)
	ahead := event.New("c1", skewedClock(30*time.Second))
	behind := event.New("e1", skewedClock(-30*time.Second))

	ahead.Record(event.TicketAccepted, "12", "")
	behind.Observe(ahead.Stamp())
	behind.Record(event.StateApplied, "12", "")
	ahead.Observe(behind.Stamp())
	ahead.Record(event.TicketInForce, "12", "")

	aheadEvents, _ := ahead.Since(0)
	behindEvents, _ := behind.Since(0)
	var kinds []event.Kind
	for _, e := range event.Merge(behindEvents, aheadEvents) {
		kinds = append(kinds, e.Kind)
	}
	is.Equal(kinds, []event.Kind{event.TicketAccepted, event.StateApplied, event.TicketInForce})
}

func TestSinceReportsOverwrittenEvents(t *testing.T) {
	is := is.New(t)
	log := event.New("e1", event.Capacity(4))
	for range 10 {
		log.Record(event.Ejected, "b1", "")
	}
	events, lost := log.Since(0)
	is.Equal(len(events), 4)
	is.Equal(lost, uint64(6))
	is.Equal(events[0].Seq, uint64(7))
	_, lost = log.Since(8)
	is.Equal(lost, uint64(0))
}

func TestObserveIgnoresTimestampFarInTheFuture(t *testing.T) {
	is := is.New(t)
	log := event.New("e1")
	log.Observe(event.Stamp{WallMillis: time.Now().Add(24 * time.Hour).UnixMilli()})
	is.True(log.Stamp().WallMillis < time.Now().Add(time.Minute).UnixMilli())
}
