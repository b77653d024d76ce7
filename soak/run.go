package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	startLimit = 30 * time.Second
	// requestInterval is the time between two requests to an entry.
	requestInterval  = 50 * time.Millisecond
	serversPerCentre = 2
	firstConfigLimit = 20 * time.Second
	configOrderLimit = 10 * time.Second
)

// soak is a running soak.
type soak struct {
	options  Options
	plan     Plan
	fleet    *fleet
	record   *recorder
	clients  *clients
	operator *operator
	logMu    sync.Mutex
	lines    []string
	began    time.Time
}

// Run carries out a plan and returns the report. It ends all processes that it started.
func Run(ctx context.Context, plan Plan, opts ...Option) (Report, error) {
	o := newOptions(opts...)
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return Report{}, err
	}
	defer os.RemoveAll(dir)
	s := &soak{options: o, plan: plan, record: newRecorder(plan.Configs), began: time.Now()}
	if s.fleet, err = newFleet(dir, o.Binary, o.Old, o.Shape, plan.Proxied, s.record); err != nil {
		return Report{}, err
	}
	s.clients = newClients(s.fleet, s.record)
	s.operator = &operator{fleet: s.fleet, record: s.record, log: s.logf}
	err = s.carryOut(ctx)
	s.record.ending()
	s.fleet.end()
	close(s.fleet.starts)
	if err != nil {
		return s.report(dir, true), err
	}
	return s.report(dir, false), nil
}

func (s *soak) logf(format string, args ...any) {
	s.logMu.Lock()
	defer s.logMu.Unlock()
	line := fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...)
	s.lines = append(s.lines, line)
	fmt.Fprintln(s.options.Progress, line)
}

// carryOut starts the fleet and follows the plan.
func (s *soak) carryOut(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, p := range s.fleet.all() {
		if err := s.fleet.start(p, true); err != nil {
			return err
		}
	}
	s.logf("links through proxies: %t", s.plan.Proxied)
	first := s.plan.Configs[0]
	body, err := first.encode()
	if err != nil {
		return err
	}
	if !s.operator.order(ctx, Step{Action: Configure, Version: first.Version}, body, firstConfigLimit) {
		return errors.New("the first configuration was not accepted")
	}
	s.clients.follow(first.Routes)
	for _, pool := range pools {
		for _, centre := range centres {
			for i := range serversPerCentre {
				id := fmt.Sprintf("%s-%s-%d", pool, centre, i+1)
				if _, err := startServer(ctx, id, pool, centre, s.fleet, s.record, &group, s.logf); err != nil {
					return err
				}
			}
		}
	}
	if err := s.fleet.awaitReady(startLimit); err != nil {
		return err
	}
	group.Go(func() { s.record.watchStalls(ctx) })
	for _, p := range s.fleet.entries {
		group.Go(func() { s.clients.ask(ctx, p, requestInterval) })
	}
	return s.follow(ctx, &group)
}

// follow carries out the steps at their times. Orders of a kind wait for each other.
func (s *soak) follow(ctx context.Context, group *sync.WaitGroup) error {
	begin := time.Now()
	configs, evacuations := make(chan Step, len(s.plan.Steps)), make(chan Step, len(s.plan.Steps))
	defer close(configs)
	defer close(evacuations)
	group.Go(func() { s.giveOrders(ctx, configs) })
	group.Go(func() { s.giveOrders(ctx, evacuations) })
	failed := make(chan error, len(s.plan.Steps))
	strikes := make(map[string]chan Step)
	for _, step := range s.plan.Steps {
		if err := wait(ctx, time.Until(begin.Add(step.At))); err != nil {
			return err
		}
		switch step.Action {
		case Configure:
			configs <- step
		case Evacuate, TakeBack:
			evacuations <- step
		default:
			if strikes[step.VM] == nil {
				queue := make(chan Step, len(s.plan.Steps))
				defer close(queue)
				strikes[step.VM] = queue
				group.Go(func() {
					for step := range queue {
						s.logf("%s %s", step.Action, step.VM)
						if err := s.fleet.strike(step); err != nil {
							failed <- errors.Wrapf(err, "%s %s", step.Action, step.VM)
						}
					}
				})
			}
			strikes[step.VM] <- step
		}
		select {
		case err := <-failed:
			return err
		default:
		}
	}
	return wait(ctx, time.Until(begin.Add(s.plan.Span)))
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.New("interrupted")
	case <-time.After(d):
		return nil
	}
}

func (s *soak) giveOrders(ctx context.Context, steps <-chan Step) {
	for step := range steps {
		if ctx.Err() != nil {
			return
		}
		if step.Action != Configure {
			s.operator.order(ctx, step, nil, orderLimit)
			continue
		}
		for _, c := range s.plan.Configs {
			if c.Version == step.Version {
				s.clients.follow(c.Routes)
				body, err := c.encode()
				if err != nil {
					s.logf("version %d: %s", c.Version, err)
					continue
				}
				s.operator.order(ctx, step, body, configOrderLimit)
			}
		}
	}
}

// report judges the record, and keeps the logs if a promise was broken or the run failed.
func (s *soak) report(dir string, failed bool) Report {
	record, ends := s.record.done()
	r := Report{
		Seed: s.plan.Seed, Span: s.plan.Span, Program: s.options.Binary, Requests: len(record.Requests), Runs: len(record.Runs),
		Orders: len(record.Orders), Faults: len(record.Faults), Stalls: len(record.Stalls), Broken: make(map[Rule]int), BrokenOld: make(map[Rule]int), Violations: Judge(record),
	}
	for _, q := range record.Requests {
		if q.Status == 200 {
			r.Served++
		}
	}
	for _, o := range record.Orders {
		if !o.Acked.IsZero() {
			r.Acked++
			if o.Action == Evacuate {
				r.Evacuated++
			}
		}
	}
	for _, vm := range ends {
		r.Violations = append(r.Violations, Violation{Rule: RuleStays, Entry: vm, Text: "a process ended by itself"})
	}
	for _, v := range r.Violations {
		r.Broken[v.Rule]++
		if v.Old {
			r.BrokenOld[v.Rule]++
		}
	}
	if s.options.Keep != "" && (failed || len(r.Violations) > 0) {
		r.Logs = filepath.Join(s.options.Keep, fmt.Sprintf("seed-%d-%s", s.plan.Seed, time.Now().Format("150405")))
		if err := s.keep(dir, r.Logs, record); err != nil {
			s.logf("keep logs: %s", err)
		}
	}
	return r
}

// keep copies logs, plan and record to a folder.
func (s *soak) keep(from, to string, record Record) error {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	logs, err := filepath.Glob(filepath.Join(from, "*.log"))
	if err != nil {
		return err
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(path)), text, 0o600); err != nil {
			return err
		}
	}
	for name, value := range map[string]any{"plan.json": s.plan, "record.json": record, "progress.json": s.lines} {
		text, err := json.Marshal(value)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(to, name), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
