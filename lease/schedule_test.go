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
	restartWait   = flag.Bool("restart-wait", true, "restarted voters grant nothing for the duration of a lease")
	driftPart     = flag.Float64("drift", 0.02, "largest difference of clock rates from 1")
)

const (
	scheduleSteps = 800
	scheduleName  = "shard"
)

// skewedClock is the clock of one VM, with a rate and an offset of its own.
type skewedClock struct {
	rate   float64
	offset time.Duration
}

// at returns the clock's reading after an elapsed true time.
func (c skewedClock) at(elapsed time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(c.offset + time.Duration(float64(elapsed)*c.rate))
}

// message is a message that has not been delivered yet.
type message struct {
	due   time.Duration
	owner int
	voter int
	seq   uint64
	boot  uint64
	// grants is nil for a request.
	grants  []Grant
	release bool
}

// schedule runs owners and voters with clock skew and random message delays, losses,
// duplicates, restarts and pauses.
type schedule struct {
	random      *rand.Rand
	elapsed     time.Duration
	owners      []*Holder
	boots       []uint64
	clocks      []skewedClock // owners, then voters
	voters      []*Voter
	voterNames  []string
	messages    []message
	pausedUntil []time.Duration // owners neither send nor receive answers before this
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 1))}
	voters := []int{1, 3, 5}[s.random.IntN(3)]
	for range 3 {
		s.owners = append(s.owners, NewHolder())
		s.boots = append(s.boots, 1)
		s.pausedUntil = append(s.pausedUntil, 0)
		s.clocks = append(s.clocks, s.newClock())
	}
	for i := range voters {
		s.clocks = append(s.clocks, s.newClock())
		s.voterNames = append(s.voterNames, fmt.Sprint("v", i))
		s.voters = append(s.voters, NewVoter(time.Time{}))
	}
	return s
}

func (s *schedule) newClock() skewedClock {
	drift := (2*s.random.Float64() - 1) * *driftPart
	return skewedClock{rate: 1 + drift, offset: time.Duration(s.random.Int64N(int64(time.Hour)))}
}

func (s *schedule) ownerNow(i int) time.Time { return s.clocks[i].at(s.elapsed) }
func (s *schedule) voterNow(i int) time.Time { return s.clocks[len(s.owners)+i].at(s.elapsed) }

func (s *schedule) step() {
	s.elapsed += time.Duration(s.random.Int64N(int64(100 * time.Millisecond)))
	switch n := s.random.IntN(100); {
	case n < 30:
		s.request(s.random.IntN(len(s.owners)))
	case n < 33:
		s.release(s.random.IntN(len(s.owners)))
	case n < 35:
		s.restartVoter(s.random.IntN(len(s.voters)))
	case n < 36:
		i := s.random.IntN(len(s.owners))
		s.owners[i], s.boots[i] = NewHolder(), s.boots[i]+1
	case n < 38:
		s.pausedUntil[s.random.IntN(len(s.owners))] = s.elapsed + time.Duration(s.random.Int64N(int64(2*Duration)))
	}
	s.deliver()
}

func (s *schedule) request(i int) {
	if s.elapsed < s.pausedUntil[i] {
		return
	}
	seq := s.owners[i].StartRound([]string{scheduleName}, s.voterNames, s.ownerNow(i))
	for v := range s.voters {
		s.send(message{owner: i, voter: v, seq: seq, boot: s.boots[i]})
	}
}

func (s *schedule) release(i int) {
	if s.elapsed < s.pausedUntil[i] {
		return
	}
	seq := s.owners[i].Release([]string{scheduleName})
	for v := range s.voters {
		s.send(message{owner: i, voter: v, seq: seq, boot: s.boots[i], release: true})
	}
}

func (s *schedule) restartVoter(i int) {
	startupWaitEnd := s.voterNow(i).Add(Duration)
	if !*restartWait {
		startupWaitEnd = time.Time{}
	}
	s.voters[i] = NewVoter(startupWaitEnd)
}

// send sends a message with a random delay, drops it or duplicates it.
func (s *schedule) send(m message) {
	for range 1 + s.random.IntN(20)/19 {
		delay := time.Duration(s.random.Int64N(int64(60 * time.Millisecond)))
		if s.random.IntN(10) == 0 {
			delay = time.Duration(s.random.Int64N(int64(2 * Duration)))
		}
		m.due = s.elapsed + delay
		if s.random.IntN(10) != 0 {
			s.messages = append(s.messages, m)
		}
	}
}

func (s *schedule) deliver() {
	var later []message
	pending := s.messages
	s.messages = nil
	for _, m := range pending {
		if m.due > s.elapsed || m.grants != nil && s.elapsed < s.pausedUntil[m.owner] {
			later = append(later, m)
			continue
		}
		s.handle(m)
	}
	s.messages = append(s.messages, later...)
}

func (s *schedule) handle(m message) {
	names := []string{scheduleName}
	owner := Owner{VM: fmt.Sprint("o", m.owner), Boot: m.boot}
	switch {
	case m.release:
		s.voters[m.voter].Release(owner, m.seq, names, s.voterNow(m.voter))
	case m.grants != nil && m.boot != s.boots[m.owner]:
	case m.grants != nil:
		if _, unusable := s.owners[m.owner].HandleAnswer(s.voterNames[m.voter], m.seq, m.grants, s.ownerNow(m.owner)); len(unusable) > 0 {
			s.release(m.owner)
		}
	default:
		if s.random.IntN(10) == 0 {
			s.voters[m.voter].Contest(owner, names, s.voterNow(m.voter))
		}
		m.grants = s.voters[m.voter].Acquire(owner, m.seq, names, s.voterNow(m.voter))
		s.send(m)
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

func TestNoTwoOwnersHoldALease(t *testing.T) {
	held := 0
	for seed := *scheduleSeed; seed < *scheduleSeed+uint64(*scheduleCount); seed++ {
		s := newSchedule(seed)
		for step := range scheduleSteps {
			s.step()
			n := s.holders()
			held += n
			if n > 1 {
				t.Fatalf("seed %d, step %d: %d owners hold the lease at the same time", seed, step, n)
			}
		}
	}
	if held == 0 {
		t.Fatal("no lease was ever held")
	}
}

// Three owners repeatedly request the same name at the same time and split the votes. One
// of them must win the lease within a second. Without the release of split votes each
// owner keeps renewing its grants, and none gets a majority.
func TestSplitVoteIsResolved(t *testing.T) {
	for range 50 {
		if wonAfter := resolveSplitVote(7); wonAfter == 0 || wonAfter > time.Second {
			t.Fatalf("lease won after %s, want within 1 s", wonAfter)
		}
	}
}

// A data centre is lost with some of the voters, and with the holders of leases. The entries
// that want them split the votes of the others; each kept its grants, since the lost voters
// had not refused.
func TestSplitVoteIsResolvedWhileVotersAreLost(t *testing.T) {
	for _, alive := range []int{6, 5, 4} {
		for range 50 {
			if wonAfter := resolveSplitVote(alive); wonAfter == 0 || wonAfter > 2*time.Second {
				t.Fatalf("%d of 7 voters alive: lease won after %s, want within 2 s", alive, wonAfter)
			}
		}
	}
}

// resolveSplitVote returns the time after which one of three owners that have split the votes
// wins a lease, or 0 if none does. The other ones of seven voters do not answer.
func resolveSplitVote(alive int) time.Duration {
	const voterCount, step = 7, 5 * time.Millisecond
	var names []string
	for i := range voterCount {
		names = append(names, fmt.Sprint("v", i))
	}
	var voters []*Voter
	for range alive {
		voters = append(voters, NewVoter(time.Time{}))
	}
	owners := []*Holder{NewHolder(), NewHolder(), NewHolder()}
	start := time.Unix(9000, 0)
	for now := start; now.Sub(start) < 5*time.Second; now = now.Add(step) {
		for i, owner := range owners {
			id := Owner{VM: fmt.Sprint("o", i), Boot: 1}
			release := func(split []string) {
				seq := owner.Release(split)
				for _, voter := range voters {
					voter.Release(id, seq, split, now)
				}
			}
			if now.Sub(start)%Period != 0 || owner.BackingOff(scheduleName, now) {
				continue
			}
			if undecided, _ := owner.TakeUndecided([]string{scheduleName}, now); len(undecided) > 0 {
				release(undecided)
				continue
			}
			seq := owner.StartRound([]string{scheduleName}, names, now)
			for v, voter := range voters {
				if now.Equal(start) && v%len(owners) != i {
					continue // another owner's first request reached this voter earlier
				}
				_, split := owner.HandleAnswer(names[v], seq, voter.Acquire(id, seq, []string{scheduleName}, now), now)
				if len(split) > 0 {
					release(split)
					break
				}
			}
			if _, held := owner.Held(scheduleName, now); held {
				return now.Sub(start)
			}
		}
	}
	return 0
}
