package entry

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/fresh"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/wire"
)

// leaderItem is the name of the item that carries the control leader's beacon.
const leaderItem = "leader"

// voucher passes on signs that the configuration is the newest: the control
// leader's beacons and, on a lease voter, this VM's own.
type voucher struct {
	entry *Entry
	boot  uint64

	mu      sync.Mutex
	fresh   *fresh.Tracker
	count   uint64
	vouched bool
	served  error
}

func newVoucher(e *Entry) *voucher {
	v := &voucher{entry: e, fresh: fresh.New(), boot: uint64(e.options.Clock.Now().UnixNano())}
	e.fleet.Watch(fleet.KindBeacon, v.heardBeacon)
	e.fleet.Watch(fleet.KindVoter, v.heardVoter)
	return v
}

// heardControl passes on a beacon that came from a control VM.
func (v *voucher) heardControl(b *wire.Beacon) {
	if b == nil {
		return
	}
	body, err := proto.Marshal(b)
	if err != nil {
		return
	}
	v.entry.fleet.Put(fleet.Item{
		Key:     fleet.Key{Kind: fleet.KindBeacon, Name: leaderItem},
		Version: fleet.Version{Boot: b.GetTerm(), Count: b.GetSeq()},
		Body:    body,
	})
}

func (v *voucher) heardBeacon(item fleet.Item) {
	var b wire.Beacon
	if proto.Unmarshal(item.Body, &b) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fresh.ObserveLeader(item.Version.Boot, item.Version.Count, b.GetIndex(), v.entry.options.Clock.Now())
}

func (v *voucher) heardVoter(item fleet.Item) {
	var b wire.VoterBeat
	if proto.Unmarshal(item.Body, &b) != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if item.Key.Name == v.entry.options.VM && item.Version.Boot > v.boot {
		// This VM's wall clock has gone back since its last start.
		v.boot = item.Version.Boot + 1
	}
	v.fresh.ObserveVoter(item.Key.Name, item.Version.Boot, item.Version.Count, b.GetIndex(), v.entry.options.Clock.Now())
}

// serving returns why this VM must not serve by a state, or nil.
func (v *voucher) serving(s state.State, now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fresh.CheckServing(s.Index(), s.Electors(), now)
}

// unled reports whether no control leader has been heard since the start.
func (v *voucher) unled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.fresh.LeaderEverSeen()
}

// tick gives this VM's own sign if it is a lease voter and no control leader is
// heard, and notes when serving stops and resumes.
func (v *voucher) tick(now time.Time) {
	s := v.entry.State()
	if v.mayVouch(s, now) {
		v.giveSign(s)
	}
	err := v.entry.Ready()
	v.mu.Lock()
	changed := (err == nil) != (v.served == nil)
	v.served = err
	v.mu.Unlock()
	if !changed {
		return
	}
	if err != nil {
		v.entry.options.Line.Record(event.ServingStopped, "", err.Error())
		return
	}
	v.entry.options.Line.Record(event.ServingResumed, "", "")
}

func (v *voucher) mayVouch(s state.State, now time.Time) bool {
	self, voters := v.entry.options.VM, s.Electors()
	if !slices.Contains(voters, self) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.vouched {
		v.vouched = v.fresh.MaySendHeartbeats(self, s.Index(), voters, now)
	}
	return v.vouched && v.fresh.HeartbeatDue(now)
}

func (v *voucher) giveSign(s state.State) {
	body, err := proto.Marshal(&wire.VoterBeat{Index: s.Index()})
	if err != nil {
		return
	}
	v.mu.Lock()
	v.count++
	version := fleet.Version{Boot: v.boot, Count: v.count}
	v.mu.Unlock()
	v.entry.fleet.Put(fleet.Item{
		Key: fleet.Key{Kind: fleet.KindVoter, Name: v.entry.options.VM}, Version: version, Body: body,
	})
}
