package sched

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// blameTTL is how long after a failure it can be taken back, because the entry with the
	// request turns out to be cut off.
	blameTTL = 3 * time.Second
	// maxBlames bounds the failures of a server that can be taken back.
	maxBlames = 16
	// announceDelay is the time in which an entry's announcement that it is cut off reaches the
	// holders.
	announceDelay = 300 * time.Millisecond
)

// blame is a failure that was held against a server.
type blame struct {
	vm string
	at time.Time
	// before is the estimate of the server without the failure.
	before health.Estimate
}

// cutOff tracks the entries that reach no server by themselves.
//
// The load it answers: half of the entries lose their links to all servers at once. Within the
// time that it takes them to notice, their requests fail at every server, so that none seems
// to be sound, and the entries that are not cut off are refused for want of a server.
type cutOff struct {
	// since holds the time at which each such entry announced it.
	since map[string]time.Time
}

// preceded reports whether a request of an entry was sent before the entry had announced that it
// is cut off. What became of it says nothing about the server; later ones go through relays.
func (c *cutOff) preceded(vm string, sent time.Time) bool {
	announced, known := c.since[vm]
	return known && sent.Before(announced.Add(announceDelay))
}

// setCutOff replaces the entries that are cut off. What was held against servers because of them
// alone is taken back.
func (s *scheduler) setCutOff(vms []string, now time.Time) {
	since := make(map[string]time.Time, len(vms))
	added := false
	for _, vm := range vms {
		at, known := s.cutOff.since[vm]
		if !known {
			at, added = now, true
		}
		since[vm] = at
	}
	s.cutOff.since = since
	if !added {
		return
	}
	for _, srv := range s.servers {
		srv.forgive(since, now)
	}
}

// blame holds a failure of a request against the server.
func (s *scheduler) blame(srv *server, vm string, now time.Time) {
	srv.blames = append(srv.blames, blame{vm: vm, at: now, before: srv.estimate})
	if len(srv.blames) > maxBlames {
		srv.blames = slices.Delete(srv.blames, 0, len(srv.blames)-maxBlames)
	}
	srv.estimate = srv.estimate.WithResult(s.model, true, 0, now)
}

// forgive takes back the failures of the last blameTTL if all of them are those of entries that
// are cut off.
func (srv *server) forgive(cutOff map[string]time.Time, now time.Time) {
	srv.blames = slices.DeleteFunc(srv.blames, func(b blame) bool { return now.Sub(b.at) > blameTTL })
	for _, b := range srv.blames {
		if _, cut := cutOff[b.vm]; !cut {
			return
		}
	}
	if _, cut := cutOff[srv.overdueRequest.vm]; cut {
		srv.overdueRequest = overdueRequest{}
	}
	if len(srv.blames) > 0 {
		srv.estimate, srv.silent, srv.blames = srv.blames[0].before, false, nil
	}
}
