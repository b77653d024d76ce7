// Package clock is the timer service of a process. Parts subscribe to it
// instead of starting timers of their own, so that one goroutine runs all
// periodic work and tests drive time by hand.
//
// All instants carry Go's monotonic reading. Differences between them are
// unaffected by jumps of the wall clock or by changes of civil time.
//
// # Usage
//
//	service := clock.New()
//	defer service.Stop()
//	stop := service.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//
// Tests use a manual service and call Advance:
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

// Clock tells the time and runs subscribed functions.
type Clock interface {
	// Now returns the current instant.
	Now() time.Time
	// Every runs f once every period until the returned function is called.
	// Functions of one service never run concurrently and must not block.
	Every(period time.Duration, f func(now time.Time)) (stop func())
	// Stop ends all subscriptions and waits for a running function to return.
	Stop()
	// String names the implementation.
	String() string
}

// New returns a service that follows the machine's monotonic clock.
func New() Clock {
	s := &system{
		wake: make(chan struct{}, 1),
		quit: make(chan struct{}),
		done: make(chan struct{}),
	}
	go s.run()
	return s
}

// subscription is one periodic function and the instant of its next run.
type subscription struct {
	next    time.Time
	period  time.Duration
	run     func(time.Time)
	stopped bool
}

// agenda is a heap of subscriptions ordered by their next run.
type agenda []*subscription

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].next.Before(a[j].next) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(*subscription)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*a = old[:len(old)-1]
	return last
}

// system is the Service that runs on the machine's clock.
type system struct {
	mu     sync.Mutex
	agenda agenda
	wake   chan struct{}
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
}

// Now returns the current instant.
func (s *system) Now() time.Time { return time.Now() }

// String names the implementation.
func (s *system) String() string { return "system" }

// Every runs f once every period.
func (s *system) Every(period time.Duration, f func(time.Time)) func() {
	sub := &subscription{next: time.Now().Add(period), period: period, run: f}
	s.mu.Lock()
	heap.Push(&s.agenda, sub)
	s.mu.Unlock()
	s.notify()
	return func() {
		s.mu.Lock()
		sub.stopped = true
		s.mu.Unlock()
	}
}

// Stop ends the service.
func (s *system) Stop() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}

func (s *system) notify() {
	select {
	case s.wake <- struct{}{}:
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
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// runDue runs every due subscription and returns the wait until the next one.
func (s *system) runDue() time.Duration {
	for {
		now := time.Now()
		sub := s.takeDue(now)
		if sub == nil {
			return s.untilNext(now)
		}
		sub.run(now)
	}
}

// takeDue returns a subscription that is due and schedules its next run.
// A subscription that fell behind skips the runs it missed.
func (s *system) takeDue(now time.Time) *subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.agenda) > 0 && !s.agenda[0].next.After(now) {
		sub := s.agenda[0]
		if sub.stopped {
			heap.Pop(&s.agenda)
			continue
		}
		sub.next = sub.next.Add(sub.period)
		if sub.next.Before(now) {
			sub.next = now.Add(sub.period)
		}
		heap.Fix(&s.agenda, 0)
		return sub
	}
	return nil
}

func (s *system) untilNext(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.agenda) == 0 {
		return time.Hour
	}
	return s.agenda[0].next.Sub(now)
}
