package entry

import (
	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/state"
)

// memberStatus is one entry in the status response.
type memberStatus struct {
	VM         string          `json:"vm"`
	DataCentre string          `json:"data-centre"`
	Condition  fleet.Condition `json:"condition"`
}

// poolStatus is one pool in the status response.
type poolStatus struct {
	Pool    string `json:"pool"`
	Warm    int    `json:"warm"`
	Cold    int    `json:"cold"`
	Leaving int    `json:"leaving"`
	Out     int    `json:"out"`
	// Ejected names the backend servers that receive no requests, Ramping those that
	// receive requests only with a permit.
	Ejected []string `json:"ejected,omitempty"`
	Ramping []string `json:"ramping,omitempty"`
	Floor   float64  `json:"floor"`
	// Queues are those of the cells that this VM holds, if requests wait by their work.
	Queues map[string]sched.QueueStatus `json:"queues,omitempty"`
}

// statusResponse is the response to GET /v1/status.
type statusResponse struct {
	VM         string         `json:"vm"`
	DataCentre string         `json:"data-centre"`
	Serving    bool           `json:"serving"`
	Reason     string         `json:"reason,omitempty"`
	State      uint64         `json:"state-index"`
	InFlight   int            `json:"in-flight"`
	Leases     int            `json:"leases"`
	Members    []memberStatus `json:"members"`
	Neighbours []string       `json:"neighbours"`
	Pools      []poolStatus   `json:"pools"`
	Links      link.Stats     `json:"links"`
	// Gossip is what this VM has sent to other entries, by kind of item.
	Gossip map[fleet.Kind]fleet.ItemTraffic `json:"gossip"`
	// CutOff is set while this VM reaches no backend servers by itself. Tunnels counts its
	// connections through each other entry, Relayed those of others through this one.
	CutOff  bool           `json:"cut-off"`
	Tunnels map[string]int `json:"tunnels,omitempty"`
	Relayed int            `json:"relayed"`
}

func (e *Entry) adminOptions() []admin.Option {
	return []admin.Option{
		admin.Ready(e.Ready),
		admin.Status(func() any { return e.status() }),
		admin.EventLog(e.options.EventLog),
		admin.Meter(e.options.Meter),
		admin.Handle("GET /v1/quarantine", e.listQuarantine),
		admin.Handle("DELETE /v1/quarantine/{print}", e.releaseRequest),
	}
}

func (e *Entry) status() statusResponse {
	response := statusResponse{
		VM: e.options.VM, DataCentre: e.options.DataCentre, Serving: true,
		Leases: len(e.leases.HeldNames()),
		State:  e.State().Index(), InFlight: e.proxy.InFlight(),
		Neighbours: e.fleet.Neighbours(), Links: e.link.Stats(), Gossip: e.fleet.Traffic(), CutOff: e.relay.CutOff(),
	}
	response.Tunnels, response.Relayed = e.relay.Relays()
	if err := e.Ready(); err != nil {
		response.Serving, response.Reason = false, err.Error()
	}
	for _, m := range e.fleet.Members() {
		response.Members = append(response.Members, memberStatus{VM: m.VM, DataCentre: m.DataCentre, Condition: m.Condition})
	}
	directory := e.fleet.Directory()
	for _, name := range directory.Pools() {
		response.Pools = append(response.Pools, e.poolStatus(name, directory.Pool(name)))
	}
	return response
}

func (e *Entry) poolStatus(name string, targets []fleet.Target) poolStatus {
	p := poolStatus{Pool: name}
	s := e.State()
	p.Ejected, p.Ramping = e.pools.Status(name)
	p.Queues = e.pools.Queues(name)
	settings, _ := state.Get[state.Pool](s, name)
	p.Floor = settings.Floor
	for _, t := range targets {
		switch {
		case s.IsDataCentreOut(t.DataCentre):
			p.Out++
		case t.Phase == fleet.Leaving:
			p.Leaving++
		case t.Phase == fleet.Cold:
			p.Cold++
		default:
			p.Warm++
		}
	}
	return p
}

// MemberCount returns the number of entries in the fleet, including this one.
func (e *Entry) MemberCount() int { return len(e.fleet.Members()) }

// recentMemberCount returns the number of entries among which the tolerated excess of a
// rate is divided when the holder of its shard cannot be reached: the highest recent
// number, or 0 while this VM has not discovered the other entries yet.
func (e *Entry) recentMemberCount() int {
	return e.entryCounter.count(e.MemberCount(), e.options.Clock.Now())
}

func countEligible(members []fleet.Member) int {
	n := 0
	for _, m := range members {
		if m.Eligible() {
			n++
		}
	}
	return n
}

// liveMemberCount returns the number of entries that are alive, including this one.
func (e *Entry) liveMemberCount() int {
	e.liveMu.Lock()
	defer e.liveMu.Unlock()
	return e.liveCount.Of(e.fleet.Members())
}

// Links returns the links of this process.
func (e *Entry) Links() link.Transport { return e.link }

// HoldsLease reports whether this VM holds a lease.
func (e *Entry) HoldsLease(name string) bool {
	_, held := e.leases.Held(name)
	return held
}

// HeldLeases returns the names of the leases that this VM holds.
func (e *Entry) HeldLeases() []string { return e.leases.HeldNames() }
