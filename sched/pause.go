package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// This file keeps the pauses that servers name when they reject requests. A pause is between one
// entry and one server: it says that the server has no room for that entry, and the share of
// rejections (server.shed) steers the others. It ends with the time named, or with the next start
// of the server.

// pause notes that the server wants nothing from an entry until a time.
func (srv *server) pause(entry int, until time.Time) {
	if srv.pauses == nil {
		srv.pauses = make(map[int]time.Time)
	}
	if until.After(srv.pauses[entry]) {
		srv.pauses[entry] = until
	}
}

// paused reports whether the server wants nothing from an entry at present.
func (srv *server) paused(entry int, now time.Time) bool {
	if len(srv.pauses) == 0 {
		return false
	}
	until, known := srv.pauses[entry]
	if known && !now.Before(until) {
		delete(srv.pauses, entry)
		return false
	}
	return known
}

// recordPause notes the pause that a server has named to an entry.
func (s *scheduler) recordPause(vm string, srv *server, r health.Result, now time.Time) {
	if r.Pause > 0 {
		srv.pause(s.entry(vm), now.Add(r.Pause))
	}
}

// allPaused returns the time until the first server wants something from an entry again, if none
// does at present.
func (s *scheduler) allPaused(req Request, now time.Time) (time.Duration, bool) {
	entry, sides, total := s.entry(req.VM), s.versions.sides(req), 0
	var shortest time.Duration
	for _, srv := range s.servers {
		if !s.versions.hasAny(sides, srv) {
			continue
		}
		total++
		if !srv.paused(entry, now) {
			return 0, false
		}
		if left := srv.pauses[entry].Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest, total > 0
}
