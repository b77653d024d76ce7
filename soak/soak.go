// Package soak runs the real program as separate processes on loopback, injects faults that a seed
// decides, and checks promises by what clients, backend servers and the operator see. It is for
// the project's people and is not part of the dottereldeal program.
//
// # Usage
//
//	go run ./cmd/soak run --seed 7 --span 60s --binary target/dottereldeal
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/conf"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUsage  = 2
	exitNotRun = 3
)

// Main runs a soak and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	if len(args) == 0 || args[0] != "run" {
		fmt.Fprintln(errs, "soak run [FLAGS]")
		return exitUsage
	}
	set := conf.New("soak run")
	seed := set.Int("seed", "decides the schedule of changes and faults", 0, conf.Default("1"))
	span := set.Duration("span", "length of the schedule; its last series of faults may end later", conf.Default("60s"))
	binary := set.String("binary", "program to run", conf.Default("target/dottereldeal"))
	old := set.String("old", "program of another version, for --mix")
	mix := set.Bool("mix", "begin with the program of --old, replace it by the other one and go back")
	direct := set.Bool("direct", "no proxies between the processes, for versions whose control cannot advertise their address")
	controls := set.Int("controls", "control processes", 3, conf.Default("5"))
	entries := set.Int("entries", "entry processes", 3, conf.Default("9"))
	keep := set.String("keep", "folder that keeps logs and record of a run that broke a promise")
	report := set.String("report", "file for the report as JSON")
	if err := set.Parse(args[1:]); err != nil {
		if errors.Is(err, conf.ErrHelp) {
			set.Usage(out)
			return exitHeld
		}
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if *mix != (*old != "") {
		fmt.Fprintln(errs, "--mix and --old go together")
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	shape := Shape{Controls: *controls, Entries: *entries, Mix: *mix, Direct: *direct}
	r, err := Run(ctx, NewPlan(uint64(*seed), *span, shape), Binary(*binary), Old(*old), Processes(shape), Keep(*keep), Progress(errs))
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitNotRun
	}
	if *report != "" {
		text, err := json.MarshalIndent(r, "", "  ")
		if err == nil {
			err = os.WriteFile(*report, text, 0o600)
		}
		if err != nil {
			fmt.Fprintln(errs, err)
			return exitNotRun
		}
	}
	r.Print(out)
	if len(r.Violations) > 0 {
		return exitBroken
	}
	return exitHeld
}

// Report is the result of a run.
type Report struct {
	Seed     uint64        `json:"seed"`
	Span     time.Duration `json:"span"`
	Program  string        `json:"program"`
	Requests int           `json:"requests"`
	Served   int           `json:"served"`
	Runs     int           `json:"runs"`
	Orders   int           `json:"orders"`
	Acked    int           `json:"acked"`
	// Evacuated is the number of evacuations that were acknowledged.
	Evacuated int          `json:"evacuated"`
	Faults    int          `json:"faults"`
	Stalls    int          `json:"stalls"`
	Broken    map[Rule]int `json:"broken"`
	// BrokenOld is the part of Broken at entries of the other version.
	BrokenOld  map[Rule]int `json:"broken-old,omitempty"`
	Violations []Violation  `json:"violations"`
	Logs       string       `json:"logs,omitempty"`
}

const maxPrinted = 12

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %s: %d requests, %d answered 200, %d runs; %d of %d orders acknowledged; %d faults, %d stalls\n",
		r.Seed, r.Span, r.Requests, r.Served, r.Runs, r.Acked, r.Orders, r.Faults, r.Stalls)
	for i, v := range r.Violations {
		if i == maxPrinted {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		version := ""
		if v.Old {
			version = " of the other version"
		}
		fmt.Fprintf(w, "  %s %s%s: %s\n", v.Rule, v.Entry, version, v.Text)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "held")
		return
	}
	fmt.Fprintln(w, "broken:", r.Broken)
	if len(r.BrokenOld) > 0 {
		fmt.Fprintln(w, "of these at entries of the other version:", r.BrokenOld)
	}
	if r.Logs != "" {
		fmt.Fprintln(w, "logs:", r.Logs)
	}
}
