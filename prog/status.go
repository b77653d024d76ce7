package prog

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/sched"
)

// processStatus is the answer of any process to /v1/status.
type processStatus struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	// Control VMs only.
	Role     string `json:"role"`
	Term     uint64 `json:"term"`
	Leader   string `json:"leader"`
	State    uint64 `json:"state-index"`
	Replicas []struct {
		VM      string `json:"vm"`
		Learner bool   `json:"learner"`
		Match   uint64 `json:"match"`
	} `json:"replicas"`
	Entries []struct {
		VM      string  `json:"vm"`
		Index   uint64  `json:"index"`
		Serving bool    `json:"serving"`
		Silent  float64 `json:"silent-seconds"`
	} `json:"entries"`
	Centres []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"data-centres"`
	Voters []string `json:"lease-voters"`
	// Entries only.
	Serving bool   `json:"serving"`
	Reason  string `json:"reason"`
	CutOff  bool   `json:"cut-off"`
	Pools   []struct {
		Pool    string   `json:"pool"`
		Warm    int      `json:"warm"`
		Cold    int      `json:"cold"`
		Leaving int      `json:"leaving"`
		Out     int      `json:"out"`
		Ejected []string `json:"ejected"`
		Ramping []string `json:"ramping"`
		Floor   float64  `json:"floor"`
		// Queues are those of the cells that the entry holds, by cell.
		Queues map[string]sched.QueueStatus `json:"queues"`
	} `json:"pools"`
}

// silentEntry is the seconds of silence after which an entry is worth a look.
const silentEntry = 5.0

func statusCommand(set *conf.Set) runner {
	settings := newDeskSettings(set)
	asJSON := set.Bool("json", "print the processes' answers, one a line")
	return func(set *conf.Set, s streams) int {
		d := settings.open(set, "")
		if unusable(set, s) {
			return exitUsage
		}
		r := &statusReport{streams: s, colour: onTerminal(s)}
		r.gather(d, *asJSON)
		if !*asJSON {
			r.print()
		}
		if r.trouble {
			return exitFailed
		}
		return exitOK
	}
}

// onTerminal reports whether the output goes to a terminal.
func onTerminal(s streams) bool {
	file, ok := s.out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// statusReport is what a person needs first.
type statusReport struct {
	streams  streams
	colour   bool
	trouble  bool
	controls []processStatus
	entries  []processStatus
	silent   []string
}

func (r *statusReport) gather(d *desk, asJSON bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, addr := range d.addrs {
		answered, err := d.ask(ctx, addr, http.MethodGet, "/v1/status", nil)
		if err != nil {
			r.trouble = true
			r.silent = append(r.silent, fmt.Sprintf("%s: %s", addr, err))
			continue
		}
		if asJSON {
			r.streams.out.Write(answered.body)
		}
		one, err := decode[processStatus](answered)
		switch {
		case err != nil:
			r.silent = append(r.silent, fmt.Sprintf("%s: %s", addr, err))
		case one.Role != "":
			r.controls = append(r.controls, one)
		default:
			r.entries = append(r.entries, one)
		}
	}
}

func (r *statusReport) line(bad bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	mark := "ok  "
	if bad {
		r.trouble = true
		mark = "LOOK"
		if r.colour {
			mark = "\x1b[31mLOOK\x1b[0m"
		}
	}
	fmt.Fprintln(r.streams.out, mark, text)
}

func (r *statusReport) print() {
	for _, text := range r.silent {
		r.line(true, "no answer from %s", text)
	}
	r.printControl()
	r.printPools()
	for _, e := range r.entries {
		if !e.Serving {
			r.line(true, "entry %s does not serve: %s", e.VM, e.Reason)
		}
		if e.CutOff {
			r.line(true, "entry %s is cut off from the backend servers and connects through others", e.VM)
		}
	}
}

// printControl prints quorum, leader, entries and data centres as the leader
// sees them, or else the newest replica.
func (r *statusReport) printControl() {
	if len(r.controls) == 0 {
		return
	}
	best := slices.MaxFunc(r.controls, func(a, b processStatus) int {
		if (a.Role == "leader") != (b.Role == "leader") {
			if a.Role == "leader" {
				return 1
			}
			return -1
		}
		return int(a.Term) - int(b.Term)
	})
	var replicas []string
	learners := 0
	for _, one := range best.Replicas {
		replicas = append(replicas, one.VM)
		if one.Learner {
			learners++
		}
	}
	r.line(best.Leader == "", "control: leader %q, term %d, state index %d, replicas %s, %d learners",
		best.Leader, best.Term, best.State, strings.Join(replicas, " "), learners)
	r.line(len(best.Voters) == 0, "lease voters: %s", strings.Join(best.Voters, " "))
	r.printEntries(best)
	for _, d := range best.Centres {
		r.line(false, "data centre %s: %s", d.Name, d.State)
	}
}

func (r *statusReport) printEntries(leader processStatus) {
	if leader.Role != "leader" {
		return
	}
	serving := 0
	for _, e := range leader.Entries {
		if e.Serving && e.Silent < silentEntry {
			serving++
		}
	}
	r.line(serving < len(leader.Entries), "entries: %d of %d serve", serving, len(leader.Entries))
	for _, e := range leader.Entries {
		switch {
		case e.Silent >= silentEntry:
			r.line(true, "entry %s: silent for %.0f s", e.VM, e.Silent)
		case e.Index < leader.State:
			r.line(true, "entry %s: at state index %d", e.VM, e.Index)
		case !e.Serving:
			r.line(true, "entry %s: does not serve", e.VM)
		}
	}
}

// printPools prints the pools as the first entry sees them.
func (r *statusReport) printPools() {
	if len(r.entries) == 0 {
		return
	}
	for _, p := range r.entries[0].Pools {
		eligible := p.Warm + p.Cold
		atFloor := len(p.Ejected) > 0 && len(p.Ejected) >= health.MaxEjected(eligible, p.Floor)
		r.line(atFloor || eligible == 0, "pool %s: %d warm, %d cold, %d leaving, %d in data centres that are out; ejected [%s], ramping [%s], floor %.0f%%",
			p.Pool, p.Warm, p.Cold, p.Leaving, p.Out, strings.Join(p.Ejected, " "), strings.Join(p.Ramping, " "), 100*p.Floor)
	}
	for _, e := range r.entries {
		for _, p := range e.Pools {
			for _, cell := range slices.Sorted(maps.Keys(p.Queues)) {
				r.printQueue(cell, e.VM, p.Queues[cell])
			}
		}
	}
}

// printQueue prints what waits in a cell, by rank, and the work of its routes.
func (r *statusReport) printQueue(cell, holder string, q sched.QueueStatus) {
	var waiting, routes []string
	for _, rank := range slices.Sorted(maps.Keys(q.Waiting)) {
		waiting = append(waiting, fmt.Sprintf("%d of rank %d", q.Waiting[rank], rank))
	}
	for _, route := range q.Routes {
		routes = append(routes, fmt.Sprintf("%s %s (likely %s)", route.Route, route.Mean.Round(time.Millisecond), route.Likely.Round(time.Millisecond)))
	}
	r.line(false, "queue %s, held by %s: waiting [%s], %d of them late, %.1f s of work for %.0f slots; displaced %d, expected back %d; work [%s]",
		cell, holder, strings.Join(waiting, ", "), q.Late, q.Seconds, q.Slots, q.Displaced, q.Booked, strings.Join(routes, ", "))
}
