package entry

import (
	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/state"
)

// memberStatus is one entry in the status answer.
type memberStatus struct {
	VM         string          `json:"vm"`
	DataCentre string          `json:"data-centre"`
	Condition  fleet.Condition `json:"condition"`
}

// poolStatus is one pool in the status answer.
type poolStatus struct {
	Pool    string `json:"pool"`
	Warm    int    `json:"warm"`
	Cold    int    `json:"cold"`
	Leaving int    `json:"leaving"`
	Out     int    `json:"out"`
	// Ejected and Ramping name the backend servers that get no work, and those
	// that need a permit.
	Ejected []string `json:"ejected,omitempty"`
	Ramping []string `json:"ramping,omitempty"`
	Floor   float64  `json:"floor"`
}

// statusAnswer is the answer of /v1/status.
type statusAnswer struct {
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
}

func (e *Entry) adminOptions() []admin.Option {
	return []admin.Option{
		admin.Ready(e.Ready),
		admin.Status(func() any { return e.status() }),
		admin.Line(e.options.Line),
		admin.Meter(e.options.Meter),
	}
}

func (e *Entry) status() statusAnswer {
	answer := statusAnswer{
		VM: e.options.VM, DataCentre: e.options.DataCentre, Serving: true,
		Leases: len(e.leases.HeldNames()),
		State:  e.State().Index(), InFlight: e.proxy.InFlight(),
		Neighbours: e.fleet.Neighbours(), Links: e.link.Stats(),
	}
	if err := e.Ready(); err != nil {
		answer.Serving, answer.Reason = false, err.Error()
	}
	for _, m := range e.fleet.Members() {
		answer.Members = append(answer.Members, memberStatus{VM: m.VM, DataCentre: m.DataCentre, Condition: m.Condition})
	}
	directory := e.fleet.Directory()
	for _, name := range directory.Pools() {
		answer.Pools = append(answer.Pools, e.poolStatus(name, directory.Pool(name)))
	}
	return answer
}

func (e *Entry) poolStatus(name string, targets []fleet.Target) poolStatus {
	p := poolStatus{Pool: name}
	s := e.State()
	p.Ejected, p.Ramping = e.pools.Status(name)
	settings, _ := state.Get[state.Pool](s, name)
	p.Floor = settings.Floor
	for _, t := range targets {
		switch {
		case s.Out(t.DataCentre):
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

// MemberCount returns the number of entries that take part, this one included.
func (e *Entry) MemberCount() int { return len(e.fleet.Members()) }

// settledCount returns the number of entries that share what one of them has to do
// alone: the most that were known lately, or 0 while this VM has only just begun to
// learn of the others.
func (e *Entry) settledCount() int {
	return e.crowd.count(e.MemberCount(), e.options.Clock.Now())
}

// fitCount returns the number of entries that are heard now, this one included.
func (e *Entry) fitCount() int {
	n := 0
	for _, m := range e.fleet.Members() {
		if m.Fit() {
			n++
		}
	}
	return n
}

// Links returns the links of the process.
func (e *Entry) Links() link.Link { return e.link }

// HoldsLease reports whether this VM holds a lease.
func (e *Entry) HoldsLease(name string) bool {
	_, held := e.leases.Held(name)
	return held
}

// HeldLeases returns the names of the leases that this VM holds.
func (e *Entry) HeldLeases() []string { return e.leases.HeldNames() }
