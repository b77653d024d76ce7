package entry

import (
	"sync"
	"time"
)

const (
	// countSettleTime is the time after the start within which an entry discovers all
	// others: two gossip periods.
	countSettleTime = 600 * time.Millisecond
	// peakWindow is how long unreachable entries still count, so that a partitioned part
	// of the fleet does not take over the share of the whole fleet.
	peakWindow = time.Minute
)

// peakCounter tracks the highest number of entries within a time window.
type peakCounter struct {
	started time.Time

	mu     sync.Mutex
	peak   int
	peakAt time.Time
}

// count records the current number of entries and returns the highest number of the
// last minute, or 0 while the other entries have not been discovered yet.
func (c *peakCounter) count(members int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if members >= c.peak || now.Sub(c.peakAt) > peakWindow {
		c.peak, c.peakAt = members, now
	}
	if now.Sub(c.started) < countSettleTime {
		return 0
	}
	return c.peak
}
