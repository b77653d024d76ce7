package prog

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	demoKey      = "demo-key-of-showroom-east"
	demoSmallKey = "demo-key-of-showroom-west"

	demoSteady = 2 * time.Second
	demoGray   = 4 * time.Second
)

// demo runs a small fleet through what operators and backend servers do.
type demo struct {
	out     io.Writer
	started time.Time
	folder  string
	fleet   *local.Fleet
	targets []*fake.Server
	rows    []demoRow
	broken  int
}

// demoRow is one line of the table.
type demoRow struct {
	step, result string
	kept         bool
}

// say prints progress.
func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// note adds a line to the table.
func (d *demo) note(kept bool, step, format string, args ...any) {
	if !kept {
		d.broken++
	}
	d.rows = append(d.rows, demoRow{step, fmt.Sprintf(format, args...), kept})
}

func (d *demo) run(ctx context.Context) error {
	if err := d.start(); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		d.configure, d.refusals, d.gray, d.numbers, d.withdraw, d.centreOut,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.checkLeaks()
	d.table()
	return nil
}

func (d *demo) stop() {
	for _, t := range d.targets {
		t.Stop()
	}
	if d.fleet != nil {
		d.fleet.Stop()
	}
	if d.folder != "" {
		os.RemoveAll(d.folder)
	}
}

func (d *demo) start() error {
	var err error
	if d.folder, err = os.MkdirTemp("", "dottereldeal-demo-"); err != nil {
		return err
	}
	centres := []string{"fukuoka", "kumamoto"}
	d.say("starting 3 control replicas and 4 entries in 2 data centres")
	d.fleet, err = local.Start(local.Controls(3), local.Entries(4, centres...), local.Folder(d.folder))
	if err != nil {
		return err
	}
	d.say("starting 6 stand-in backend servers")
	for i := range 6 {
		t, err := fake.New(
			fake.Name(fmt.Sprintf("b%d", i+1)), fake.Pool("loan-desk"), fake.DataCentre(centres[i%2]),
			fake.AnnounceURLs(d.fleet.AnnounceURLs()...), fake.CallerKeys(demoKey, demoSmallKey),
		)
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
	}
	return nil
}

const demoTicket = `
number: 1
workspaces:
  - {name: showroom-east, rate: 2000, burst: 2000, key-digests: [%q]}
  - {name: showroom-west, rate: 5, burst: 5, key-digests: [%q]}
pools:
  - {name: loan-desk, floor: 0.6}
routes:
  - {name: status, host: loan.example, path-prefix: /status/, methods: [GET], pool: loan-desk, idempotent: true, deadline: 1s}
  - {name: decisions, host: loan.example, path-prefix: /decisions/, methods: [POST], pool: loan-desk, deadline: 1s}
data-centres:
  - {name: fukuoka, state: in}
  - {name: kumamoto, state: in}
lease-voters: [e1, e2, e3]
`

// apply sends a ticket and expects it to come in force.
func (d *demo) apply(ctx context.Context, number uint64, text string) error {
	began := time.Now()
	answer, err := d.fleet.ApplyTicket(ctx, number, text)
	if err != nil {
		return err
	}
	took := time.Since(began)
	kept := answer.Verdict == ledger.Accepted && answer.Stage == "in-force"
	d.note(kept, fmt.Sprintf("ticket %d", number), "%s, %s after %d ms", answer.Verdict, answer.Stage, took.Milliseconds())
	d.say("ticket %d: %s, %s", number, answer.Verdict, answer.Stage)
	return nil
}

func (d *demo) configure(ctx context.Context) error {
	text := fmt.Sprintf(demoTicket, state.HashKey(demoKey), state.HashKey(demoSmallKey))
	if err := d.apply(ctx, 1, text); err != nil {
		return err
	}
	return d.awaitTargets(ctx)
}

// awaitTargets waits until every entry knows every backend server and serves.
func (d *demo) awaitTargets(ctx context.Context) error {
	for {
		ready := true
		for _, e := range d.fleet.Entries {
			ready = ready && e.TargetCount() == len(d.targets)
		}
		for i := range d.fleet.Entries {
			ready = ready && d.request(ctx, i, demoKey, "GET", "/status/0").status == 200
		}
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// refusals checks the answers to requests that must not run.
func (d *demo) refusals(ctx context.Context) error {
	for _, c := range []struct {
		step, key, path string
		want            int
	}{
		{"unknown key", "nobody", "/status/1", 401},
		{"no route", demoKey, "/nowhere", 404},
	} {
		got := d.request(ctx, 0, c.key, "GET", c.path)
		d.note(got.status == c.want && got.outcome == "not-run", c.step, "%d, %s", got.status, got.outcome)
	}
	return nil
}

// demoFlood is the number of requests sent at once for a workspace with a burst of 5.
const demoFlood = 40

// flood sends many requests of a small workspace at once, over all entries.
func (d *demo) flood(ctx context.Context) {
	var group sync.WaitGroup
	var admitted, limited atomic.Int64
	for i := range demoFlood {
		group.Go(func() {
			switch got := d.request(ctx, i, demoSmallKey, "GET", "/status/1"); {
			case got.status == 200:
				admitted.Add(1)
			case got.status == 429 && got.outcome == "not-run":
				limited.Add(1)
			}
		})
	}
	group.Wait()
	kept := admitted.Load() <= demoMostAdmitted && admitted.Load()+limited.Load() == demoFlood
	d.note(kept, "over rate", "%d of %d at once admitted, %d refused with 429", admitted.Load(), demoFlood, limited.Load())
}

// demoMostAdmitted is the burst of 5 and what a rate of 5 brings in half a second.
const demoMostAdmitted = 8

// gray lets one backend server hang and measures what callers notice.
func (d *demo) gray(ctx context.Context) error {
	d.say("traffic from showroom-east for %s", demoSteady)
	calm := d.load(ctx, demoSteady)
	d.note(calm.wrong == 0 && calm.share() > 0.99, "steady traffic", "%s", calm)
	d.say("b3 accepts requests and never answers, its health page stays fine")
	d.targets[2].SetFault(fake.Fault{Hang: true})
	before := d.targets[2].RunCount()
	during := d.load(ctx, demoGray)
	d.note(during.wrong == 0, "one gray backend server", "%s; b3 got %d", during, d.targets[2].RunCount()-before)
	d.say("b3 heals")
	d.targets[2].SetFault(fake.Fault{})
	d.flood(ctx)
	return nil
}

// numbers checks a resend and a conflict.
func (d *demo) numbers(ctx context.Context) error {
	text := fmt.Sprintf(demoTicket, state.HashKey(demoKey), state.HashKey(demoSmallKey))
	again, err := d.fleet.SubmitTicket(ctx, 1, text)
	if err != nil {
		return err
	}
	d.note(again.Verdict == ledger.Accepted && again.Repeated, "ticket 1 sent again", "%s, first answer repeated", again.Verdict)
	other, err := d.fleet.SubmitTicket(ctx, 1, "number: 1\npools: [{name: other}]\n")
	if err != nil {
		return err
	}
	d.note(other.Verdict == ledger.Conflict, "another ticket 1", "%s", other.Verdict)
	return nil
}

// withdraw takes a key away and checks that it stops working.
func (d *demo) withdraw(ctx context.Context) error {
	text := fmt.Sprintf("number: 2\nworkspaces:\n  - {name: showroom-east, rate: 2000, burst: 2000, key-digests: [%q]}\n", state.HashKey("another key"))
	if err := d.apply(ctx, 2, text); err != nil {
		return err
	}
	alive := 0
	for i := range d.fleet.Entries {
		if d.request(ctx, i, demoKey, "GET", "/status/1").status != 401 {
			alive++
		}
	}
	d.note(alive == 0, "key withdrawn", "works on %d of %d entries, over open connections", alive, len(d.fleet.Entries))
	text = fmt.Sprintf("number: 3\nworkspaces:\n  - {name: showroom-east, rate: 2000, burst: 2000, key-digests: [%q]}\n", state.HashKey(demoKey))
	return d.apply(ctx, 3, text)
}

// centreOut takes a data centre out and checks that it gets no new work.
func (d *demo) centreOut(ctx context.Context) error {
	d.say("data centre kumamoto goes out")
	if err := d.apply(ctx, 4, "number: 4\ndata-centres: [{name: kumamoto, state: out}]\n"); err != nil {
		return err
	}
	before := d.runsIn("kumamoto")
	after := d.load(ctx, demoSteady)
	strays := d.runsIn("kumamoto") - before
	d.note(strays == 0 && after.wrong == 0, "data centre out", "%d requests reached it; %s", strays, after)
	return d.apply(ctx, 5, "number: 5\ndata-centres: [{name: kumamoto, state: in}]\n")
}

func (d *demo) runsIn(centre string) uint64 {
	var n uint64
	for _, t := range d.targets {
		if t.DataCentre() == centre {
			n += t.RunCount()
		}
	}
	return n
}

func (d *demo) checkLeaks() {
	var leaks uint64
	doubled := 0
	for _, t := range d.targets {
		leaks += t.LeakedKeys()
	}
	for id, n := range d.runs() {
		if n > 1 && id[0] == 'p' {
			doubled++
		}
	}
	d.note(leaks == 0, "keys at backend servers", "%d", leaks)
	d.note(doubled == 0, "decisions run twice", "%d", doubled)
}

// runs counts the runs of every request over all backend servers.
func (d *demo) runs() map[string]int {
	all := make(map[string]int)
	for _, t := range d.targets {
		for id, n := range t.RunsByID() {
			all[id] += n
		}
	}
	return all
}

func (d *demo) table() {
	w := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nstep\tkept\tresult")
	for _, r := range d.rows {
		kept := "yes"
		if !r.kept {
			kept = "NO"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", r.step, kept, r.result)
	}
	w.Flush()
}
