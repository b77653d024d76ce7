package fleet

import (
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Condition is what the fleet believes of a member.
type Condition string

// The conditions of a member.
const (
	Alive   Condition = "alive"
	Suspect Condition = "suspect"
	Dead    Condition = "dead"
	Left    Condition = "left"
)

// conditionRanks orders the conditions of one incarnation: a later one replaces
// an earlier one, and only the member itself starts a new incarnation.
var conditionRanks = map[Condition]uint64{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

// ranksPerIncarnation is the number of conditions.
const ranksPerIncarnation = 4

// Member is one entry as the others know it.
type Member struct {
	VM         string
	Addr       string
	DataCentre string
	Condition  Condition
	// Boot and Incarnation order the member's own statements.
	Boot        uint64
	Incarnation uint64
	// Draining says that the member is about to stop and takes no new duties.
	Draining bool
}

// Active reports whether the member takes part in the fleet.
func (m Member) Active() bool { return m.Condition == Alive || m.Condition == Suspect }

// WithCondition returns the member in another condition.
func (m Member) WithCondition(c Condition) Member {
	m.Condition = c
	return m
}

// Eligible reports whether the member can take duties for the fleet.
func (m Member) Eligible() bool { return m.Condition == Alive && !m.Draining }

// WithDraining returns the member as one that is about to stop, in a new incarnation.
func (m Member) WithDraining() Member {
	m.Draining = true
	m.Incarnation++
	return m
}

// item returns the member as an item.
func (m Member) item() Item {
	body, _ := proto.Marshal(&wire.Member{Addr: m.Addr, DataCentre: m.DataCentre, State: string(m.Condition), Draining: m.Draining})
	count := m.Incarnation*ranksPerIncarnation + conditionRanks[m.Condition]
	return Item{
		Key: Key{KindMember, m.VM}, Version: Version{m.Boot, count}, Body: body,
		Removed: m.Condition == Dead || m.Condition == Left,
	}
}

// memberOf reads a member, and reports false if it makes no sense.
func memberOf(i Item) (Member, bool) {
	var body wire.Member
	if proto.Unmarshal(i.Body, &body) != nil {
		return Member{}, false
	}
	m := Member{
		VM: i.Key.Name, Addr: body.GetAddr(), DataCentre: body.GetDataCentre(),
		Condition: Condition(body.GetState()),
		Boot:      i.Version.Boot, Incarnation: i.Version.Count / ranksPerIncarnation, Draining: body.GetDraining(),
	}
	rank, ok := conditionRanks[m.Condition]
	return m, ok && rank == i.Version.Count%ranksPerIncarnation
}
