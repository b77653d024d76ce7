package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// server is the scheduler's state of one backend server. A decision reads the state of every
// server of the pool, so it is kept in one place instead of maps by name.
type server struct {
	name       string
	dataCentre string
	version    string
	slots      int
	boot       uint64
	estimate   health.Estimate
	inUse      int
	// ramp is set while the server is cold.
	ramp *Ramp
	// throttle is set while the server names a limit.
	throttle *throttle
	ejected  bool
	// lastAssigned is the time at which the server last received a request.
	lastAssigned time.Time
	// recent holds the times at which the server was sent requests in the last rateWindow.
	recent []time.Time
	// silent is set while the server has not answered its latest requests at all.
	silent bool
	// shed is the share of recent requests that the server rejected, as of shedAt.
	shed   float64
	shedAt time.Time
	// overdueRequest is the last request without a result that was not held against the server,
	// because one entry alone had such requests.
	overdueRequest overdueRequest
	// blames are the latest failures, which may be those of entries that are cut off.
	blames []blame
	// pauses holds, by entry, the time until which the server wants nothing from it.
	pauses map[int]time.Time
	// contacts holds the time at which each entry last received an answer from the server.
	contacts []time.Time
}

// hasFreeSlot reports whether the server can be sent a request. One that does not answer is
// sent a single request at a time until it does.
func (srv *server) hasFreeSlot(now time.Time) bool {
	if srv.freeSlots(now) == 0 || srv.silent && srv.inUse > 0 {
		return false
	}
	return srv.ramp == nil || srv.ramp.Available(now)
}

// recordAssigned records that the server is sent a request.
func (srv *server) recordAssigned(now time.Time) {
	srv.lastAssigned = now
	first := 0
	for first < len(srv.recent) && now.Sub(srv.recent[first]) >= rateWindow {
		first++
	}
	srv.recent = append(srv.recent[first:], now)
}

// freeSlots returns the number of requests that the server can be sent at once, if it works.
func (srv *server) freeSlots(now time.Time) int {
	return min(max(0, srv.slots-srv.inUse), srv.throttle.available(now))
}

// servedPerSecond returns the requests per second that the server takes while all its slots
// are in use.
func (srv *server) servedPerSecond(serviceTime time.Duration) float64 {
	served := float64(srv.slots) / max(serviceTime, time.Millisecond).Seconds()
	if srv.throttle != nil {
		served = min(served, ThrottledRate(srv.throttle.perSecond))
	}
	return served
}

// overdue reports whether the server has received no request for maxIdle, whatever its
// estimate. Ejections are decided by the failure detector, within the floor. A server whose
// limit leaves no request is not overdue: it gets what it asks for.
func (srv *server) overdue(now time.Time) bool {
	return now.Sub(srv.lastAssigned) >= maxIdle && srv.throttle.available(now) > 0
}

const (
	// shedWeight is the weight of one result in the share of rejected requests, and shedMemory
	// the time after which rejections no longer count.
	shedWeight = 0.3
	shedMemory = 3 * time.Second
	// maxShedShare is the share above which a server receives only requests that probe it.
	maxShedShare = 0.75
)

// shedShare returns the share of recent requests that the server rejected.
func (srv *server) shedShare(now time.Time) float64 {
	if srv.shed == 0 {
		return 0
	}
	return srv.shed * max(0, 1-now.Sub(srv.shedAt).Seconds()/shedMemory.Seconds())
}

// rejecting reports whether the server has rejected nearly all recent requests.
func (srv *server) rejecting(now time.Time) bool { return srv.shedShare(now) > maxShedShare }

// recordShed records whether the server has rejected a request.
func (srv *server) recordShed(rejected bool, now time.Time) {
	value := 0.0
	if rejected {
		value = 1
	}
	share := srv.shedShare(now)
	srv.shed, srv.shedAt = share+shedWeight*(value-share), now
}

// connected reports whether an entry is likely to have an open connection to the server.
func (srv *server) connected(entry int, idleTimeout time.Duration, now time.Time) bool {
	return entry < len(srv.contacts) && now.Sub(srv.contacts[entry]) < idleTimeout
}

func (srv *server) setContact(entry int, now time.Time) {
	if entry >= len(srv.contacts) {
		srv.contacts = append(srv.contacts, make([]time.Time, entry+1-len(srv.contacts))...)
	}
	srv.contacts[entry] = now
}

// maxEntries bounds the entries whose connections are known. Names of VMs that are gone are
// not removed one by one.
const maxEntries = 4096

// entry returns the position of an entry in server.contacts.
func (s *scheduler) entry(vm string) int {
	position, known := s.entries[vm]
	if known {
		return position
	}
	if len(s.entries) >= maxEntries {
		clear(s.entries)
		for _, srv := range s.servers {
			srv.contacts, srv.pauses = nil, nil
		}
	}
	position = len(s.entries)
	s.entries[vm] = position
	return position
}

// sync updates the servers if the pool's targets have changed. A restarted server starts
// with a new estimate.
func (s *scheduler) sync(view poolView, now time.Time) {
	s.versions.set(view.trial)
	s.counter = view.counter
	if fleet.SameList(s.synced, view.targets) {
		return
	}
	s.synced = view.targets
	servers := make([]*server, 0, len(view.targets))
	byName := make(map[string]*server, len(view.targets))
	for _, t := range view.targets {
		srv, known := s.byName[t.Name]
		if !known {
			srv = &server{name: t.Name}
			s.adopt(srv, t.Boot)
		}
		if known && srv.boot != t.Boot {
			s.guard.Gone(t.Name)
		}
		if !known || srv.boot != t.Boot {
			srv.estimate, srv.boot, srv.throttle = health.NewEstimate(s.model, now), t.Boot, nil
			srv.pauses = nil
		}
		if perSecond, limited := s.assumedLimits[t.Name]; limited {
			srv.throttle = newThrottle(perSecond, now)
			delete(s.assumedLimits, t.Name)
		}
		srv.dataCentre, srv.version, srv.slots = t.DataCentre, t.Version, t.Slots
		servers = append(servers, srv)
		byName[t.Name] = srv
	}
	for name := range s.byName {
		if byName[name] == nil {
			s.paths.forget(name)
			s.guard.Gone(name)
		}
	}
	s.servers, s.byName = servers, byName
	s.versions.setServers(servers)
	s.refresh(view)
}

// adopt takes over the slots in use of a server that had left the list while it ran requests.
func (s *scheduler) adopt(srv *server, boot uint64) {
	for key, a := range s.assignments {
		if a.server.name == srv.name && a.boot == boot {
			a.server = srv
			s.assignments[key] = a
			srv.inUse++
		}
	}
}

// refresh updates which servers are ejected or cold.
func (s *scheduler) refresh(view poolView) {
	for _, srv := range s.servers {
		srv.ejected = false
		srv.ramp = view.ramp(srv.name)
	}
	for _, name := range view.ejected {
		if srv := s.byName[name]; srv != nil {
			srv.ejected = true
		}
	}
}
