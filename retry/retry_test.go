package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/retry"
)

// With a few requests a second on each VM, the first failure must not wait for ten
// more requests.
func TestSlackIsThereFromTheStart(t *testing.T) {
	is := is.New(t)
	const vms = 40
	first := 0
	for range vms {
		b := retry.NewBudget(retry.Ratio(0.18), retry.Slack(60, func() int { return vms }))
		for b.Withdraw() {
			first++
		}
	}
	is.Equal(first, vms) // one each, inside the slack of 60
}
