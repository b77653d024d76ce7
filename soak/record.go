package soak

import (
	"context"
	"sync"
	"time"
)

// Request is a request as its client saw it.
type Request struct {
	ID         string
	Entry      string
	Prefix     string
	Idempotent bool
	Sent       time.Time
	Done       time.Time
	// Status is 0 if there was no whole answer.
	Status int
	// Body is that of a whole answer.
	Body string
	// Kept says whether the connection was used before.
	Kept bool
}

// Arrival is a request that a backend server began to run.
type Arrival struct {
	ID     string
	Server string
	Pool   string
	Centre string
	At     time.Time
	// Body is that of the answer, and Odd what is sent in its place, if anything.
	Body string
	Odd  Oddity
}

// Order is a call of the operator until it was acknowledged or given up.
type Order struct {
	Action  Action
	Version int
	Centre  string
	// Sent is the time of the first copy.
	Sent time.Time
	// Acked is zero if no copy had a clear answer.
	Acked time.Time
	// By is the control VM that acknowledged it.
	By string
	// Refused is the status of a refusal.
	Refused int
}

// Fault is something that was done to a process, or its end.
type Fault struct {
	VM      string
	Control bool
	Action  Action
	// Old says whether a process that starts runs the other program of a mix.
	Old bool
	At  time.Time
}

// Record is what clients, backend servers and the operator saw, and the faults.
type Record struct {
	Start    time.Time
	Configs  []Config
	Requests []Request
	Runs     []Arrival
	Orders   []Order
	Faults   []Fault
	// Stalls are the times at which this machine left no time to the soak itself.
	Stalls []Stall
}

// Stall is a span in which the processes did not run because the machine was busy.
type Stall struct{ From, To time.Time }

// recorder collects a record.
type recorder struct {
	mu     sync.Mutex
	record Record
	// ends are the ends of processes that were not asked to end.
	ends []string
	// down says of which processes the end is expected.
	down map[string]bool
}

func newRecorder(configs []Config) *recorder {
	return &recorder{record: Record{Start: time.Now(), Configs: configs}, down: make(map[string]bool)}
}

func (r *recorder) request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Requests = append(r.record.Requests, q)
}

func (r *recorder) run(run Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Runs = append(r.record.Runs, run)
}

// order notes an order when its first copy is sent, and returns its number.
func (r *recorder) order(o Order) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Orders = append(r.record.Orders, o)
	return len(r.record.Orders) - 1
}

func (r *recorder) answered(n int, by string, refused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.record.Orders[n]
	o.By, o.Refused = by, refused
	if refused == 0 {
		o.Acked = time.Now()
	}
}

func (r *recorder) fault(p *process, a Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[p.vm] = a == Kill
	r.record.Faults = append(r.record.Faults, Fault{VM: p.vm, Control: p.control, Action: a, Old: p.old, At: time.Now()})
}

const (
	stallPeriod = 50 * time.Millisecond
	// maxDelay is the delay of a timer from which on a machine counts as slowed.
	maxDelay = 300 * time.Millisecond
)

// watchStalls notes stalls until ctx is done.
func (r *recorder) watchStalls(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallPeriod)
		now := time.Now()
		if now.Sub(last) > stallPeriod+maxDelay {
			r.mu.Lock()
			r.record.Stalls = append(r.record.Stalls, Stall{From: last, To: now})
			r.mu.Unlock()
		}
		last = now
	}
}

// exit notes the end of a process.
func (r *recorder) exit(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down[vm] {
		r.ends = append(r.ends, vm)
	}
}

// ending says that all processes are about to be killed.
func (r *recorder) ending() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.record.Faults {
		r.down[f.VM] = true
	}
}

// done returns the record and the processes that ended by themselves.
func (r *recorder) done() (Record, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record, r.ends
}
