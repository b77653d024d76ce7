// Command rig plays the script cases of the review. It starts the project's own programs with the
// commands of the deploy file, on loopback addresses, next to stand-ins for the platform, the
// operator, the targets and the clients, and checks one rule of the users' pages.
//
// # Usage
//
//	rig -root . -record review/2/record.txt evacuation
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// play is a running case.
type play struct {
	fleet   *fleet
	targets []*target
	record  *record
	// trouble is false if the disruption is left out.
	trouble bool
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*play) (verdict, error){
	"evacuation":   evacuation,
	"deregister":   deregister,
	"crashing":     crashing,
	"founding":     founding,
	"crashing-now": crashingNow,
}

func main() {
	os.Exit(run())
}

func run() int {
	root := flag.String("root", ".", "root of the project")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	playCase, known := cases[flag.Arg(0)]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitNotRun
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &play{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	if p.fleet, err = newFleet(*root, 5, 6, r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := playCase(p)
		done <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	out := result{err: fmt.Errorf("the case took longer than %s", limit)}
	select {
	case out = <-done:
	case <-time.After(limit):
	case <-interrupted:
		out.err = fmt.Errorf("interrupted")
	}
	p.fleet.stop()
	switch {
	case out.err != nil:
		r.logf("the case could not run: %s", out.err)
		fmt.Println("could not run:", out.err)
		return exitNotRun
	case out.verdict.broken:
		r.logf("BROKEN: %s", out.verdict.text)
		fmt.Println("broken:", out.verdict.text)
		return exitBroken
	default:
		r.logf("held: %s", out.verdict.text)
		fmt.Println("held:", out.verdict.text)
		return exitHeld
	}
}

// serviceSpec says how many targets a service has, how many requests each runs at a time, and for how
// long.
type serviceSpec struct {
	name    string
	targets int
	slots   int
	work    time.Duration
}

// begin starts the system and the targets, sends the configuration and waits until all entries are
// ready and the targets are registered.
func (p *play) begin(config string, services ...serviceSpec) error {
	if err := p.fleet.start(); err != nil {
		return err
	}
	nodes := func() []string {
		var list []string
		for _, m := range p.fleet.controls {
			list = append(list, p.fleet.addr(m, "control"))
		}
		return list
	}
	op := operator{p.fleet, p.record}
	if _, err := op.order(names.Configure, config, nil, 20*time.Second); err != nil {
		return err
	}
	n := 0
	for _, s := range services {
		for i := range s.targets {
			n++
			t := &target{
				id: fmt.Sprintf("i-%s-%d", s.name, i+1), service: s.name, zone: zones[i%len(zones)],
				addr: fmt.Sprintf("%s.40.%d:0", p.fleet.base, n), slots: s.slots, work: s.work,
				registry: nodes, record: p.record,
			}
			if err := t.start(); err != nil {
				return err
			}
			p.targets = append(p.targets, t)
		}
	}
	if err := p.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // a new core and new targets settle
	return nil
}

// follower returns a control machine that does not lead.
func (p *play) follower() (*machine, *machine, error) {
	leader, err := p.fleet.leader()
	if err != nil {
		return nil, nil, err
	}
	for i, m := range p.fleet.controls {
		if m != leader {
			for _, other := range p.fleet.controls[i+1:] {
				if other != leader {
					return m, other, nil
				}
			}
		}
	}
	return nil, nil, fmt.Errorf("no follower")
}

// freeze stops the process of a machine for a time.
func (p *play) freeze(m *machine) {
	if p.trouble {
		p.fleet.signal(m, syscall.SIGSTOP)
	}
}

// thaw lets it go on.
func (p *play) thaw(m *machine) {
	if p.trouble {
		p.fleet.signal(m, syscall.SIGCONT)
	}
}
