package ctrl

import (
	"testing"

	"github.com/matryer/is"
)

func TestLargePoolsAreDivided(t *testing.T) {
	is := is.New(t)
	spread := func(n, dataCentres int) map[string]int {
		servers := make(map[string]int)
		for i := range n {
			servers[string(rune('a'+i%dataCentres))]++
		}
		return servers
	}
	is.Equal(nextCells(0, spread(27, 3)), 0)
	is.Equal(nextCells(0, spread(174, 3)), 1)
	is.Equal(nextCells(0, spread(387, 5)), 1)
	is.Equal(nextCells(0, spread(1000, 3)), 4)
	is.Equal(nextCells(4, spread(40, 3)), 0)
	is.Equal(nextCells(0, nil), 0)
}

// Servers are replaced, added and taken away all the time. A division costs new holders, so
// that must not change it back and forth.
func TestDivisionsDoNotFollowSmallChanges(t *testing.T) {
	for _, start := range []int{60, 72, 128, 300, 1000} {
		is := is.New(t)
		cells, changes := nextCells(0, map[string]int{"a": start}), 0
		for i := range 200 {
			n := start + (i*37)%(start/5) - start/10
			if next := nextCells(cells, map[string]int{"a": n}); next != cells {
				cells = next
				changes++
			}
		}
		is.True(changes <= 1)
	}
}
