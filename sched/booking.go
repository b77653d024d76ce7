package sched

import (
	"math/rand/v2"
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
)

const (
	// bookingStep is the length of the spans that places are booked in, and bookingSteps their
	// number. Together they are as long as a refused caller is told to wait at most.
	bookingStep  = 100 * time.Millisecond
	bookingSteps = 20
	// bookedShare is the part of the room that is booked. The rest is for newcomers.
	bookedShare = 0.25
	// bookingEarly and bookingGrace are how much earlier and later than told a caller may come
	// back: on its way it waits for two links and a timer.
	bookingEarly = 20 * time.Millisecond
	bookingGrace = time.Second
	// maxBookings bounds the requests that are known to come back.
	maxBookings = 4096
)

// bookings names the moments at which refused requests may come back, and knows them when they
// do.
//
// The load it answers: thousands of callers are refused within a second and come back as told.
// If all are told the same, they meet the next refusal together; if their places went to
// newcomers meanwhile, they would be refused again and again.
type bookings struct {
	// booked is the work that is expected in each span, by the number of the span.
	booked [bookingSteps]float64
	// first is the number of the present span, counted from since.
	first   int64
	since   time.Time
	byPrint map[guard.Print]time.Time
	// random returns a duration below another one.
	random func(time.Duration) time.Duration
}

func newBookings() *bookings {
	return &bookings{byPrint: make(map[guard.Print]time.Time), random: rand.N[time.Duration]}
}

// advance empties the spans that have passed.
func (b *bookings) advance(now time.Time) {
	if b.since.IsZero() {
		b.since = now
	}
	current := int64(now.Sub(b.since) / bookingStep)
	if current-b.first >= bookingSteps {
		b.booked, b.first = [bookingSteps]float64{}, current
	}
	for ; b.first < current; b.first++ {
		b.booked[b.first%bookingSteps] = 0
	}
}

// book returns the time after which a refused request may come back, at the earliest and at
// the latest after the times given. rate is the work per second that can be done for requests
// like it.
func (b *bookings) book(print guard.Print, load, rate float64, earliest, latest time.Duration, now time.Time) time.Duration {
	b.advance(now)
	room := bookedShare * rate * bookingStep.Seconds()
	from := int64(max(earliest, minRetryAfter)+bookingStep-1) / int64(bookingStep)
	for span := from; span < min(bookingSteps, int64(latest/bookingStep)); span++ {
		at := &b.booked[(b.first+span)%bookingSteps]
		if *at > 0 && *at+load > room || room <= 0 {
			continue
		}
		*at += load
		after := b.since.Add(time.Duration(b.first+span)*bookingStep).Sub(now) + b.random(bookingStep)
		if print != (guard.Print{}) && len(b.byPrint) < maxBookings {
			b.byPrint[print] = now.Add(after)
		}
		return after
	}
	// Everything is booked that is of use: nothing is promised, and nobody returns together.
	return bookingSteps*bookingStep/2 + b.random(bookingSteps*bookingStep/2)
}

// claim reports whether a request comes back as it was told, and ends its booking.
func (b *bookings) claim(print guard.Print, now time.Time) bool {
	at, known := b.byPrint[print]
	if !known || now.Before(at.Add(-bookingEarly)) {
		return false
	}
	delete(b.byPrint, print)
	return now.Before(at.Add(bookingGrace))
}

// expire forgets the bookings of requests that did not come back.
func (b *bookings) expire(now time.Time) {
	for print, at := range b.byPrint {
		if !now.Before(at.Add(bookingGrace)) {
			delete(b.byPrint, print)
		}
	}
}
