// Package retry limits the number of retries with a budget.
//
// # Usage
//
//	budget := retry.NewBudget(retry.Ratio(0.1))
//	budget.Deposit()             // for every request
//	if budget.Withdraw() { ... } // before every retry
package retry

import "sync"

const (
	defaultRatio = 0.1
	defaultBurst = 10
	// usedSlack is the share of the fleet's slack that is used, because the number of VMs is
	// not known exactly.
	usedSlack = 0.7
)

// Budget allows retries in proportion to first attempts, so that retries do not multiply
// the load during an outage.
type Budget struct {
	ratio float64
	burst func() float64

	mu     sync.Mutex
	tokens float64
}

// Option configures a Budget.
type Option func(*Budget)

// Ratio sets the number of retries allowed per request.
func Ratio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// Burst sets the maximum number of retries that can be saved up.
func Burst(n float64) Option { return func(b *Budget) { b.burst = func() float64 { return n } } }

// Slack allows n retries over the whole fleet in addition to the ratio. Each VM has an
// equal share from the start, and at least one retry.
func Slack(n float64, vms func() int) Option {
	return func(b *Budget) {
		b.burst = func() float64 { return max(1, usedSlack*n/float64(max(1, vms()))) }
		b.tokens = b.burst()
	}
}

// NewBudget returns a budget, which is empty unless the Slack option is used.
func NewBudget(opts ...Option) *Budget {
	b := &Budget{ratio: defaultRatio, burst: func() float64 { return defaultBurst }}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Deposit credits the budget for one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst(), b.tokens+b.ratio)
}

// Withdraw takes one retry from the budget and reports whether one was available.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
