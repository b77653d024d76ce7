// Package retry decides which requests may be tried again, and how many.
//
// # Usage
//
//	budget := retry.NewBudget(retry.Ratio(0.1))
//	budget.Deposit() // once a request
//	if budget.Withdraw() { ... } // before every further attempt
package retry

import "sync"

const (
	defaultRatio   = 0.1
	defaultReserve = 10
	// slackPart is the part of a fleet's slack that is used: the number of VMs is
	// not known exactly.
	slackPart = 0.7
)

// Budget allows a number of further attempts in proportion to first ones, so
// that retries never multiply the load of an outage.
type Budget struct {
	ratio   float64
	reserve func() float64

	mu     sync.Mutex
	tokens float64
}

// Option changes one setting of a Budget.
type Option func(*Budget)

// Ratio sets the number of further attempts for each request.
func Ratio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// Burst sets the number of further attempts that can be saved up.
func Burst(n float64) Option { return func(b *Budget) { b.reserve = func() float64 { return n } } }

// Slack lets the VMs of a fleet try again n times together beside the ratio. Each
// of them has its part of that from the start, and one further attempt at least.
func Slack(n float64, vms func() int) Option {
	return func(b *Budget) {
		b.reserve = func() float64 { return max(1, slackPart*n/float64(max(1, vms()))) }
		b.tokens = b.reserve()
	}
}

// NewBudget returns a budget, which is empty unless there is a slack.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, reserve: func() float64 { return defaultReserve }}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.reserve(), b.tokens+b.ratio)
}

// Withdraw takes one further attempt and reports whether there was one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
