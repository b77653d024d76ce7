package clock

import (
	"sync"
	"time"
)

// Manual is a Clock whose time changes only when Advance is called.
type Manual struct {
	mu            sync.Mutex
	now           time.Time
	subscriptions []*subscription
}

// NewManual returns a manual clock that starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time reached so far.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// String returns the name of the implementation.
func (m *Manual) String() string { return "manual" }

// Every calls f once for every period that Advance passes.
func (m *Manual) Every(period time.Duration, f func(time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	sub := &subscription{next: m.now.Add(period), period: period, run: f}
	m.subscriptions = append(m.subscriptions, sub)
	return func() {
		m.mu.Lock()
		sub.stopped = true
		m.mu.Unlock()
	}
}

// After calls f once when Advance has passed the delay.
func (m *Manual) After(delay time.Duration, f func(time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscriptions = append(m.subscriptions, &subscription{next: m.now.Add(delay), run: f})
}

// Stop ends all subscriptions.
func (m *Manual) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscriptions = nil
}

// Advance moves the time forward by d and calls the due functions in order of time.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		sub := m.nextDue(end)
		if sub == nil {
			break
		}
		sub.run(m.Now())
	}
	m.mu.Lock()
	m.now = end
	m.mu.Unlock()
}

// nextDue returns the subscription that is due first, at or before end, and moves the time
// to its run.
func (m *Manual) nextDue(end time.Time) *subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *subscription
	for _, sub := range m.subscriptions {
		if sub.stopped || sub.next.After(end) {
			continue
		}
		if first == nil || sub.next.Before(first.next) {
			first = sub
		}
	}
	if first == nil {
		return nil
	}
	m.now = first.next
	first.next = first.next.Add(first.period)
	first.stopped = first.period == 0
	return first
}
