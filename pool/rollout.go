package pool

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/canary"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

// lastTallies is how long after the end of a roll-out its results are still reported, so that the
// last ones arrive although a report is lost.
const lastTallies = 500 * time.Millisecond

// cellCounter counts the results of the versions of a cell. It outlives the lease of the cell, as
// counters must not decrease while this VM runs.
type cellCounter struct {
	*canary.Counter
	// countedAt is when a roll-out of the pool was last known to be running.
	countedAt time.Time
}

// counter returns the counter of a cell while a roll-out of its pool is running, otherwise nil.
func (b *Balancer) counter(cell string, now time.Time) *canary.Counter {
	current := b.options.State()
	if r, known := state.Get[state.Rollout](current, current.PoolOfCell(cell)); !known || r.Phase != state.RolloutRunning {
		return nil
	}
	c, known := b.counters[cell]
	if !known {
		c = &cellCounter{Counter: canary.NewCounter(cell)}
		b.counters[cell] = c
	}
	c.countedAt = now
	return c.Counter
}

// RolloutTallies returns what this VM has counted as the holder of cells, since its start, of the
// versions between which a roll-out moves requests. There is nothing to tell without a roll-out.
func (b *Balancer) RolloutTallies(now time.Time) []canary.Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []canary.Tally
	for cell, c := range b.counters {
		if b.counter(cell, now) != nil || now.Sub(c.countedAt) < lastTallies {
			list = append(list, c.Tallies()...)
		}
	}
	return list
}

// isRetired reports whether a roll-out leaves no requests to a server. The holder that assigns it
// may not know of the last step yet.
func (b *Balancer) isRetired(t fleet.Target) bool {
	return slices.Contains(b.servers(t.Pool).retired, t.Version)
}

// retiredVersions returns the versions of the servers that a roll-out has removed from a list.
func retiredVersions(all, kept []fleet.Target) []string {
	if len(all) == len(kept) {
		return nil
	}
	var list []string
	for _, t := range all {
		of := func(other fleet.Target) bool { return other.Version == t.Version }
		if !slices.Contains(list, t.Version) && !slices.ContainsFunc(kept, of) {
			list = append(list, t.Version)
		}
	}
	return list
}
