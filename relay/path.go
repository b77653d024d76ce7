package relay

import (
	"fmt"
	"time"
)

const (
	// suspiciousServers is the number of servers to which no connection could be established, one
	// after another, before the others are probed.
	suspiciousServers = 2
	// failureTTL is how long a failed connection counts.
	failureTTL = 5 * time.Second
	// probesToConfirm is the number of servers that must all be out of reach.
	probesToConfirm = 3
	// probeInterval is the time between two probes, while something is wrong or this VM is cut
	// off, and calmProbeInterval that after one which found nothing.
	probeInterval     = 300 * time.Millisecond
	calmProbeInterval = 2 * time.Second
	// probesToReturn is the number of successful probes in a row that end the cut. It doubles,
	// up to maxProbesToReturn, each time that the next cut follows within unsteadyPeriod.
	probesToReturn    = 2
	maxProbesToReturn = 16
	unsteadyPeriod    = 10 * time.Second
	// relaySilence is the time without a success through any relay after which they all count as
	// failed.
	relaySilence = time.Second
)

// path is what this VM knows of its way to the backend servers. It does no I/O.
//
// The load it answers: all new connections of this VM hang or are refused, old ones hang, are
// reset or live on, while the servers are well. A single server that does not answer says
// nothing; of several, chosen by chance, most are reached unless the fault lies here.
type path struct {
	cutOff bool
	reason string
	// failures holds the time of the last failed connection to each server since the last
	// successful one to any.
	failures map[string]time.Time
	// suspected is set by a first probe that failed; more servers are probed then.
	suspected bool
	probing   bool
	nextProbe time.Time
	successes int
	// needed is the number of successes that end the present cut, returnedAt the end of the
	// previous one.
	needed     int
	returnedAt time.Time
	// lastRead is when bytes last arrived from a server without a relay.
	lastRead time.Time
	// relayFailures is the time of the first failure of a relay since the last success.
	relayFailures time.Time
}

func newPath() path { return path{failures: make(map[string]time.Time)} }

// connected notes a connection that was established without a relay.
func (p *path) connected() {
	clear(p.failures)
	p.suspected = false
}

// failed notes a connection that could not be established without a relay.
func (p *path) failed(addr string, now time.Time) { p.failures[addr] = now }

// relayed and relayFailed note whether a relay has connected to a server.
func (p *path) relayed() { p.relayFailures = time.Time{} }

func (p *path) relayFailed(now time.Time) {
	if p.relayFailures.IsZero() {
		p.relayFailures = now
	}
}

// relaysFail reports whether no relay has connected to a server for relaySilence although some
// were asked.
func (p *path) relaysFail(now time.Time) bool {
	return !p.relayFailures.IsZero() && now.Sub(p.relayFailures) >= relaySilence
}

// probeDue reports whether to probe servers now; hint is set if requests wait and nothing arrives
// from any server, or if other entries have become cut off.
func (p *path) probeDue(hint bool, now time.Time) bool {
	for addr, at := range p.failures {
		if now.Sub(at) > failureTTL {
			delete(p.failures, addr)
		}
	}
	suspicious := hint || p.suspected || len(p.failures) >= suspiciousServers
	if p.probing || now.Before(p.nextProbe) || !p.cutOff && !suspicious {
		return false
	}
	p.probing = true
	p.reason = fmt.Sprintf("%d servers not reached, hint %t", len(p.failures), hint)
	return true
}

// probeCount returns the number of servers to probe.
func (p *path) probeCount() int {
	if p.suspected || len(p.failures) >= suspiciousServers && !p.cutOff {
		return probesToConfirm
	}
	return 1
}

// probed notes the result of a probe. It reports whether this VM has become cut off, or is no
// longer.
func (p *path) probed(probes, reached int, now time.Time) bool {
	p.probing = false
	p.nextProbe = now.Add(probeInterval)
	switch {
	case probes == 0:
		return false
	case reached == 0:
		p.successes = 0
		if p.cutOff {
			return false
		}
		if probes < probesToConfirm && !p.suspected {
			p.suspected = true
			p.nextProbe = now
			return false
		}
		p.cutOff, p.suspected = true, false
		if p.needed = min(2*p.needed, maxProbesToReturn); p.needed == 0 || now.Sub(p.returnedAt) > unsteadyPeriod {
			p.needed = probesToReturn
		}
		return true
	case p.cutOff:
		p.successes++
		if p.successes < p.needed {
			return false
		}
		p.cutOff, p.successes, p.returnedAt = false, 0, now
		clear(p.failures)
		return true
	}
	clear(p.failures)
	p.suspected = false
	p.nextProbe = now.Add(calmProbeInterval)
	return false
}
