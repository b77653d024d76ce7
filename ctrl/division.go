package ctrl

import (
	"time"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const (
	// divisionPeriod is the interval between checks of the divisions of the pools.
	divisionPeriod = 500 * time.Millisecond
	// maxUndivided is the number of servers above which a pool is divided, and minDivided
	// that below which it is undivided again. Servers that come and go in between change
	// nothing.
	maxUndivided = 72
	minDivided   = 48
	// maxCellServers is the number of servers of a cell above which the cells are halved, and
	// minCellServers that below which pairs of them are merged.
	maxCellServers = 128
	minCellServers = 40
)

// tickDivisions adapts the divisions of the pools to their numbers of servers.
func (c *Control) tickDivisions(now time.Time) {
	if c.status.Load().Role != quorum.Leader || now.Sub(c.lastDivisionCheck) < divisionPeriod {
		return
	}
	c.lastDivisionCheck = now
	current := c.Ledger().State()
	if current.Index() == c.dividedIndex {
		return
	}
	c.dividedIndex = current.Index()
	var changes []state.Object
	for pool, servers := range serversByDataCentre(current) {
		old, _ := state.Get[state.Division](current, pool)
		if next := nextCells(old.CellsPerDataCentre, servers); next != old.CellsPerDataCentre {
			changes = append(changes, state.Division{Pool: pool, CellsPerDataCentre: next})
		}
	}
	if len(changes) > 0 {
		c.proposeSystemChange(ticket.Ticket{Number: ledger.SystemNumber, Set: changes})
	}
}

// serversByDataCentre counts the servers of each pool in each data centre. Where a roll-out has
// started those of a version beside the others, only the versions that go on to serve count: the
// pool has twice its servers for a short time, and each change of a division costs new holders.
func serversByDataCentre(s state.State) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, t := range state.List[state.Target](s) {
		r, ok := state.Get[state.Rollout](s, t.Pool)
		if t.Phase == state.TargetGone || ok && (t.Version == r.Version) != (r.Phase == state.RolloutCompleted) {
			continue
		}
		if counts[t.Pool] == nil {
			counts[t.Pool] = make(map[string]int)
		}
		counts[t.Pool][t.DataCentre]++
	}
	return counts
}

// nextCells returns the number of cells for each data centre, given the present number and
// the servers in each. It changes only when the pool has grown or shrunk by a good part.
func nextCells(cells int, servers map[string]int) int {
	total, largest := 0, 0
	for _, n := range servers {
		total += n
		largest = max(largest, n)
	}
	switch {
	case cells == 0 && total <= maxUndivided, total < minDivided:
		return 0
	case cells == 0:
		cells = 1
	}
	for largest > cells*maxCellServers {
		cells *= 2
	}
	for cells > 1 && largest < cells*minCellServers {
		cells /= 2
	}
	return cells
}
