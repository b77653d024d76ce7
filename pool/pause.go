package pool

import (
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// This file keeps the pauses that servers name to this VM when they reject requests; sched/pause.go
// has the holder's side. A pause ends with the time named, or with the next start of the server.

// localPause is the pause that a server has named to this VM.
type localPause struct {
	until time.Time
	boot  uint64
}

// left returns the rest of the pause of a server, 0 if there is none.
func (p localPause) left(t fleet.Target, now time.Time) time.Duration {
	if p.boot != t.Boot {
		return 0
	}
	return max(0, p.until.Sub(now))
}

// recordPause notes the pause that a server has named to this VM.
func (cs *cellState) recordPause(t fleet.Target, r health.Result, now time.Time) {
	if r.Pause <= 0 {
		return
	}
	if s := cs.server(t.Name); s.pause.left(t, now) < r.Pause {
		s.pause = localPause{now.Add(r.Pause), t.Boot}
	}
}

// pauseLeft returns the rest of the pause that a server has named to this VM.
func (cs *cellState) pauseLeft(t fleet.Target, now time.Time) time.Duration {
	if s := cs.servers[t.Name]; s != nil {
		return s.pause.left(t, now)
	}
	return 0
}

// withoutPaused returns the servers that want requests from this VM. If there are none, it
// returns the time until the first one does.
func (cs *cellState) withoutPaused(targets []fleet.Target, now time.Time) (kept []fleet.Target, shortest time.Duration) {
	kept = make([]fleet.Target, 0, len(targets))
	for _, t := range targets {
		left := cs.pauseLeft(t, now)
		if left == 0 {
			kept = append(kept, t)
			continue
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	if len(kept) > 0 {
		shortest = 0
	}
	return kept, shortest
}
