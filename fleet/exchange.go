package fleet

import "time"

const (
	// exchangeRate is the number of items per second that an entry sends because checksums differ, and
	// exchangeBurst how many it sends at once after a pause.
	exchangeRate  = 250
	exchangeBurst = 1000
	// maxExchangeDebt bounds what an entry must make up for before it exchanges items again.
	maxExchangeDebt = 2 * exchangeRate
)

// exchange answers checksums that differ with the items of these buckets, and requests the sender's. While
// hundreds of entries start, nearly all buckets differ all the time and what would be sent is on its way
// already; exchanges above exchangeRate are left to the next comparison.
func (c *core) exchange(with string, differing []uint32, now time.Time) {
	c.exchangeBudget = min(c.exchangeBudget+exchangeRate*now.Sub(c.budgetAt).Seconds(), exchangeBurst)
	c.budgetAt = now
	if c.exchangeBudget <= 0 {
		return
	}
	items := c.store.itemsInBuckets(differing)
	c.spend(items)
	c.reply(with, gossip{items: items, index: c.stateIndex, want: differing})
}

// spend takes items from the budget. However many others have requested, entries that start are answered
// again after a moment.
func (c *core) spend(items []Item) {
	c.exchangeBudget = max(c.exchangeBudget-float64(len(items)), -maxExchangeDebt)
}
