package retry_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/retry"
)

// With only a few requests per second on each VM, the first retry must not have to wait for
// ten requests.
func TestSlackIsAvailableFromTheStart(t *testing.T) {
	is := is.New(t)
	const vms = 40
	retries := 0
	for range vms {
		b := retry.NewBudget(retry.Ratio(0.18), retry.Slack(60, func() int { return vms }))
		for b.Withdraw() {
			retries++
		}
	}
	is.Equal(retries, vms) // one per VM, within the slack of 60
}
