package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// loadInterval is the interval at which the holders of a pool's cells tell each other
	// their load, and loadTTL the time after which it is no longer used.
	loadInterval = 100 * time.Millisecond
	loadTTL      = time.Second
)

// CellLoad is the load of another cell of the pool.
type CellLoad struct {
	// VM holds the cell.
	VM string
	// FreeSlots are the free slots of servers that are likely to work, less the requests that
	// were sent there since.
	FreeSlots int
	// Wait is the time that a request would wait for a slot.
	Wait       time.Duration
	ReportedAt time.Time
}

// Destination is another cell that a request is left to, with its holder.
type Destination struct {
	Cell, VM string
}

// overflow finds the cell that can serve a request which its own cell cannot serve at once.
//
// The load it answers: callers are not spread over the data centres like the servers, a data
// centre loses its servers, or a pool is as good as full. A slot that is free in any cell must
// not stay idle while a request waits in another.
type overflow struct {
	cells map[string]CellLoad
	// random chooses among several cells. Many holders that all chose the one with the most
	// free slots would fill it at once.
	random func(n int) int
}

func newOverflow() *overflow {
	return &overflow{cells: make(map[string]CellLoad), random: rand.IntN}
}

// report records the load of a cell.
func (o *overflow) report(cell string, load CellLoad) { o.cells[cell] = load }

// withFreeSlot returns a cell with a free slot, by chance in proportion to them, and counts
// the request that is sent there.
func (o *overflow) withFreeSlot(now time.Time) (to Destination, ok bool) {
	total := 0
	names := o.current(now)
	for _, name := range names {
		total += max(0, o.cells[name].FreeSlots)
	}
	if total == 0 {
		return Destination{}, false
	}
	at := o.random(total)
	for _, name := range names {
		load := o.cells[name]
		if at -= max(0, load.FreeSlots); at < 0 {
			load.FreeSlots--
			o.cells[name] = load
			return Destination{name, load.VM}, true
		}
	}
	return Destination{}, false
}

// withShortestWait returns the cell in which a request waits for the shortest time, if that
// is below the limit.
func (o *overflow) withShortestWait(limit time.Duration, now time.Time) (to Destination, ok bool) {
	for _, name := range o.current(now) {
		if load := o.cells[name]; load.Wait < limit {
			to, limit, ok = Destination{name, load.VM}, load.Wait, true
		}
	}
	return to, ok
}

// leave leaves a request to another cell. It is still one of those that this cell sends on, of which
// the version on trial gets its share.
func (s *scheduler) leave(req Request, to Destination) Placement {
	s.versions.sent(req, nil)
	return Placement{Request: req, Forward: to}
}

// current returns the sorted names of the cells whose load is known, and forgets the others.
func (o *overflow) current(now time.Time) []string {
	if len(o.cells) == 0 {
		return nil
	}
	maps.DeleteFunc(o.cells, func(_ string, load CellLoad) bool { return now.Sub(load.ReportedAt) > loadTTL })
	return slices.Sorted(maps.Keys(o.cells))
}
