package gauge

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	policyTimeout = 5 * time.Minute
	// serviceSigma is the spread of the log-normal service time.
	serviceSigma = 0.8
	// rateRoom is how far above its offered load a workspace's rate is.
	rateRoom = 1.5
	recovery = 7 * time.Second
	// overloadFactor multiplies the offered load in the fault "overload".
	overloadFactor = 2.0
)

// policyRun is one fleet under one policy.
type policyRun struct {
	shape   shape
	policy  string
	seed    uint64
	random  *rand.Rand
	fleet   *local.Fleet
	targets []*fake.Server
	number  uint64
	callers *callers
}

func runPolicy(s shape, policy string, seed uint64, span time.Duration, faults []string) ([]policyResult, error) {
	folder, err := os.MkdirTemp("", "gauge-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), policyTimeout)
	defer cancel()
	r := &policyRun{shape: s, policy: policy, seed: seed, random: rand.New(rand.NewPCG(seed, 11))}
	defer r.stop()
	if err := r.start(ctx, folder); err != nil {
		return nil, err
	}
	var results []policyResult
	for _, fault := range faults {
		result, err := r.measure(ctx, fault, span)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (r *policyRun) stop() {
	for _, t := range r.targets {
		t.Stop()
	}
	if r.fleet != nil {
		r.fleet.Stop()
	}
}

func (r *policyRun) start(ctx context.Context, folder string) error {
	var err error
	r.fleet, err = local.Start(
		local.Controls(3), local.Entries(r.shape.entries, r.shape.centres...), local.Folder(folder),
		local.EntryOptions(entry.RoundRobin(r.policy == "baseline")),
	)
	if err != nil {
		return err
	}
	for i := range r.shape.targets {
		if err := r.startTarget(fmt.Sprintf("b%02d", i), "main", i); err != nil {
			return err
		}
	}
	if err := r.apply(ctx, r.ticket()); err != nil {
		return err
	}
	r.callers = newCallers(r.fleet, r.shape, r.random)
	return r.awaitService(ctx)
}

func (r *policyRun) startTarget(name, pool string, i int) error {
	mean := math.Log(r.shape.service.Seconds()) - serviceSigma*serviceSigma/2
	t, err := fake.New(
		fake.Name(name), fake.Pool(pool), fake.DataCentre(r.shape.centres[i%len(r.shape.centres)]),
		fake.AnnounceURLs(r.fleet.AnnounceURLs()...), fake.Slots(r.shape.slots, 64),
		fake.ServiceTime(func() time.Duration {
			return time.Duration(math.Exp(mean+serviceSigma*rand.NormFloat64()) * float64(time.Second))
		}),
	)
	if err == nil {
		r.targets = append(r.targets, t)
	}
	return err
}

// ticket returns workspaces of unequal size, one pool and two routes.
func (r *policyRun) ticket() string {
	var b strings.Builder
	b.WriteString("workspaces:\n")
	for i, share := range r.shape.shares() {
		rate := share * r.shape.offered() * rateRoom
		fmt.Fprintf(&b, "  - {name: w%d, rate: %.0f, burst: %.0f, key-digests: [%q]}\n", i, rate, rate, state.HashKey(workspaceKey(i)))
	}
	b.WriteString("pools: [{name: main, floor: 0.6}]\nroutes:\n")
	b.WriteString("  - {name: status, path-prefix: /status/, pool: main, idempotent: true, deadline: 1s}\n")
	b.WriteString("  - {name: decisions, path-prefix: /decisions/, methods: [POST], pool: main, deadline: 1s}\n")
	return b.String()
}

// shares returns the part of the load of each workspace: a few are large.
func (s shape) shares() []float64 {
	shares := make([]float64, s.workspaces)
	total := 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

func workspaceKey(i int) string { return fmt.Sprintf("key of workspace %d", i) }

func (r *policyRun) apply(ctx context.Context, body string) error {
	r.number++
	answer, err := r.fleet.ApplyTicket(ctx, r.number, fmt.Sprintf("number: %d\n%s", r.number, body))
	if err == nil && answer.Verdict != "accepted" {
		err = errors.Errorf("ticket %d: %s %v", r.number, answer.Verdict, answer.Findings)
	}
	return err
}

// awaitService waits until every entry serves every workspace.
func (r *policyRun) awaitService(ctx context.Context) error {
	for _, e := range r.fleet.Entries {
		for e.TargetCount() < len(r.targets) || !r.callers.works(ctx, e) {
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "fleet does not serve")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

// measure runs load without and with a fault.
func (r *policyRun) measure(ctx context.Context, fault string, span time.Duration) (policyResult, error) {
	result := policyResult{Shape: r.shape.name, Policy: r.policy, Fault: fault, Seed: r.seed, Detection: -1}
	time.Sleep(recovery)
	r.callers.run(ctx, time.Second, 1) // warms connections up
	sent, began := r.sentBytes(), time.Now()
	healthy := r.callers.run(ctx, span, 1)
	result.Control = float64(r.sentBytes()-sent) / time.Since(began).Seconds() / float64(len(r.fleet.Entries)) / 1e3
	victim := r.targets[r.random.IntN(len(r.targets))]
	events := r.ejections()
	factor := 1.0
	var undo func() error
	switch fault {
	case "hang":
		victim.SetFault(fake.Fault{Hang: true})
	case "refuse":
		victim.SetFault(fake.Fault{Refuse: true})
	case "slow":
		victim.SetFault(fake.Fault{SlowFactor: 5})
	case "errors":
		victim.SetFault(fake.Fault{ErrorRate: 0.2})
	case "overload":
		factor = overloadFactor
	case "centre":
		factor = 0.6 // what the other data centres can carry
		if err := r.apply(ctx, fmt.Sprintf("data-centres: [{name: %s, state: out}]\n", r.shape.centres[0])); err != nil {
			return result, err
		}
		undo = func() error {
			return r.apply(ctx, fmt.Sprintf("data-centres: [{name: %s, state: in}]\n", r.shape.centres[0]))
		}
	}
	watch := watchTraffic(victim, r.shape)
	faulty := r.callers.run(ctx, span, factor)
	result.Detection = watch()
	victim.SetFault(fake.Fault{})
	if undo != nil {
		if err := undo(); err != nil {
			return result, err
		}
	}
	sick := fault == "hang" || fault == "refuse" || fault == "slow" || fault == "errors"
	result.False = r.ejections().falseOnes(events, victim.Name(), sick)
	result.Healthy, result.Faulty, result.Worst = healthy.goodput(), faulty.goodput(), faulty.worst()
	result.RefusedInRate = healthy.refusedShare()
	result.P50, result.P99 = healthy.percentile(0.5), healthy.percentile(0.99)
	return result, nil
}

// sentBytes returns what all entries have sent to other processes.
func (r *policyRun) sentBytes() uint64 {
	var n uint64
	for _, e := range r.fleet.Entries {
		n += e.Links().Stats().SentBytes
	}
	return n
}

// ejected is one ejection of a target, with its reason.
type ejected struct {
	target, detail string
}

// ejectionLog is the ejections so far, by all entries.
type ejectionLog []ejected

func (r *policyRun) ejections() ejectionLog {
	var log ejectionLog
	for _, e := range r.fleet.Entries {
		events, _ := e.EventLog.Since(0)
		for _, one := range events {
			if one.Kind == event.Ejected {
				log = append(log, ejected{one.Object, one.Detail})
			}
		}
	}
	return log
}

// falseOnes returns the ejections since an earlier log that hit healthy targets.
func (l ejectionLog) falseOnes(before ejectionLog, victim string, sick bool) []string {
	count := make(map[ejected]int)
	for _, e := range l {
		count[e]++
	}
	for _, e := range before {
		count[e]--
	}
	var list []string
	for e, times := range count {
		if e.target == victim && sick {
			continue
		}
		for range times {
			list = append(list, e.target+" "+e.detail)
		}
	}
	return list
}

// watchTraffic samples the arrivals at a target and returns a function that
// gives the seconds until 90% of its fair share was gone for half a second.
func watchTraffic(victim *fake.Server, s shape) func() float64 {
	const step = 50 * time.Millisecond
	const steps = 10
	fair := s.offered() / float64(s.targets) * step.Seconds() * steps
	quit := make(chan struct{})
	var samples []uint64
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(step)
		defer ticker.Stop()
		for {
			samples = append(samples, victim.Arrivals())
			select {
			case <-ticker.C:
			case <-quit:
				return
			}
		}
	})
	return func() float64 {
		close(quit)
		group.Wait()
		for i := 0; i+steps < len(samples); i++ {
			if float64(samples[i+steps]-samples[i]) < 0.1*fair {
				return float64(i) * step.Seconds()
			}
		}
		return -1
	}
}
