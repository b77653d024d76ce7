package entry

import (
	"sync"
	"time"
)

const (
	// crowdSettles is the time after the start in which an entry learns of all
	// others: two periods of the gossip between entries.
	crowdSettles = 600 * time.Millisecond
	// crowdMemory is how long entries count that are no longer heard. A part of the
	// fleet that is cut off does not take the whole fleet's work for its own.
	crowdMemory = time.Minute
)

// crowd remembers how many entries there have been lately.
type crowd struct {
	started time.Time

	mu   sync.Mutex
	most int
	at   time.Time
}

// count takes the number of entries that are known now and returns the most of the
// last minute, or 0 in the time after the start in which they are not known yet.
func (c *crowd) count(members int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if members >= c.most || now.Sub(c.at) > crowdMemory {
		c.most, c.at = members, now
	}
	if now.Sub(c.started) < crowdSettles {
		return 0
	}
	return c.most
}
