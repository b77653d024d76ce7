package pool

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

const (
	// maxQueue bounds the requests that wait at one desk.
	maxQueue = 512
	// lostAfter is how long after its deadline a request counts as running if its
	// entry has not said what became of it.
	lostAfter = time.Second
	// trustGray is the probability of being gray up to which a server gets requests
	// that must run once, as long as there are others.
	trustGray = 0.5
	// probeGray is the probability up to which a server is tried with requests that
	// may be repeated.
	probeGray = 0.6
	// shunnedGray is the least belief in a server that the judge has ejected: it gets
	// work only where there is no other.
	shunnedGray = 0.9
	// dueGain brings a server that is due before all others that are trusted.
	dueGain = 1.0
	// loadWeight turns the part of a server's slots in use into probability: how
	// much risk an empty server is worth.
	loadWeight = 0.02
	// awayWeight is the same for a server in another data centre, and awayByteWeight
	// for each byte that has to go there, up to mostAwayWeight.
	awayWeight     = 0.004
	awayByteWeight = 1.5e-6
	mostAwayWeight = 0.1
	// pathWeight is the same for a server that the entry probably does not reach.
	pathWeight = 0.5
	// openWeight is the same for a server to which the entry has no connection open.
	openWeight = 0.03
	// staleness turns such a weight into the age of a server's last result, for
	// requests that look for the oldest.
	staleness = 15 * time.Second
	// visitEvery is the time after which a server is due for work: no server is left out
	// for the two seconds in which operators look at the floor.
	visitEvery = 1400 * time.Millisecond
	// dueBad is the part of a pool's requests that are not served from which on the floor
	// goes before the requests that must run once. Operators count from a tenth on; the
	// latest few results tell no more exactly than this.
	dueBad = 0.03
	// floorBad is the part from which on every trusted server that is due goes first:
	// which servers count for the floor is not known, and a tenth is near.
	floorBad = 0.06
	// badWeight is the weight of one request in that part.
	badWeight = 0.03
	// firstService is the time that a request takes before any answer is known.
	firstService = 200 * time.Millisecond
	// serviceWeight is the weight of one answer in the usual service time.
	serviceWeight = 0.05
	// leastRetry is the least time that a refused request is told to wait.
	leastRetry = 50 * time.Millisecond
)

// ask is one request that wants a backend server.
type ask struct {
	vm         string
	id         uint64
	centre     string
	idempotent bool
	rank       int
	workspace  string
	// objective is when the answer loses worth, and deadline when it is worth
	// nothing any more.
	objective time.Time
	deadline  time.Time
	avoid     []string
	// arrived says that an earlier attempt reached a server.
	arrived bool
	// bytes is the size of the request's body.
	bytes int64
}

// seatKey names an ask.
type seatKey struct {
	vm string
	id uint64
}

// visit names an entry and a server.
type visit struct {
	vm, target string
}

func (a ask) key() seatKey { return seatKey{a.vm, a.id} }

// seat is a slot in use.
type seat struct {
	target    string
	workspace string
	since     time.Time
	until     time.Time
	// final says that there is no further attempt after this one.
	final   bool
	ramping bool
}

// reply is what the desk says to an ask.
type reply struct {
	ask    ask
	target string
	queued bool
	retry  time.Duration
}

// desk places all requests of a pool on its backend servers. It knows every slot
// in use and every result, and has no input or output.
//
// The pattern it answers: entries that choose by themselves put two requests on
// one server while others idle, learn of a gray server one by one, and queue at
// the servers, where nobody can turn work away. The desk gives the next free slot
// to the most urgent request, sends those that must run once to servers that have
// just proved sound, lets those that may be repeated try the others, and refuses
// at once what cannot be answered in time.
type desk struct {
	climate *health.Model
	beliefs map[string]health.Estimate
	boots   map[string]uint64
	inUse   map[string]int
	seats   map[seatKey]seat
	queue   []ask
	running map[string]int // seats by workspace
	service time.Duration
	// bad is the part of the latest requests that was not served.
	bad float64
	// seated is when a server was given work last.
	seated map[string]time.Time
	paths  *paths
	// visits is when an entry's last request at a server ended.
	visits map[visit]time.Time
	// budget bounds the further attempts of the whole fleet.
	budget *retry.Budget
}

func newDesk(budget ...retry.Option) *desk {
	return &desk{
		climate: health.NewModel(), beliefs: make(map[string]health.Estimate), boots: make(map[string]uint64),
		inUse: make(map[string]int), seats: make(map[seatKey]seat),
		visits:  make(map[visit]time.Time),
		seated:  make(map[string]time.Time),
		paths:   newPaths(),
		running: make(map[string]int), service: firstService,
		budget: retry.NewBudget(budget...),
	}
}

// deskView is what a desk is told of the servers when it places requests.
type deskView struct {
	targets []fleet.Target
	// shunned are servers that must not be used unless there are no others.
	shunned []string
	// ramp returns the ramp of a server that is cold, or nil.
	ramp func(name string) *Ramp
	// floor is the part of the servers that must not be left out, and below says that
	// more of them are.
	floor float64
	below bool
	// keep is how long entries keep idle connections; 0 if they do not.
	keep time.Duration
}

// place gives an ask a server, queues it, or refuses it.
func (d *desk) place(a ask, plan deskView, now time.Time) reply {
	d.budget.Deposit()
	if a.arrived && !d.budget.Withdraw() {
		return reply{ask: a, retry: leastRetry}
	}
	plan.below = d.belowFloor(plan, now)
	if target, ok := d.choose(a, plan, now); ok {
		return d.seat(a, target, plan, now)
	}
	wait, possible := d.wait(a, plan, now)
	if !possible {
		return d.lastResort(a, wait, plan, now)
	}
	d.queue = append(d.queue, a)
	return reply{ask: a, queued: true}
}

// seat takes a slot for an ask.
func (d *desk) seat(a ask, target fleet.Target, plan deskView, now time.Time) reply {
	s := seat{final: !a.idempotent || a.arrived, target: target.Name, workspace: a.workspace, since: now, until: a.deadline.Add(lostAfter)}
	if r := plan.ramp(target.Name); r != nil {
		s.ramping = true
		r.Grant(now)
	}
	d.seated[target.Name] = now
	d.inUse[target.Name]++
	d.seats[a.key()] = s
	d.running[a.workspace]++
	return reply{ask: a, target: target.Name}
}

// wait returns how long an ask that finds no room would wait, and whether it could
// still be answered in time.
func (d *desk) wait(a ask, plan deskView, now time.Time) (time.Duration, bool) {
	slots := 0
	for _, t := range plan.targets {
		if d.belief(t, now).Probability(d.climate, now) <= trustGray {
			slots += t.Slots
		}
	}
	if slots == 0 {
		slots = 1
	}
	ahead := 1
	for _, other := range d.queue {
		if other.rank <= a.rank {
			ahead++
		}
	}
	wait := time.Duration(float64(d.service) * float64(ahead) / float64(slots))
	end := now.Add(wait + d.service)
	possible := len(plan.targets) > 0 && len(d.queue) < maxQueue && end.Before(a.deadline)
	return max(wait, leastRetry), possible
}

// done takes a slot back, or an ask out of the queue. An empty kind means that the
// request was not sent.
func (d *desk) done(key seatKey, r health.Result, plan deskView, now time.Time) {
	s, seated := d.seats[key]
	if !seated {
		d.queue = slices.DeleteFunc(d.queue, func(a ask) bool { return a.key() == key })
		return
	}
	d.release(key, s)
	if r.Kind == health.OK || r.Kind == health.Failed {
		d.visits[visit{key.vm, s.target}] = now
	}
	if ramp := plan.ramp(s.target); s.ramping && ramp != nil {
		ramp.Done(r.Kind == health.OK, now)
	}
	if s.final && r.Kind != "" && r.Kind != health.Cancelled {
		d.noteServed(r.Kind == health.OK)
	}
	if d.paths.note(key.vm, s.target, r.Kind, s.since, now) {
		return
	}
	d.learn(s.target, r, now)
}

func (d *desk) release(key seatKey, s seat) {
	delete(d.seats, key)
	if d.inUse[s.target]--; d.inUse[s.target] <= 0 {
		delete(d.inUse, s.target)
	}
	if d.running[s.workspace]--; d.running[s.workspace] <= 0 {
		delete(d.running, s.workspace)
	}
}

// learn takes a result into the belief in its server.
func (d *desk) learn(target string, r health.Result, now time.Time) {
	b, known := d.beliefs[target]
	if !known || r.Kind == "" || r.Kind == health.Cancelled {
		return
	}
	if r.Kind == health.OK {
		d.service += time.Duration(serviceWeight * float64(r.Latency-d.service))
	}
	bad := r.Kind.Bad() || r.Kind == health.Late || r.Kind == health.Shed
	d.beliefs[target] = b.WithResult(d.climate, bad, now)
}

// noteServed counts a request that was served, or not. Failures that a further attempt
// makes good do not count.
func (d *desk) noteServed(served bool) {
	value := 1.0
	if served {
		value = 0
	}
	d.bad += badWeight * (value - d.bad)
}

// tick returns what the desk has to say by itself: servers for the asks that wait,
// and refusals for those that can no longer be answered in time.
func (d *desk) tick(plan deskView, now time.Time) []reply {
	for key, s := range d.seats {
		if now.After(s.until) {
			d.release(key, s)
		}
	}
	d.forget(plan.targets)
	for v, at := range d.visits {
		if now.Sub(at) > plan.keep {
			delete(d.visits, v)
		}
	}
	return d.serve(plan, now)
}

// forget drops what is known of servers that have left.
func (d *desk) forget(targets []fleet.Target) {
	for name := range d.beliefs {
		if !slices.ContainsFunc(targets, func(t fleet.Target) bool { return t.Name == name }) {
			delete(d.beliefs, name)
			delete(d.boots, name)
			delete(d.seated, name)
			d.paths.forget(name)
		}
	}
}

// serve places the asks that wait, as far as there is room.
func (d *desk) serve(plan deskView, now time.Time) []reply {
	var replies []reply
	d.queue = slices.DeleteFunc(d.queue, func(a ask) bool {
		late := now.Add(d.service).After(a.deadline)
		if late {
			replies = append(replies, d.lastResort(a, leastRetry, plan, now))
		}
		return late
	})
	plan.below = d.belowFloor(plan, now)
	for len(d.queue) > 0 {
		open := plan
		open.targets = d.open(plan, now)
		if len(open.targets) == 0 {
			return replies
		}
		at, target := d.next(open, now)
		if at < 0 {
			return replies
		}
		a := d.queue[at]
		d.queue = slices.Delete(d.queue, at, at+1)
		replies = append(replies, d.seat(a, target, plan, now))
	}
	return replies
}

// open returns the servers with a free slot.
func (d *desk) open(plan deskView, now time.Time) []fleet.Target {
	var list []fleet.Target
	for _, t := range plan.targets {
		if d.room(t, plan, now) {
			list = append(list, t)
		}
	}
	return list
}

// next returns the ask that is served next, and its server: the most urgent one,
// then one that can still meet its objective, then one of the workspace with the
// fewest requests running, then the oldest.
func (d *desk) next(plan deskView, now time.Time) (int, fleet.Target) {
	best := -1
	target := fleet.Target{}
	for i, a := range d.queue {
		if best >= 0 && !d.before(a, d.queue[best], now) {
			continue
		}
		if t, ok := d.choose(a, plan, now); ok {
			best, target = i, t
		}
	}
	return best, target
}

// before reports whether an ask is served before another that came earlier.
func (d *desk) before(a, b ask, now time.Time) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	inTime := func(x ask) bool { return now.Add(d.service).Before(x.objective) }
	if inTime(a) != inTime(b) {
		return inTime(a)
	}
	return d.running[a.workspace] < d.running[b.workspace]
}
