// Package clock provides the time and runs the periodic functions of a process. A
// single goroutine runs all of them instead of one timer per component, and tests
// replace the clock by one that they advance themselves.
//
// Times of the system clock carry Go's monotonic clock reading, so that differences
// are not affected by adjustments of the wall clock or by time-zone changes.
//
// # Usage
//
//	c := clock.New()
//	defer c.Stop()
//	stop := c.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//
// Tests use a manual clock and call Advance:
//
//	manual := clock.NewManual(time.Unix(0, 0))
//	manual.Every(time.Second, f)
//	manual.Advance(3 * time.Second) // f runs three times
package clock

import (
	"container/heap"
	"sync"
	"time"
)

// Clock provides the current time and runs periodic functions.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls f once per period until the returned function is called. The functions
	// of one clock never run concurrently and must not block.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// After calls f once after a delay, under the same conditions. Stop drops it.
	After(delay time.Duration, f func(now time.Time))
	// Stop ends all subscriptions and waits for a running function to return.
	Stop()
	// String returns the name of the implementation.
	String() string
}

// New returns the system clock.
func New() Clock {
	s := &system{
		started: time.Now(),
		changed: make(chan struct{}, 1),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go s.run()
	return s
}

// subscription is a function and the time of its next run.
type subscription struct {
	next time.Time
	// period is 0 for a function that runs only once.
	period  time.Duration
	run     func(time.Time)
	stopped bool
}

// schedule is a heap of subscriptions ordered by the time of their next run.
type schedule []*subscription

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].next.Before(s[j].next) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) { *s = append(*s, x.(*subscription)) }

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	return last
}

// system is the Clock that follows the system clock.
type system struct {
	started  time.Time
	mu       sync.Mutex
	schedule schedule
	changed  chan struct{}
	quit     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// Now returns the current time.
func (s *system) Now() time.Time { return time.Now() }

// String returns the name of the implementation.
func (s *system) String() string { return "system" }

// Every calls f once per period, at multiples of it since the start of the clock: functions whose
// periods divide each other are due together, so that the process is woken once for all of them.
func (s *system) Every(period time.Duration, f func(time.Time)) func() {
	since := time.Since(s.started)
	sub := &subscription{next: s.started.Add(since - since%period + period), period: period, run: f}
	s.mu.Lock()
	heap.Push(&s.schedule, sub)
	s.mu.Unlock()
	s.signalChange()
	return func() {
		s.mu.Lock()
		sub.stopped = true
		s.mu.Unlock()
	}
}

// After calls f once after a delay.
func (s *system) After(delay time.Duration, f func(time.Time)) {
	s.mu.Lock()
	heap.Push(&s.schedule, &subscription{next: time.Now().Add(delay), run: f})
	s.mu.Unlock()
	s.signalChange()
}

// Stop ends all subscriptions and waits for a running function to return.
func (s *system) Stop() {
	s.stopOnce.Do(func() { close(s.quit) })
	<-s.done
}

// signalChange makes run recompute the time of the next run.
func (s *system) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *system) run() {
	defer close(s.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.runDue())
		select {
		case <-s.quit:
			return
		case <-s.changed:
		case <-timer.C:
		}
	}
}

// runDue runs all due functions and returns the time until the next one is due.
func (s *system) runDue() time.Duration {
	for {
		now := time.Now()
		sub := s.nextDue(now)
		if sub == nil {
			return s.untilNext(now)
		}
		sub.run(now)
	}
}

// nextDue returns a subscription that is due, and schedules its next run if it is periodic.
// Runs that were missed are skipped.
func (s *system) nextDue(now time.Time) *subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.schedule) > 0 && !s.schedule[0].next.After(now) {
		sub := s.schedule[0]
		if sub.stopped {
			heap.Pop(&s.schedule)
			continue
		}
		if sub.period == 0 {
			heap.Pop(&s.schedule)
			return sub
		}
		sub.next = sub.next.Add(sub.period)
		if sub.next.Before(now) {
			sub.next = sub.next.Add((now.Sub(sub.next)/sub.period + 1) * sub.period)
		}
		heap.Fix(&s.schedule, 0)
		return sub
	}
	return nil
}

func (s *system) untilNext(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.schedule) == 0 {
		return time.Hour
	}
	return s.schedule[0].next.Sub(now)
}
