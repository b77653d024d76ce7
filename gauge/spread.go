package gauge

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	spreadSettle  = 10 * time.Second
	spreadCalm    = 10 * time.Second
	spreadTimeout = 3 * time.Minute
)

// spreadCommand measures dissemination with many entries in one process.
func spreadCommand(set *conf.Set) func(io.Writer) error {
	entries := set.Int("entries", "number of entries", 1, conf.Default("44"))
	tickets := set.Int("tickets", "number of small tickets", 1, conf.Default("50"))
	workspaces := set.Int("workspaces", "workspaces in the state beforehand", 0, conf.Default("0"))
	return func(out io.Writer) error { return spread(out, *entries, *tickets, *workspaces) }
}

// spreadRun is a fleet that is measured.
type spreadRun struct {
	fleet  *local.Fleet
	out    io.Writer
	number uint64
}

func spread(out io.Writer, entries, tickets, workspaces int) error {
	folder, err := os.MkdirTemp("", "gauge-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	f, err := local.Start(local.Controls(3), local.Entries(entries, "d1", "d2", "d3"), local.Folder(folder))
	if err != nil {
		return err
	}
	defer f.Stop()
	r := &spreadRun{fleet: f, out: out}
	if err := r.prepare(ctx, entries, workspaces); err != nil {
		return err
	}
	r.calm(entries)
	return r.tickets(ctx, entries, tickets)
}

// prepare applies the first tickets and waits until the membership has settled.
func (r *spreadRun) prepare(ctx context.Context, entries, workspaces int) error {
	if err := r.apply(ctx, "pools: [{name: first}]\n"); err != nil {
		return err
	}
	for {
		complete := 0
		for _, e := range r.fleet.Entries {
			if e.MemberCount() == entries && e.Ready() == nil {
				complete++
			}
		}
		if complete == entries {
			break
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "%d of %d entries know all members", complete, entries)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(spreadSettle)
	if workspaces == 0 {
		return nil
	}
	return r.fill(ctx, workspaces)
}

// fill applies one ticket with many workspaces.
func (r *spreadRun) fill(ctx context.Context, workspaces int) error {
	var text strings.Builder
	text.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&text, "  - {name: w%d, rate: 50, burst: 100, key-digests: [%q]}\n", i, state.HashKey(fmt.Sprint("key", i)))
	}
	began, before := time.Now(), r.sentBytes()
	if err := r.apply(ctx, text.String()); err != nil {
		return err
	}
	bytes := float64(r.sentBytes()-before) / float64(len(r.fleet.Entries))
	fmt.Fprintf(r.out, "one ticket with %d workspaces: in force after %.2f s, %.0f KB sent by an entry on average, %.0f KB by the control VMs\n",
		workspaces, time.Since(began).Seconds(), bytes/1e3, float64(r.controlBytes())/1e3)
	time.Sleep(spreadSettle)
	return nil
}

func (r *spreadRun) apply(ctx context.Context, body string) error {
	r.number++
	answer, err := r.fleet.ApplyTicket(ctx, r.number, fmt.Sprintf("number: %d\n%s", r.number, body))
	if err != nil {
		return err
	}
	if answer.Stage != "in-force" {
		return errors.Errorf("ticket %d is %s, %s", r.number, answer.Verdict, answer.Stage)
	}
	return nil
}

func (r *spreadRun) sentBytes() uint64 {
	var n uint64
	for _, e := range r.fleet.Entries {
		n += e.Links().Stats().SentBytes
	}
	return n
}

func (r *spreadRun) controlBytes() uint64 {
	var n uint64
	for _, c := range r.fleet.Controls {
		n += c.Links().Stats().SentBytes
	}
	return n
}

// calm measures the control traffic without tickets or callers.
func (r *spreadRun) calm(entries int) {
	sent, control, busy := r.sentBytes(), r.controlBytes(), meter.ProcessorTime()
	began := time.Now()
	time.Sleep(spreadCalm)
	seconds := time.Since(began).Seconds()
	n := float64(entries)
	sessions := 0
	for _, e := range r.fleet.Entries {
		sessions += e.Links().Stats().Sessions
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(r.out, "calm, %d entries: each sends %.2f KB/s and holds %.1f sessions; control VMs send %.2f KB/s together; processor %.3f%% of a core for each entry; heap %.2f MB for each entry\n",
		entries, float64(r.sentBytes()-sent)/seconds/n/1e3, float64(sessions)/n,
		float64(r.controlBytes()-control)/seconds/1e3,
		100*(meter.ProcessorTime()-busy).Seconds()/seconds/n, float64(memory.HeapInuse)/n/(1<<20))
}

// tickets measures the time from sending a small ticket to in-force.
func (r *spreadRun) tickets(ctx context.Context, entries, count int) error {
	sent, began := r.sentBytes()+r.controlBytes(), time.Now()
	var times []time.Duration
	for i := range count {
		start := time.Now()
		if err := r.apply(ctx, fmt.Sprintf("pools: [{name: p%d}]\n", i%7)); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	bytes := float64(r.sentBytes()+r.controlBytes()-sent) / float64(count) / float64(entries)
	slices.Sort(times)
	fmt.Fprintf(r.out, "%d small tickets, %d entries: in force p50 %s, p99 %s; %.0f bytes for each entry and ticket with all traffic of %.1f s\n",
		count, entries, times[count/2].Round(time.Millisecond), times[count*99/100].Round(time.Millisecond), bytes, time.Since(began).Seconds())
	return nil
}
