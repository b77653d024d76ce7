package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1_700_000_000, 0)

// pathLoad is a network between an entry and its servers, and the entry's connections.
type pathLoad struct {
	servers int
	// reachable reports whether a server is reached at a time.
	reachable func(server int, now time.Time) bool
	// dialEvery is the time between two connections of requests.
	dialEvery time.Duration
	duration  time.Duration
}

// run returns the times at which the belief changed, and the connections of probes.
func (l pathLoad) run() (changes []time.Duration, probes int) {
	p := newPath()
	server := 0
	next := func() int { server = (server*7 + 3) % l.servers; return server }
	lastDial := startTime
	for now := startTime; now.Sub(startTime) < l.duration; now = now.Add(Period) {
		if now.Sub(lastDial) >= l.dialEvery && !p.cutOff {
			lastDial = now
			if s := next(); l.reachable(s, now) {
				p.connected()
			} else {
				p.failed(fmt.Sprint(s), now)
			}
		}
		if !p.probeDue(false, now) {
			continue
		}
		reached, count := 0, p.probeCount()
		for range count {
			probes++
			if l.reachable(next(), now) {
				reached++
			}
		}
		if p.probed(count, reached, now.Add(connectTimeout)) {
			changes = append(changes, now.Sub(startTime))
		}
	}
	return changes, probes
}

func TestEntryKnowsWithinASecondThatItIsCutOffAndThatItReturns(t *testing.T) {
	is := is.New(t)
	from, to := startTime.Add(4*time.Second), startTime.Add(16*time.Second)
	changes, _ := pathLoad{
		servers: 33, dialEvery: 200 * time.Millisecond, duration: 30 * time.Second,
		reachable: func(_ int, now time.Time) bool { return now.Before(from) || !now.Before(to) },
	}.run()
	is.Equal(len(changes), 2)
	is.True(changes[0] < 5*time.Second)
	is.True(changes[1] < 17*time.Second)
}

// A third of the servers is lost, or the path to them. The entry still reaches the others.
func TestLossOfSomeServersIsNoCut(t *testing.T) {
	is := is.New(t)
	changes, probes := pathLoad{
		servers: 31, dialEvery: 100 * time.Millisecond, duration: time.Minute,
		reachable: func(server int, _ time.Time) bool { return server%3 != 0 },
	}.run()
	is.Equal(len(changes), 0)
	is.True(probes < 120) // connections to servers are dear
}

func TestCalmEntryDoesNotProbe(t *testing.T) {
	is := is.New(t)
	changes, probes := pathLoad{
		servers: 31, dialEvery: 100 * time.Millisecond, duration: time.Minute, reachable: func(int, time.Time) bool { return true },
	}.run()
	is.Equal(len(changes)+probes, 0)
}

// A cut that comes and goes twice a second must not make the entry change its belief as often.
func TestUnsteadyPathDoesNotFlap(t *testing.T) {
	is := is.New(t)
	changes, _ := pathLoad{
		servers: 31, dialEvery: 100 * time.Millisecond, duration: 20 * time.Second,
		reachable: func(_ int, now time.Time) bool {
			return now.Sub(startTime)%(500*time.Millisecond) < 150*time.Millisecond
		},
	}.run()
	is.True(len(changes) <= 8)
}

func TestHintIsCheckedWithOneConnection(t *testing.T) {
	is := is.New(t)
	p := newPath()
	is.True(p.probeDue(true, startTime))
	is.Equal(p.probeCount(), 1)
	is.True(!p.probeDue(true, startTime)) // one at a time
	is.True(!p.probed(1, 1, startTime))
	is.True(!p.probeDue(true, startTime.Add(time.Second)))
	is.True(p.probeDue(true, startTime.Add(calmProbeInterval)))
	is.True(!p.probed(1, 0, startTime.Add(calmProbeInterval)))
	is.True(p.probeDue(false, startTime.Add(calmProbeInterval)))
	is.Equal(p.probeCount(), probesToConfirm)
	is.True(p.probed(probesToConfirm, 0, startTime.Add(calmProbeInterval)))
	is.True(p.cutOff)
}
