package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	scheduleCount = flag.Int("schedules", 2000, "number of random schedules")
	scheduleSeed  = flag.Uint64("seed", 1, "seed of the first schedule")
	restartWait   = flag.Bool("restart-wait", true, "restarted voters wait for one duration")
	driftPart     = flag.Float64("drift", 0.02, "largest difference of clock rates from 1")
)

const (
	scheduleSteps = 800
	scheduleName  = "shard"
)

// machine is a VM of a schedule with its own clock rate.
type machine struct {
	rate   float64
	offset time.Duration
}

// at returns the machine's clock at an instant of true time.
func (m machine) at(elapsed time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(m.offset + time.Duration(float64(elapsed)*m.rate))
}

// parcel is a message on its way.
type parcel struct {
	due   time.Duration
	owner int
	voter int
	seq   uint64
	boot  uint64
	// grants is nil for a request.
	grants  []Grant
	release bool
}

// schedule runs owners and voters with random delays, losses, restarts and pauses.
type schedule struct {
	random  *rand.Rand
	elapsed time.Duration
	owners  []*Holder
	boots   []uint64
	clocks  []machine // owners, then voters
	voters  []*Voter
	names   []string
	parcels []parcel
	paused  []time.Duration // owners act on nothing before this
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1))}
	voters := []int{1, 3, 5}[s.random.IntN(3)]
	for range 3 {
		s.owners = append(s.owners, NewHolder())
		s.boots = append(s.boots, 1)
		s.paused = append(s.paused, 0)
		s.clocks = append(s.clocks, s.clock())
	}
	for i := range voters {
		s.clocks = append(s.clocks, s.clock())
		s.names = append(s.names, fmt.Sprint("v", i))
		s.voters = append(s.voters, NewVoter(time.Time{}))
	}
	return s
}

func (s *schedule) clock() machine {
	drift := (2*s.random.Float64() - 1) * *driftPart
	return machine{rate: 1 + drift, offset: time.Duration(s.random.Int64N(int64(time.Hour)))}
}

func (s *schedule) ownerNow(i int) time.Time { return s.clocks[i].at(s.elapsed) }
func (s *schedule) voterNow(i int) time.Time { return s.clocks[len(s.owners)+i].at(s.elapsed) }

func (s *schedule) step() {
	s.elapsed += time.Duration(s.random.Int64N(int64(100 * time.Millisecond)))
	switch n := s.random.IntN(100); {
	case n < 30:
		s.ask(s.random.IntN(len(s.owners)))
	case n < 33:
		s.release(s.random.IntN(len(s.owners)))
	case n < 35:
		s.restartVoter(s.random.IntN(len(s.voters)))
	case n < 36:
		i := s.random.IntN(len(s.owners))
		s.owners[i], s.boots[i] = NewHolder(), s.boots[i]+1
	case n < 38:
		s.paused[s.random.IntN(len(s.owners))] = s.elapsed + time.Duration(s.random.Int64N(int64(2*Duration)))
	}
	s.deliver()
}

func (s *schedule) ask(i int) {
	if s.elapsed < s.paused[i] {
		return
	}
	seq := s.owners[i].StartRound([]string{scheduleName}, s.names, s.ownerNow(i))
	for v := range s.voters {
		s.post(parcel{owner: i, voter: v, seq: seq, boot: s.boots[i]})
	}
}

func (s *schedule) release(i int) {
	if s.elapsed < s.paused[i] {
		return
	}
	seq := s.owners[i].Release([]string{scheduleName})
	for v := range s.voters {
		s.post(parcel{owner: i, voter: v, seq: seq, boot: s.boots[i], release: true})
	}
}

func (s *schedule) restartVoter(i int) {
	silent := s.voterNow(i).Add(Duration)
	if !*restartWait {
		silent = time.Time{}
	}
	s.voters[i] = NewVoter(silent)
}

// post sends a parcel with a random delay, loses it or sends it twice.
func (s *schedule) post(p parcel) {
	for range 1 + s.random.IntN(20)/19 {
		delay := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
		if s.random.IntN(10) == 0 {
			delay = time.Duration(s.random.Int64N(int64(2 * Duration)))
		}
		p.due = s.elapsed + delay
		if s.random.IntN(10) != 0 {
			s.parcels = append(s.parcels, p)
		}
	}
}

func (s *schedule) deliver() {
	var later []parcel
	due := s.parcels
	s.parcels = nil
	for _, p := range due {
		if p.due > s.elapsed || p.grants != nil && s.elapsed < s.paused[p.owner] {
			later = append(later, p)
			continue
		}
		s.handle(p)
	}
	s.parcels = append(s.parcels, later...)
}

func (s *schedule) handle(p parcel) {
	names := []string{scheduleName}
	owner := Owner{VM: fmt.Sprint("o", p.owner), Boot: p.boot}
	switch {
	case p.release:
		s.voters[p.voter].Release(owner, p.seq, names, s.voterNow(p.voter))
	case p.grants != nil && p.boot != s.boots[p.owner]:
	case p.grants != nil:
		if _, split := s.owners[p.owner].HandleAnswer(s.names[p.voter], p.seq, p.grants, s.ownerNow(p.owner)); len(split) > 0 {
			s.release(p.owner)
		}
	default:
		p.grants = s.voters[p.voter].Acquire(owner, p.seq, names, s.voterNow(p.voter))
		s.post(p)
	}
}

// holders returns how many owners hold the lease by their own clocks.
func (s *schedule) holders() int {
	n := 0
	for i, h := range s.owners {
		if _, held := h.Held(scheduleName, s.ownerNow(i)); held {
			n++
		}
	}
	return n
}

func TestTwoOwnersNeverHoldALease(t *testing.T) {
	held := 0
	for seed := *scheduleSeed; seed < *scheduleSeed+uint64(*scheduleCount); seed++ {
		s := newSchedule(seed)
		for step := range scheduleSteps {
			s.step()
			n := s.holders()
			held += n
			if n > 1 {
				t.Fatalf("seed %d, step %d: %d owners hold the lease", seed, step, n)
			}
		}
	}
	if held == 0 {
		t.Fatal("no lease was ever held")
	}
}

// Three owners ask for the same name at the same time, again and again, and split the
// votes. One of them must have it soon, not after all have renewed their votes for as
// long as they ask.
func TestSplitVotesAreGivenBack(t *testing.T) {
	const voters, step = 7, 5 * time.Millisecond
	var names []string
	for i := range voters {
		names = append(names, fmt.Sprint("v", i))
	}
	for range 50 {
		var nodes []*Voter
		for range voters {
			nodes = append(nodes, NewVoter(time.Time{}))
		}
		owners := []*Holder{NewHolder(), NewHolder(), NewHolder()}
		start := time.Unix(9000, 0)
		won := time.Duration(0)
		for now := start; won == 0 && now.Sub(start) < 5*time.Second; now = now.Add(step) {
			for i, o := range owners {
				id := Owner{VM: fmt.Sprint("o", i), Boot: 1}
				if now.Sub(start)%Period != 0 || o.BackingOff(scheduleName, now) {
					continue
				}
				seq := o.StartRound([]string{scheduleName}, names, now)
				for v := range voters {
					if now.Equal(start) && v%len(owners) != i {
						continue // the first asks cross: another one was faster there
					}
					_, split := o.HandleAnswer(names[v], seq, nodes[v].Acquire(id, seq, []string{scheduleName}, now), now)
					if len(split) > 0 {
						seq := o.Release(split)
						for _, node := range nodes {
							node.Release(id, seq, split, now)
						}
						break
					}
				}
				if _, held := o.Held(scheduleName, now); held {
					won = now.Sub(start)
				}
			}
		}
		if won == 0 || won > time.Second {
			t.Fatalf("a lease was won after %s", won)
		}
	}
}
