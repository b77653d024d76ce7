package proxy

import (
	"sync"
	"time"
)

const (
	// maxPauses is the number of times that a request waits for a further attempt, and firstPause
	// the first wait, which doubles. Within them 0.28 s pass: a retry budget of one in five is paid
	// into some ten times at 200 requests per second, and servers that were full have answered.
	maxPauses  = 3
	firstPause = 40 * time.Millisecond
	// pauseSpread is the part of a wait that is drawn at random, so that requests that were turned
	// away together do not come back together.
	pauseSpread = 0.5
	// maxMisses is the number of waits in vain, with none that was rewarded, after which requests of
	// this VM wait no longer, and probeEvery that of requests of which one finds out whether it pays again.
	maxMisses  = 16
	probeEvery = 32
)

// pauses decides when a request whose further attempt was refused, by the retry budget or because
// no server was free, asks again.
//
// The load that it answers: servers reject what they have not read, or answer at addresses that
// were another's, for some seconds, and the retry budget, which first attempts pay into, is empty
// at the moment of the failure. The request has most of its time left, and one of the next requests
// pays for it. A request that asks again too often would crowd out others, and one that cannot be
// answered in time any more gains nothing by waiting: it is refused at once.
type pauses struct {
	taken int
}

// next returns the time to wait for another try, or false if there is no use in waiting. The
// refusal said to come back after some time, 0 if it did not; an answer usually takes the usual
// time and has to arrive within what is left; random is in [0, 1).
func (p *pauses) next(after, usual, left time.Duration, random float64) (time.Duration, bool) {
	if p.taken == maxPauses {
		return 0, false
	}
	wait := max(after, firstPause<<p.taken)
	wait += time.Duration(pauseSpread * random * float64(wait))
	if wait+usual >= left {
		return 0, false
	}
	p.taken++
	return wait, true
}

// prospect decides whether waiting pays at present.
//
// The load that it answers: all servers of a pool fail or are full. The budget stays empty then, and
// each request would wait in vain before its caller hears of the failure.
type prospect struct {
	mu              sync.Mutex
	misses, skipped int
}

func (p *prospect) allows() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misses < maxMisses {
		return true
	}
	p.skipped++
	return p.skipped%probeEvery == 0
}

// note notes whether a request that had waited got a further attempt.
func (p *prospect) note(granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.misses++; granted {
		p.misses = 0
	}
}
