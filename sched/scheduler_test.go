package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
)

// grayFailureLoad is a load on a pool in which some servers fail three quarters of their
// requests for a few seconds at a time.
type grayFailureLoad struct {
	servers      int
	slots        int
	perSecond    float64
	idempotent   float64 // share of idempotent requests
	service      time.Duration
	grayShare    float64 // share of servers with a gray failure at a time
	grayDuration time.Duration
	duration     time.Duration
	// failureLatency is the time after which a gray server fails a request.
	failureLatency time.Duration
}

// loadResult counts the results of non-idempotent requests.
type loadResult struct {
	nonIdempotent, failed, rejected int
	maxInUse                        map[string]int // peak number of slots in use, by server
}

// completion is the end of a running request.
type completion struct {
	at      time.Time
	key     Key
	target  string
	kind    health.Kind
	latency time.Duration
}

// finishDue passes the requests that have ended to the scheduler and returns the others.
func finishDue(s *scheduler, running []completion, now time.Time) []completion {
	return slices.DeleteFunc(running, func(c completion) bool {
		if c.at.After(now) {
			return false
		}
		s.done(c.key, health.Result{Kind: c.kind, Latency: c.latency}, now)
		return true
	})
}

// run simulates the load on a scheduler.
func (l grayFailureLoad) run(seed uint64) loadResult {
	random := rand.New(rand.NewPCG(seed, 7))
	view := poolView{ramp: func(string) *Ramp { return nil }}
	period := time.Duration(float64(l.grayDuration) / l.grayShare)
	phase := make(map[string]time.Duration)
	for i := range l.servers {
		name := fmt.Sprintf("s%d", i)
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: l.slots, Boot: 1})
		phase[name] = time.Duration(random.Int64N(int64(period)))
	}
	gray := func(name string, now time.Time) bool {
		return (now.Sub(startTime)+phase[name])%period < l.grayDuration
	}
	s := newScheduler()
	result := loadResult{maxInUse: make(map[string]int)}
	var running []completion
	now := startTime
	start := func(r Placement) {
		if r.Target == "" {
			result.rejected++
			return
		}
		result.maxInUse[r.Target] = max(result.maxInUse[r.Target], s.byName[r.Target].inUse)
		e := completion{key: r.Request.key(), target: r.Target, kind: health.OK, latency: l.service}
		if gray(r.Target, now) && random.Float64() < 0.75 {
			e.kind, e.latency = health.Failed, l.failureLatency
		}
		e.at = now.Add(e.latency)
		running = append(running, e)
		if !r.Request.Idempotent {
			result.nonIdempotent++
			if e.kind == health.Failed {
				result.failed++
			}
		}
	}
	step := time.Millisecond
	for id := uint64(0); now.Sub(startTime) < l.duration; now = now.Add(step) {
		running = finishDue(s, running, now)
		for _, r := range s.placeQueued(view, now) {
			start(r)
		}
		if random.Float64() < l.perSecond*step.Seconds() {
			id++
			r := s.place(Request{
				VM: "e", ID: id, Idempotent: random.Float64() < l.idempotent,
				Objective: now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
			}, view, now)
			if !r.Queued {
				start(r)
			}
		}
	}
	return result
}

var typicalLoad = grayFailureLoad{
	servers: 27, slots: 4, perSecond: 165, idempotent: 0.36, service: 190 * time.Millisecond,
	grayShare: 0.3, grayDuration: 2700 * time.Millisecond, duration: 20 * time.Second,
	failureLatency: time.Millisecond,
}

// With a third of the servers gray at a time, selection by load alone fails more than a
// fifth of the requests. The floor is 0.7 of the servers, and non-idempotent requests
// cannot be retried.
func TestNonIdempotentRequestsRarelyReachGrayServers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		result := typicalLoad.run(seed)
		is.True(result.nonIdempotent > 1500)
		is.Equal(result.rejected, 0)
		if share := float64(result.failed) / float64(result.nonIdempotent); share > 0.04 {
			t.Errorf("seed %d: %d of %d non-idempotent requests failed", seed, result.failed, result.nonIdempotent)
		}
	}
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	load := typicalLoad
	load.perSecond = 700 // more than the capacity of all slots
	load.duration = 3 * time.Second
	for name, maxInUse := range load.run(1).maxInUse {
		if maxInUse > load.slots {
			t.Errorf("%s had %d requests at once, slots %d", name, maxInUse, load.slots)
		}
	}
}

func TestUrgentRequestsAreServedFirst(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	view := poolView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	newRequest := func(id uint64, rank int) Request {
		return Request{VM: "e", ID: id, Rank: rank, Workspace: fmt.Sprint("w", id), Objective: startTime.Add(time.Minute), Deadline: startTime.Add(time.Minute)}
	}
	is.Equal(s.place(newRequest(1, 2), view, startTime).Target, "s")
	is.True(s.place(newRequest(2, 2), view, startTime).Queued)
	is.True(s.place(newRequest(3, 0), view, startTime).Queued)
	s.done(Key{"e", 1}, health.Result{Kind: health.OK, Latency: 100 * time.Millisecond}, startTime)
	placements := s.placeQueued(view, startTime)
	is.Equal(len(placements), 1)
	is.Equal(placements[0].Request.ID, uint64(3))
}

// A request that cannot be answered in time must be rejected immediately, not when its
// deadline passes.
func TestRequestsThatCannotMeetTheirDeadlineAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	view := poolView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	short := Request{VM: "e", ID: 1, Objective: startTime.Add(300 * time.Millisecond), Deadline: startTime.Add(300 * time.Millisecond)}
	is.Equal(s.place(short, view, startTime).Target, "s")
	short.ID = 2
	r := s.place(short, view, startTime)
	is.Equal(r.Target, "")
	is.True(!r.Queued)
	is.True(r.RetryAfter > 0)
}

func TestSlotsOfLostEntriesAreReleased(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	view := poolView{
		targets: []fleet.Target{{Name: "s", Slots: 1, Boot: 1}}, ramp: func(string) *Ramp { return nil },
	}
	req := Request{VM: "e", ID: 1, Objective: startTime.Add(time.Second), Deadline: startTime.Add(time.Second)}
	is.Equal(s.place(req, view, startTime).Target, "s")
	s.tick(view, startTime.Add(time.Second+abandonedAfter+1))
	is.Equal(s.byName["s"].inUse, 0)
}

// A cold server can take only a few requests per second. A new holder must respect that
// rate from its first request on.
func TestSchedulerEnforcesTheRateOfColdServers(t *testing.T) {
	is := is.New(t)
	const rate = 9.2
	ramp := NewRamp(100, 100, 3*time.Second).WithRate(rate)
	view := poolView{
		targets: []fleet.Target{{Name: "s", Slots: 100, Boot: 1}}, ramp: func(string) *Ramp { return ramp },
	}
	s := newScheduler()
	assigned := 0
	for id := range uint64(100) {
		req := Request{VM: "e", ID: id, Idempotent: true, Objective: startTime.Add(time.Second), Deadline: startTime.Add(time.Second)}
		if s.place(req, view, startTime.Add(time.Duration(id)*time.Millisecond)).Target != "" {
			assigned++
			s.done(req.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, startTime)
		}
	}
	is.True(assigned <= 10)
	is.True(assigned >= 9)
}

// The retry of an idempotent request must go to the server with the latest success, not to
// another one whose state is doubtful.
func TestRetriesGoToHealthyServers(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }}
	for _, name := range []string{"old", "proven", "failed", "doubtful"} {
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: 4, Boot: 1})
	}
	s := newScheduler(retry.Slack(60, func() int { return 1 }))
	s.sync(view, startTime)
	now := startTime.Add(5 * time.Second)
	s.observe("e", assignment{server: s.byName["proven"], since: now}, health.Result{Kind: health.OK}, now)
	s.observe("e", assignment{server: s.byName["failed"], since: now}, health.Result{Kind: health.Failed}, now)
	req := Request{VM: "e", ID: 1, Idempotent: true, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
	is.Equal(s.place(req, view, now).Target, "old") // the server with the oldest result
	req.ID, req.Avoid = 2, []string{"old"}
	is.Equal(s.place(req, view, now).Target, "proven")
}

// Retries are counted by the holder, where the requests of all entries meet. Otherwise an
// entry with few requests would run out of retries while the fleet has many left.
func TestRetriesShareOneBudget(t *testing.T) {
	is := is.New(t)
	s := newScheduler(retry.Ratio(0.18), retry.Slack(60, func() int { return 1 }))
	view := poolView{
		targets: []fleet.Target{{Name: "a", Slots: 1000, Boot: 1}, {Name: "b", Slots: 1000, Boot: 1}},
		ramp:    func(string) *Ramp { return nil },
	}
	retries := 0
	for id := range uint64(500) {
		req := Request{VM: "e", ID: id, Idempotent: true, Avoid: []string{"a"}, Arrived: true, Objective: startTime.Add(time.Second), Deadline: startTime.Add(time.Second)}
		if s.place(req, view, startTime).Target != "" {
			retries++
		}
	}
	is.True(retries >= 42)       // the slack is available from the start
	is.True(retries <= 60+500/5) // the limit holds
}

// An attempt that reached no server has caused no load: after the loss of a zone, every
// request may look for a reachable server.
func TestAttemptsThatReachedNoServerAreNotCharged(t *testing.T) {
	is := is.New(t)
	s := newScheduler(retry.Ratio(0), retry.Slack(0, func() int { return 1 }))
	s.budget.Withdraw() // the last token
	view := poolView{
		targets: []fleet.Target{{Name: "a", Slots: 1000, Boot: 1}, {Name: "b", Slots: 1000, Boot: 1}},
		ramp:    func(string) *Ramp { return nil },
	}
	req := Request{VM: "e", ID: 1, Avoid: []string{"a"}, Objective: startTime.Add(time.Second), Deadline: startTime.Add(time.Second)}
	is.Equal(s.place(req, view, startTime).Target, "b")
	req.ID, req.Arrived = 2, true
	is.Equal(s.place(req, view, startTime).Target, "")
}

// Half of the servers shed all requests, a holder is replaced, and entries choose locally
// in between. All retries together must stay within the limit.
func TestCombinedRetryBudgetsStayWithinTheLimit(t *testing.T) {
	const (
		entries    = 40
		requests   = 2886 // in a window of 10 s
		localShare = 10   // one in this many requests arrives while there is no holder
		ratio      = 0.2
		slack      = 60.0
	)
	granted := 0
	withdrawAll := func(b *retry.Budget, requests int) {
		for range requests {
			b.Deposit()
			for b.Withdraw() {
				granted++
			}
		}
	}
	for range 2 { // the first holder and its successor
		withdrawAll(retry.NewBudget(retry.Ratio(0.75*ratio), retry.Slack(slack, func() int { return 1 })), requests/2)
	}
	for range entries {
		b := retry.NewBudget(retry.Ratio(0.75*ratio), retry.Slack(slack, func() int { return entries }))
		withdrawAll(b, requests/localShare/entries)
	}
	if limit := ratio*requests + slack; float64(granted) > limit {
		t.Errorf("%d retries, %.0f allowed", granted, limit)
	}
}

// New connections are expensive for the servers, and request bodies sent to another data
// centre are expensive for the network. Both count among equally healthy servers.
func TestOpenConnectionsAndTheLocalDataCentreArePreferred(t *testing.T) {
	is := is.New(t)
	view := poolView{idleTimeout: 4 * time.Second, ramp: func(string) *Ramp { return nil }}
	for i, dataCentre := range []string{"far", "near", "near"} {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), DataCentre: dataCentre, Slots: 4, Boot: 1})
	}
	s := newScheduler()
	req := Request{VM: "e", ID: 1, DataCentre: "near", Bytes: 60_000, Objective: startTime.Add(time.Second), Deadline: startTime.Add(time.Second)}
	first := s.place(req, view, startTime).Target
	is.True(first != "s0")
	s.done(req.key(), health.Result{Kind: health.OK, Latency: time.Millisecond}, startTime)
	req.ID = 2
	is.Equal(s.place(req, view, startTime.Add(time.Second)).Target, first)
	s.observe("e", assignment{server: s.byName[first]}, health.Result{Kind: health.Failed}, startTime.Add(time.Second))
	req.ID = 3
	is.True(s.place(req, view, startTime.Add(time.Second)).Target != first) // health takes precedence
}

// floorLoad is a load under which no server may be without requests for long.
type floorLoad struct {
	servers, slots int
	perSecond      float64
	idempotent     float64
	grayDuration   time.Duration // duration of a gray failure
	grayInterval   time.Duration // interval between gray failures of a server
	errorRate      float64       // share of requests that fail at any server
}

// run simulates the load. It returns the smallest share of servers that received requests
// in any window, and the share of non-idempotent requests that failed.
func (l floorLoad) run(seed uint64, window time.Duration) (minShare, failed float64) {
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(seed, 11))
	view := poolView{idleTimeout: 4 * time.Second, floor: 0.7, ramp: func(string) *Ramp { return nil }}
	phase := make(map[string]time.Duration)
	for i := range l.servers {
		name := fmt.Sprint("s", i)
		view.targets = append(view.targets, fleet.Target{Name: name, Slots: l.slots, Boot: 1, DataCentre: fmt.Sprint(i % 3)})
		phase[name] = time.Duration(random.Int64N(int64(l.grayInterval)))
	}
	s := newScheduler()
	lastRequest := make(map[string]time.Time)
	var running []completion
	minShare = 1
	nonIdempotent, failures := 0, 0
	for id, now := uint64(0), startTime; now.Sub(startTime) < 30*time.Second; now = now.Add(step) {
		running = finishDue(s, running, now)
		if now.Sub(startTime) > 3*window {
			used := 0
			for _, at := range lastRequest {
				if now.Sub(at) < window {
					used++
				}
			}
			minShare = min(minShare, float64(used)/float64(l.servers))
		}
		if random.Float64() >= l.perSecond*step.Seconds() {
			continue
		}
		id++
		req := Request{
			VM: fmt.Sprint("e", random.IntN(44)), DataCentre: fmt.Sprint(random.IntN(3)), ID: id, Bytes: 4000,
			Idempotent: random.Float64() < l.idempotent,
			Objective:  now.Add(600 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond),
		}
		r := s.place(req, view, now)
		if r.Target == "" {
			continue
		}
		lastRequest[r.Target] = now
		e := completion{key: req.key(), target: r.Target, kind: health.OK, latency: 150 * time.Millisecond}
		gray := (now.Sub(startTime)+phase[r.Target])%l.grayInterval < l.grayDuration
		if gray && random.Float64() < 0.9 || random.Float64() < l.errorRate {
			e.kind, e.latency = health.Failed, time.Millisecond
		}
		if !req.Idempotent {
			nonIdempotent++
			if e.kind == health.Failed {
				failures++
			}
		}
		e.at = now.Add(e.latency)
		running = append(running, e)
	}
	return minShare, float64(failures) / float64(nonIdempotent)
}

// floorWindow is the window over which operators check the floor.
const floorWindow = 2 * time.Second

// The pool has more servers than idempotent requests per second, a third of them are gray
// for some seconds at a time, and a tenth of the requests fail everywhere. It is not known
// which servers count towards the floor, so all must receive requests in any two seconds.
func TestAllServersReceiveRequestsInEveryWindow(t *testing.T) {
	load := floorLoad{
		servers: 39, slots: 3, perSecond: 110, idempotent: 0.24,
		grayDuration: 3600 * time.Millisecond, grayInterval: 12 * time.Second, errorRate: 0.1,
	}
	for seed := range uint64(5) {
		minShare, failed := load.run(seed, floorWindow)
		t.Logf("seed %d: %.3f of the non-idempotent requests failed", seed, failed)
		if minShare < 1 {
			t.Errorf("seed %d: only %.2f of the servers received requests in some window", seed, minShare)
		}
	}
}

// A small pool receives only non-idempotent requests, some of which fail everywhere. The
// floor must still be met.
func TestFloorReceivesRequestsWithoutIdempotentTraffic(t *testing.T) {
	uploads := floorLoad{
		servers: 6, slots: 3, perSecond: 14, grayDuration: 1, grayInterval: 12 * time.Second, errorRate: 0.15,
	}
	for seed := range uint64(5) {
		minShare, failed := uploads.run(seed, floorWindow)
		t.Logf("seed %d: %.3f of the non-idempotent requests failed", seed, failed)
		if minShare < 0.7 {
			t.Errorf("seed %d: only %.2f of the servers received requests in some window", seed, minShare)
		}
	}
}

// Guards against a pool that keeps requests from sound servers, because one without requests that may be
// repeated learns nothing of doubtful ones (FLOOR): it is not known which servers count towards the floor.
func TestDoubtfulServersAreTriedWithoutIdempotentTraffic(t *testing.T) {
	uploads := floorLoad{
		servers: 60, slots: 4, perSecond: 160, grayDuration: 3600 * time.Millisecond, grayInterval: 12 * time.Second, errorRate: 0.15,
	}
	for seed := range uint64(5) {
		minShare, failed := uploads.run(seed, floorWindow)
		t.Logf("seed %d: %.3f of the requests failed, least share of servers %.2f", seed, failed, minShare)
		if minShare < 1 {
			t.Errorf("seed %d: only %.2f of the servers received requests in some window", seed, minShare)
		}
	}
}

// Operators allow retries in proportion to the requests of callers. Retries, and requests that
// another cell has passed on after counting them, are no further requests.
func TestOnlyFirstAttemptsEarnRetries(t *testing.T) {
	is := is.New(t)
	view := poolView{ramp: func(string) *Ramp { return nil }, targets: []fleet.Target{{Name: "b1", Slots: 1000, Boot: 1}, {Name: "b2", Slots: 1000, Boot: 1}}}
	const requests = 400
	s := newScheduler(retry.Ratio(0.2), retry.Burst(1000))
	now := startTime
	place := func(id uint64, arrived, forwarded bool) bool {
		return s.place(Request{VM: "e1", ID: id, Idempotent: true, Arrived: arrived, Forwarded: forwarded, Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}, view, now).Target != ""
	}
	for id := range uint64(requests) {
		is.True(place(id, false, false))
		is.True(place(requests+id, false, true))
	}
	is.True(place(3*requests, true, true)) // its own cell has charged it
	retries := 0
	for id := uint64(4 * requests); place(id, true, false); id++ {
		retries++
	}
	is.Equal(retries, requests/5)
}

// Guards against slots that stay in use for good, because an entry that started again numbers
// its requests like its previous start (77feffd).
func TestSlotsOfAnEarlierStartAreGivenBack(t *testing.T) {
	is := is.New(t)
	s, view := newScheduler(), poolView{ramp: func(string) *Ramp { return nil }}
	for i := range 3 {
		view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 4, Boot: 1})
	}
	now := startTime
	for range 9 { // starts of the entry, each of which ends before its first request does
		placed := s.place(Request{VM: "e1", ID: 1, Workspace: "w", Deadline: now.Add(time.Second)}, view, now)
		is.True(placed.Target != "")
		now = now.Add(10 * time.Millisecond)
	}
	inUse := func() (n int) {
		for _, srv := range s.servers {
			n += srv.inUse
		}
		return n
	}
	is.Equal(inUse(), 1)
	s.tick(view, now.Add(time.Minute))
	is.Equal(inUse(), 0)
	is.Equal(len(s.running), 0)
}

// Guards against any order of events after which the slots in use are not those of the requests
// that run.
func TestSlotsInUseAreThoseOfRunningRequests(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 37))
		s, view := newScheduler(), poolView{ramp: func(string) *Ramp { return nil }}
		for i := range 4 {
			view.targets = append(view.targets, fleet.Target{Name: fmt.Sprint("s", i), Slots: 3, Boot: 1})
		}
		now := startTime
		var sent []Key // also of requests that have ended: their messages may come late
		lastID := [3]uint64{}
		for range 400 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			e := random.IntN(len(lastID))
			switch random.IntN(6) {
			case 0, 1, 2:
				lastID[e]++
				req := Request{VM: fmt.Sprint("e", e), ID: lastID[e], Workspace: fmt.Sprint("w", random.IntN(2)), Deadline: now.Add(time.Second)}
				s.place(req, view, now)
				sent = append(sent, req.key())
			case 3, 4:
				if len(sent) > 0 {
					kinds := []health.Kind{health.OK, health.Failed, health.Torn, health.Cancelled, ""}
					s.done(sent[random.IntN(len(sent))], health.Result{Kind: kinds[random.IntN(len(kinds))]}, now)
				}
			default:
				lastID[e] = 0 // the entry has started again
				s.tick(view, now)
			}
			s.placeQueued(view, now)
			inUse := 0
			for _, srv := range s.servers {
				is.True(srv.inUse >= 0)
				inUse += srv.inUse
			}
			is.Equal(inUse, len(s.assignments))
		}
		s.queue = nil
		s.tick(view, now.Add(time.Minute))
		is.Equal(len(s.assignments), 0)
	}
}
