package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// pathFailureTTL is how long a failure between an entry and a server counts. Network
// partitions last some seconds; afterwards each entry tries the server again.
const pathFailureTTL = 4 * time.Second

// paths tracks failures of the network paths between entries and servers.
//
// When some entries lose connectivity, or most of their packets, to some servers, both
// sides still work for everyone else. An entry sends one server a single request in
// several seconds, too few to assess each path by itself. But such failures share
// their endpoints: the same entries have failures with the same servers. An entry with
// a failure on any path is therefore kept from all servers with a failure on any path.
type paths struct {
	entryFailures  map[string]time.Time
	serverFailures map[string]time.Time
	// lastAnswer is the most recent answer of each server, with the entry that received it.
	lastAnswer map[string]serverAnswer
}

type serverAnswer struct {
	vm string
	at time.Time
}

func newPaths() *paths {
	return &paths{
		entryFailures: make(map[string]time.Time), serverFailures: make(map[string]time.Time), lastAnswer: make(map[string]serverAnswer),
	}
}

// recordResult adds the result of a request that an entry sent to a server at the given
// time. It reports whether the path is to blame rather than the server: no answer
// arrived, but the server has answered another entry since.
func (p *paths) recordResult(vm, server string, kind health.Kind, sent, now time.Time) bool {
	switch kind {
	case health.OK, health.Failed:
		p.lastAnswer[server] = serverAnswer{vm, now}
		return false
	case health.Late, health.TimedOut, health.Unreachable:
	default:
		return false
	}
	if !p.answeredOther(vm, server, sent) {
		return false
	}
	p.entryFailures[vm], p.serverFailures[server] = now, now
	return true
}

// answeredOther reports whether a server has answered another entry since a request was sent.
func (p *paths) answeredOther(vm, server string, sent time.Time) bool {
	last, known := p.lastAnswer[server]
	return known && last.vm != vm && last.at.After(sent)
}

// entryImpaired and serverImpaired report whether an entry or a server has had a failure on
// some path. A path between two such ones should be avoided.
func (p *paths) entryImpaired(vm string, now time.Time) bool { return recent(p.entryFailures, vm, now) }

func (p *paths) serverImpaired(server string, now time.Time) bool {
	return recent(p.serverFailures, server, now)
}

func recent(failures map[string]time.Time, name string, now time.Time) bool {
	at, failed := failures[name]
	if failed && now.Sub(at) > pathFailureTTL {
		delete(failures, name)
		return false
	}
	return failed
}

// forget removes a server that has left the pool.
func (p *paths) forget(server string) {
	delete(p.serverFailures, server)
	delete(p.lastAnswer, server)
}
