package sched

import "time"

const (
	// arrivalWindow is the time over which the rate of arrivals is measured, and arrivalWeight
	// the weight of one such window in the moving average.
	arrivalWindow = 100 * time.Millisecond
	arrivalWeight = 0.02
	// hopelessWait is the wait of requests that are overtaken faster than the queue drains.
	hopelessWait = time.Hour
	// maxArrivalGap is the time without arrivals after which the earlier rate is forgotten.
	maxArrivalGap = 10 * time.Second
)

// backlog estimates how long requests wait in the queue.
//
// The load it answers: more requests arrive than the pool can serve. Those that can still
// meet their objective go first, and as long as as many arrive as can be served, the others
// never get a slot. After a short burst they do. The difference is the rate at which the
// queue drains. A request that will not get a slot is rejected when that becomes known, not
// when its deadline has passed.
type backlog struct {
	arrivals    int
	windowStart time.Time
	// perSecond is the moving average of the arrivals per second.
	perSecond float64
}

// arrived counts a request.
func (b *backlog) arrived(now time.Time) {
	b.advance(now)
	b.arrivals++
}

// advance ends the windows that have passed.
func (b *backlog) advance(now time.Time) {
	if now.Sub(b.windowStart) > maxArrivalGap {
		b.windowStart, b.arrivals, b.perSecond = now, 0, 0
	}
	for now.Sub(b.windowStart) >= arrivalWindow {
		b.perSecond += arrivalWeight * (float64(b.arrivals)/arrivalWindow.Seconds() - b.perSecond)
		b.windowStart, b.arrivals = b.windowStart.Add(arrivalWindow), 0
	}
}

// wait returns the expected wait of a request behind ahead others, while served requests per
// second get a slot. One that cannot meet its objective is overtaken by all that can.
func (b *backlog) wait(ahead int, served float64, inTime bool) time.Duration {
	if !inTime {
		served -= b.perSecond
	}
	seconds := float64(ahead) / served
	if served <= 0 || seconds > hopelessWait.Seconds() {
		return hopelessWait
	}
	return time.Duration(seconds * float64(time.Second))
}
