package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

// grayLoad is the load pattern of the tests: servers of which some fail three
// quarters of their requests for some seconds at a time.
type grayLoad struct {
	servers    int
	slots      int
	perSecond  float64
	idempotent float64 // part of the requests that may be repeated
	service    time.Duration
	grayPart   float64 // part of the servers that are gray at a time
	graySpan   time.Duration
	span       time.Duration
}

// outcome counts what became of the requests that must run once.
type outcome struct {
	once, failed, refused int
	most                  map[string]int // most slots in use at once
}

// event is the end of a request.
type ending struct {
	at     time.Time
	key    seatKey
	target string
	kind   health.Kind
	took   time.Duration
}

// replay runs the load against a desk.
func (l grayLoad) replay(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	plan := deskView{ramp: func(string) *Ramp { return nil }}
	period := time.Duration(float64(l.graySpan) / l.grayPart)
	phase := make(map[string]time.Duration)
	for i := range l.servers {
		name := fmt.Sprintf("s%d", i)
		plan.targets = append(plan.targets, fleet.Target{Name: name, Slots: l.slots, Boot: 1})
		phase[name] = time.Duration(random.Int64N(int64(period)))
	}
	gray := func(name string, now time.Time) bool {
		return (now.Sub(begin)+phase[name])%period < l.graySpan
	}
	d := newDesk()
	out := outcome{most: make(map[string]int)}
	var running []ending
	now := begin
	start := func(r reply) {
		if r.target == "" {
			out.refused++
			return
		}
		out.most[r.target] = max(out.most[r.target], d.inUse[r.target])
		e := ending{key: r.ask.key(), target: r.target, kind: health.OK, took: l.service}
		if gray(r.target, now) && random.Float64() < 0.75 {
			e.kind, e.took = health.Failed, time.Millisecond
		}
		e.at = now.Add(e.took)
		running = append(running, e)
		if !r.ask.idempotent {
			out.once++
			if e.kind == health.Failed {
				out.failed++
			}
		}
	}
	step := time.Millisecond
	for id := uint64(0); now.Sub(begin) < l.span; now = now.Add(step) {
		var left []ending
		for _, e := range running {
			if e.at.After(now) {
				left = append(left, e)
				continue
			}
			d.done(e.key, health.Result{Kind: e.kind, Latency: e.took}, plan, now)
		}
		running = left
		for _, r := range d.serve(plan, now) {
			start(r)
		}
		if random.Float64() < l.perSecond*step.Seconds() {
			id++
			r := d.place(ask{
				vm: "e", id: id, idempotent: random.Float64() < l.idempotent,
				objective: now.Add(600 * time.Millisecond), deadline: now.Add(1500 * time.Millisecond),
			}, plan, now)
			if !r.queued {
				start(r)
			}
		}
	}
	return out
}

var usualDay = grayLoad{
	servers: 27, slots: 4, perSecond: 165, idempotent: 0.36, service: 190 * time.Millisecond,
	grayPart: 0.3, graySpan: 2700 * time.Millisecond, span: 20 * time.Second,
}

// With a third of the servers gray at a time, a choice by load alone fails more
// than a fifth of the requests. The floor of the users is 0.7 of the servers, and
// what must run once has one shot.
func TestRequestsThatRunOnceRarelyMeetGrayServers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		out := usualDay.replay(seed)
		is.True(out.once > 1500)
		is.Equal(out.refused, 0)
		if share := float64(out.failed) / float64(out.once); share > 0.04 {
			t.Errorf("seed %d: %d of %d failed", seed, out.failed, out.once)
		}
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	load := usualDay
	load.perSecond = 700 // more than all slots bear
	load.span = 3 * time.Second
	for name, most := range load.replay(1).most {
		if most > load.slots {
			t.Errorf("%s had %d requests at once, slots %d", name, most, load.slots)
		}
	}
}

func TestUrgentRequestsAreServedFirst(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	plan := deskView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	late := func(id uint64, rank int) ask {
		return ask{vm: "e", id: id, rank: rank, workspace: fmt.Sprint("w", id), objective: begin.Add(time.Minute), deadline: begin.Add(time.Minute)}
	}
	is.Equal(d.place(late(1, 2), plan, begin).target, "s")
	is.True(d.place(late(2, 2), plan, begin).queued)
	is.True(d.place(late(3, 0), plan, begin).queued)
	d.done(seatKey{"e", 1}, health.Result{Kind: health.OK, Latency: 100 * time.Millisecond}, plan, begin)
	replies := d.serve(plan, begin)
	is.Equal(len(replies), 1)
	is.Equal(replies[0].ask.id, uint64(3))
}

// A request that cannot be answered in time is refused at once, not when its
// deadline passes.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	plan := deskView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	short := ask{vm: "e", id: 1, objective: begin.Add(300 * time.Millisecond), deadline: begin.Add(300 * time.Millisecond)}
	is.Equal(d.place(short, plan, begin).target, "s")
	short.id = 2
	r := d.place(short, plan, begin)
	is.Equal(r.target, "")
	is.True(!r.queued)
	is.True(r.retry > 0)
}

func TestSeatsOfLostEntriesComeBack(t *testing.T) {
	is := is.New(t)
	d := newDesk()
	plan := deskView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	a := ask{vm: "e", id: 1, objective: begin.Add(time.Second), deadline: begin.Add(time.Second)}
	is.Equal(d.place(a, plan, begin).target, "s")
	d.tick(plan, begin.Add(time.Second+lostAfter+1))
	is.Equal(d.inUse["s"], 0)
}

// A cold server bears few requests a second. A holder that has just begun must
// obey that from its first request on.
func TestDeskKeepsTheRateOfColdServers(t *testing.T) {
	is := is.New(t)
	const rate = 9.2
	ramp := NewRamp(100, 100, 3*time.Second).WithRate(rate)
	plan := deskView{
		targets: []fleet.Target{{Name: "s", Slots: 100, Boot: 1}}, ramp: func(string) *Ramp { return ramp },
	}
	d := newDesk()
	seated := 0
	for id := range uint64(100) {
		a := ask{vm: "e", id: id, idempotent: true, objective: begin.Add(time.Second), deadline: begin.Add(time.Second)}
		if d.place(a, plan, begin.Add(time.Duration(id)*time.Millisecond)).target != "" {
			seated++
			d.done(a.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, plan, begin)
		}
	}
	is.True(seated <= 10)
	is.True(seated >= 9)
}

// A repeatable request that failed at a server that it tried out goes to the one
// that proved sound last, not to the next doubtful one.
func TestSecondAttemptsGoToProvenServers(t *testing.T) {
	is := is.New(t)
	plan := deskView{ramp: func(string) *Ramp { return nil }}
	for _, name := range []string{"old", "proven", "failed", "doubtful"} {
		plan.targets = append(plan.targets, fleet.Target{Name: name, Slots: 4, Boot: 1})
	}
	d := newDesk(retry.Slack(60, func() int { return 1 }))
	for _, target := range plan.targets {
		d.belief(target, begin)
	}
	now := begin.Add(5 * time.Second)
	d.learn("proven", health.Result{Kind: health.OK}, now)
	d.learn("failed", health.Result{Kind: health.Failed}, now)
	a := ask{vm: "e", id: 1, idempotent: true, objective: now.Add(time.Second), deadline: now.Add(time.Second)}
	is.Equal(d.place(a, plan, now).target, "old") // tries what was not tried for longest
	a.id, a.avoid = 2, []string{"old"}
	is.Equal(d.place(a, plan, now).target, "proven")
}

// Further attempts are counted where all entries' requests meet: an entry with few
// requests of its own must not run out while the fleet has plenty left.
func TestFurtherAttemptsDrawOnOneBudget(t *testing.T) {
	is := is.New(t)
	d := newDesk(retry.Ratio(0.18), retry.Slack(60, func() int { return 1 }))
	plan := deskView{
		targets: []fleet.Target{{Name: "a", Slots: 1000, Boot: 1}, {Name: "b", Slots: 1000, Boot: 1}},
		ramp:    func(string) *Ramp { return nil },
	}
	further := 0
	for id := range uint64(500) {
		a := ask{vm: "e", id: id, idempotent: true, avoid: []string{"a"}, arrived: true, objective: begin.Add(time.Second), deadline: begin.Add(time.Second)}
		if d.place(a, plan, begin).target != "" {
			further++
		}
	}
	is.True(further >= 42)       // the slack is there from the start
	is.True(further <= 60+500/5) // and the bound holds
}

// An attempt that found nobody has loaded no server: after a zone is lost, every request
// may look for a server that is there.
func TestAttemptsThatReachedNobodyAreFree(t *testing.T) {
	is := is.New(t)
	d := newDesk(retry.Ratio(0), retry.Slack(0, func() int { return 1 }))
	d.budget.Withdraw() // the last token
	plan := deskView{
		targets: []fleet.Target{{Name: "a", Slots: 1000, Boot: 1}, {Name: "b", Slots: 1000, Boot: 1}},
		ramp:    func(string) *Ramp { return nil },
	}
	a := ask{vm: "e", id: 1, avoid: []string{"a"}, objective: begin.Add(time.Second), deadline: begin.Add(time.Second)}
	is.Equal(d.place(a, plan, begin).target, "b")
	a.id, a.arrived = 2, true
	is.Equal(d.place(a, plan, begin).target, "")
}

// Half of the servers shed everything, a holder is replaced, and entries choose
// alone in between: all further attempts together stay inside the users' bound.
func TestBudgetsOfHoldersAndEntriesTogetherKeepTheBound(t *testing.T) {
	const (
		entries  = 40
		requests = 2886 // in one window of 10 s
		alone    = 10   // one in so many requests comes while there is no holder
		ratio    = 0.2
		slack    = 60.0
	)
	given := 0
	drain := func(b *retry.Budget, requests int) {
		for range requests {
			b.Deposit()
			for b.Withdraw() {
				given++
			}
		}
	}
	for range 2 { // the first holder, and the one after it
		drain(retry.NewBudget(retry.Ratio(0.75*ratio), retry.Slack(slack, func() int { return 1 })), requests/2)
	}
	for range entries {
		b := retry.NewBudget(retry.Ratio(0.75*ratio), retry.Slack(slack, func() int { return entries }))
		drain(b, requests/alone/entries)
	}
	if limit := ratio*requests + slack; float64(given) > limit {
		t.Errorf("%d further attempts, %.0f allowed", given, limit)
	}
}

// Opening a connection is dear to the servers, and a body that goes to another data
// centre is dear to the network: both count where servers are equally sound.
func TestOpenConnectionsAndTheOwnDataCentreArePreferred(t *testing.T) {
	is := is.New(t)
	plan := deskView{keep: 4 * time.Second, ramp: func(string) *Ramp { return nil }}
	for i, centre := range []string{"far", "near", "near"} {
		plan.targets = append(plan.targets, fleet.Target{Name: fmt.Sprint("s", i), DataCentre: centre, Slots: 4, Boot: 1})
	}
	d := newDesk()
	a := ask{vm: "e", id: 1, centre: "near", bytes: 60_000, objective: begin.Add(time.Second), deadline: begin.Add(time.Second)}
	first := d.place(a, plan, begin).target
	is.True(first != "s0")
	d.done(a.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, plan, begin)
	a.id = 2
	is.Equal(d.place(a, plan, begin.Add(time.Second)).target, first)
	d.learn(first, health.Result{Kind: health.Failed}, begin.Add(time.Second))
	a.id = 3
	is.True(d.place(a, plan, begin.Add(time.Second)).target != first) // soundness goes first
}

// spanLoad is a load under which servers must not be left without work for long.
type spanLoad struct {
	servers, slots int
	perSecond      float64
	idempotent     float64
	grayFor        time.Duration // how long a server is gray,
	grayEvery      time.Duration // and how often
	errors         float64       // part of the requests that fail at any server
}

// worst returns the least part of the servers that got work in a span of the users'
// floor, and the part of the requests that must run once that failed.
func (l spanLoad) worst(seed uint64, span time.Duration) (least, failed float64) {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(seed, 11))
	plan := deskView{keep: 4 * time.Second, floor: 0.7, ramp: func(string) *Ramp { return nil }}
	phase := make(map[string]time.Duration)
	for i := range l.servers {
		name := fmt.Sprint("s", i)
		plan.targets = append(plan.targets, fleet.Target{Name: name, Slots: l.slots, Boot: 1, DataCentre: fmt.Sprint(i % 3)})
		phase[name] = time.Duration(random.Int64N(int64(l.grayEvery)))
	}
	d := newDesk()
	visited := make(map[string]time.Time)
	var running []ending
	least = 1
	once, bad := 0, 0
	for id, now := uint64(0), begin; now.Sub(begin) < 30*time.Second; now = now.Add(step) {
		var left []ending
		for _, e := range running {
			if e.at.After(now) {
				left = append(left, e)
				continue
			}
			d.done(e.key, health.Result{Kind: e.kind, Latency: e.took}, plan, now)
		}
		running = left
		if now.Sub(begin) > 3*span {
			used := 0
			for _, at := range visited {
				if now.Sub(at) < span {
					used++
				}
			}
			least = min(least, float64(used)/float64(l.servers))
		}
		if random.Float64() >= l.perSecond*step.Seconds() {
			continue
		}
		id++
		a := ask{
			vm: fmt.Sprint("e", random.IntN(44)), centre: fmt.Sprint(random.IntN(3)), id: id, bytes: 4000,
			idempotent: random.Float64() < l.idempotent,
			objective:  now.Add(600 * time.Millisecond), deadline: now.Add(1500 * time.Millisecond),
		}
		r := d.place(a, plan, now)
		if r.target == "" {
			continue
		}
		visited[r.target] = now
		e := ending{key: a.key(), target: r.target, kind: health.OK, took: 150 * time.Millisecond}
		gray := (now.Sub(begin)+phase[r.target])%l.grayEvery < l.grayFor
		if gray && random.Float64() < 0.9 || random.Float64() < l.errors {
			e.kind, e.took = health.Failed, time.Millisecond
		}
		if !a.idempotent {
			once++
			if e.kind == health.Failed {
				bad++
			}
		}
		e.at = now.Add(e.took)
		running = append(running, e)
	}
	return least, float64(bad) / float64(once)
}

// floorSpan is the span in which the users look at the floor.
const floorSpan = 2 * time.Second

// A pool with more servers than requests that may be repeated in a second, a third of them
// gray for some seconds at a time, and a tenth of the requests fail everywhere. Which
// servers count for the floor is not known: all get work in any two seconds.
func TestAllServersGetWorkInEverySpan(t *testing.T) {
	load := spanLoad{
		servers: 39, slots: 3, perSecond: 110, idempotent: 0.24,
		grayFor: 3600 * time.Millisecond, grayEvery: 12 * time.Second, errors: 0.1,
	}
	for seed := range uint64(5) {
		least, failed := load.worst(seed, floorSpan)
		t.Logf("seed %d: %.3f of the requests that run once failed", seed, failed)
		if least < 1 {
			t.Errorf("seed %d: %.2f of the servers got work in some span", seed, least)
		}
	}
}

// A small pool that gets only requests that must run once, while some of them fail
// everywhere: the floor of its servers gets work all the same.
func TestTheFloorGetsWorkWithoutRepeatableRequests(t *testing.T) {
	uploads := spanLoad{
		servers: 6, slots: 3, perSecond: 14, grayFor: 1, grayEvery: 12 * time.Second, errors: 0.15,
	}
	for seed := range uint64(5) {
		least, failed := uploads.worst(seed, floorSpan)
		t.Logf("seed %d: %.3f of the requests that run once failed", seed, failed)
		if least < 0.7 {
			t.Errorf("seed %d: %.2f of the servers got work in some span", seed, least)
		}
	}
}
