package lease

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
)

// Guards against work for each pair of entries: the list of the live ones was built ten times a second.
func TestLiveMembersAreListedOncePerChange(t *testing.T) {
	is := is.New(t)
	members := make([]fleet.Member, 440)
	for i := range members {
		members[i] = fleet.Member{VM: fmt.Sprintf("e%03d", i), DataCentre: "d1", Condition: fleet.Alive, Boot: 1}
	}
	m := &Manager{members: func() []fleet.Member { return members }}
	is.Equal(len(m.currentMembers().vms), 440)
	is.Equal(testing.AllocsPerRun(100, func() { m.currentMembers() }), 0.0)
	members = append([]fleet.Member{}, members[1:]...)
	is.Equal(len(m.currentMembers().vms), 439)
}
