package fleet

import (
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Condition is the state of a member as the failure detector sees it.
type Condition string

// Conditions of a member.
const (
	Alive   Condition = "alive"
	Suspect Condition = "suspect"
	Dead    Condition = "dead"
	Left    Condition = "left"
)

// conditionRanks orders the conditions within one incarnation: a higher rank
// overrides a lower one. Only the member itself can start a new incarnation.
var conditionRanks = map[Condition]uint64{Alive: 0, Suspect: 1, Dead: 2, Left: 3}

const conditionCount = 4

// Member describes an entry to the other entries.
type Member struct {
	VM         string
	Addr       string
	DataCentre string
	Condition  Condition
	// Boot and Incarnation order the records that the member publishes of itself.
	Boot        uint64
	Incarnation uint64
	// Draining is set while the member shuts down; it is assigned no new work.
	Draining bool
	// CutOff is set while the member reaches no backend servers by itself.
	CutOff bool
}

// Active reports whether the member is part of the fleet.
func (m Member) Active() bool { return m.Condition == Alive || m.Condition == Suspect }

// WithCondition returns a copy of the member with another condition.
func (m Member) WithCondition(c Condition) Member {
	m.Condition = c
	return m
}

// Eligible reports whether the member can be assigned work, such as leases.
func (m Member) Eligible() bool { return m.Condition == Alive && !m.Draining }

// WithDraining returns a copy of the member that is draining, in a new incarnation.
func (m Member) WithDraining() Member {
	m.Draining = true
	m.Incarnation++
	return m
}

// WithCutOff returns a copy of the member, in a new incarnation, that is cut off from the backend
// servers or no longer is.
func (m Member) WithCutOff(cutOff bool) Member {
	m.CutOff = cutOff
	m.Incarnation++
	return m
}

// item encodes the member as an item. The count combines incarnation and rank.
func (m Member) item() Item {
	body, _ := proto.Marshal(&wire.Member{Addr: m.Addr, DataCentre: m.DataCentre, State: string(m.Condition), Draining: m.Draining, CutOff: m.CutOff})
	count := m.Incarnation*conditionCount + conditionRanks[m.Condition]
	return Item{
		Key: Key{KindMember, m.VM}, Version: Version{m.Boot, count}, Body: body,
		Removed: m.Condition == Dead || m.Condition == Left,
	}
}

// decodeMember decodes a member. It reports false if the body is invalid or the
// condition does not match the version.
func decodeMember(i Item) (Member, bool) {
	var body wire.Member
	if proto.Unmarshal(i.Body, &body) != nil {
		return Member{}, false
	}
	m := Member{
		VM: i.Key.Name, Addr: body.GetAddr(), DataCentre: body.GetDataCentre(),
		Condition: Condition(body.GetState()),
		Boot:      i.Version.Boot, Incarnation: i.Version.Count / conditionCount, Draining: body.GetDraining(),
		CutOff: body.GetCutOff(),
	}
	rank, ok := conditionRanks[m.Condition]
	return m, ok && rank == i.Version.Count%conditionCount
}
