// Package gauge measures fleets on loopback: open-loop load, faults by seed and
// the figures that docs/CAPACITY.md and docs/DESIGN.md quote. It is for the
// project's people and is not part of the dottereldeal program.
//
// # Usage
//
//	go run ./cmd/gauge spread --entries 44
package gauge

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/conf"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is one measurement.
type subcommand struct {
	name    string
	summary string
	// settings declares the flags and returns the measurement.
	settings func(*conf.Set) func(out io.Writer) error
}

func subcommands() []subcommand {
	return []subcommand{
		{"spread", "time, bytes and processor time of tickets and control traffic", spreadCommand},
		{"added", "time that an entry adds to a request", addedCommand},
		{"policy", "gray failures, beside the baseline policy", policyCommand},
	}
}

// Main runs one measurement and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	if len(args) > 0 {
		for _, c := range subcommands() {
			if c.name == args[0] {
				return run(c, args[1:], out, errs)
			}
		}
	}
	fmt.Fprintln(errs, "gauge SUBCOMMAND [FLAGS]")
	for _, c := range subcommands() {
		fmt.Fprintf(errs, "  %-10s %s\n", c.name, c.summary)
	}
	return exitUsage
}

func run(c subcommand, args []string, out, errs io.Writer) int {
	set := conf.New(c.name)
	measure := c.settings(set)
	err := set.Parse(args)
	if errors.Is(err, conf.ErrHelp) {
		set.Usage(out)
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if err := measure(out); err != nil {
		fmt.Fprintln(errs, err)
		return exitFailed
	}
	return exitOK
}
