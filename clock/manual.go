package clock

import (
	"sync"
	"time"
)

// Manual is a Service whose time moves only when Advance is called.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	subs []*subscription
}

// NewManual returns a manual service that starts at the given instant.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the instant reached so far.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// String names the implementation.
func (m *Manual) String() string { return "manual" }

// Every runs f once for every period that Advance passes.
func (m *Manual) Every(period time.Duration, f func(time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	sub := &subscription{next: m.now.Add(period), period: period, run: f}
	m.subs = append(m.subs, sub)
	return func() {
		m.mu.Lock()
		sub.stopped = true
		m.mu.Unlock()
	}
}

// Stop ends all subscriptions.
func (m *Manual) Stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subs = nil
}

// Advance moves time forward by d and runs the due functions in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()
	for {
		sub := m.takeDue(end)
		if sub == nil {
			break
		}
		sub.run(m.Now())
	}
	m.mu.Lock()
	m.now = end
	m.mu.Unlock()
}

// takeDue returns the subscription due first, at or before end, and moves time to it.
func (m *Manual) takeDue(end time.Time) *subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	var first *subscription
	for _, sub := range m.subs {
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
	return first
}
