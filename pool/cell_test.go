package pool

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/state"
)

func TestCellsDivideAPoolByDataCentre(t *testing.T) {
	is := is.New(t)
	var servers []fleet.Target
	for i := range 90 {
		servers = append(servers, fleet.Target{Name: fmt.Sprint("s", i), Pool: "desk", DataCentre: fmt.Sprint("d", i%3)})
	}
	undivided := newPoolServers(servers, state.Division{}, "d1")
	is.Equal(undivided.names, []string{"desk"})
	is.Equal(undivided.homeCells("e1"), []string{"desk"})
	divided := newPoolServers(servers, state.Division{CellsPerDataCentre: 2}, "d1")
	is.Equal(len(divided.names), 6)
	is.Equal(divided.near, []string{"desk@d1.0", "desk@d1.1"})
	total := 0
	for cell, targets := range divided.cells {
		total += len(targets)
		is.Equal(LeaseDataCentre(LeaseName(cell)), targets[0].DataCentre)
		is.Equal(state.State{}.PoolOfCell(cell), "desk")
	}
	is.Equal(total, 90)
	homes := make(map[string]int)
	for i := range 40 {
		order := divided.homeCells(fmt.Sprint("e", i))
		is.Equal(len(order), 6)
		is.True(slices.Contains(divided.near, order[0]))
		homes[order[0]]++
	}
	is.Equal(len(homes), 2) // entries spread over the cells of their data centre
	is.Equal(LeaseDataCentre("w07"), "")
	is.Equal(LeaseDataCentre(LeaseName("desk")), "")
}
