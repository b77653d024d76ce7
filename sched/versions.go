package sched

import (
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
)

const (
	// maxTrialCredit is how many requests the version on trial may be owed. Its servers may have had
	// no free slot for some time; what they missed then must not come to them at once.
	maxTrialCredit = 1.0
	// trialTolerance absorbs the rounding of sums of shares.
	trialTolerance = 1e-9
	// idleTrialBonus ranks the servers of the version that gets the smaller share by the time since
	// their last request. It outweighs load and data centre, but not a doubt about the server.
	idleTrialBonus = 0.08
	// evenShare is the share at which both versions get the same number of requests.
	evenShare = 0.5
)

// side is one side of a trial: the servers that a request may be sent to.
type side string

const (
	anySide    side = "any"
	trialSide  side = "trial"  // servers of the version on trial
	provenSide side = "proven" // all others
)

// The sides that a request may use.
var (
	anySides    = []side{anySide}
	trialFirst  = []side{trialSide, provenSide}
	provenSides = []side{provenSide}
)

// versions decides which requests go to the version on trial.
//
// The load it answers: a new version may fail or be slow, at once, later, or only under load. It
// must get enough requests to be judged, but never more than its share, whatever the rate, and
// none in a burst after a pause. So the share is counted, not drawn: of the first attempts that
// this cell sends on, the version on trial gets the share, rounded down. A retry or a hedge would
// come on top, and a request of another cell is counted there; they use the other versions.
type versions struct {
	trial pick.Trial
	// credit is the number of requests that the version on trial may still get.
	credit float64
	// alone is set if the cell has servers of the version on trial only. Then it gets its share of
	// the requests that arrive, as there are none that others get.
	alone bool
}

// set changes the trial. Another version starts without credit.
func (v *versions) set(trial pick.Trial) {
	if trial.Version != v.trial.Version {
		v.credit = 0
	}
	v.trial = trial
}

// sides returns the sides that a request may use, the preferred one first.
func (v *versions) sides(req Request) []side {
	switch {
	case !v.trial.Active():
		return anySides
	case req.isFirst() && v.due() >= 1-trialTolerance:
		return trialFirst
	default:
		return provenSides
	}
}

// due is the number of requests that the version on trial may get if one more is sent.
func (v *versions) due() float64 {
	if v.alone {
		return v.credit
	}
	return v.credit + v.trial.Share
}

// arrived counts a request that has arrived.
func (v *versions) arrived(req Request) {
	if v.alone && req.isFirst() {
		v.credit = min(v.credit, maxTrialCredit) + v.trial.Share
	}
}

// has reports whether a server is on a side.
func (v *versions) has(of side, srv *server) bool {
	return of == anySide || (srv.version == v.trial.Version) == (of == trialSide)
}

// hasAny reports whether a server is on one of the sides.
func (v *versions) hasAny(sides []side, srv *server) bool {
	for _, of := range sides {
		if v.has(of, srv) {
			return true
		}
	}
	return false
}

// acceptsForwarded reports whether a server takes requests of other cells, and those that wait.
func (v *versions) acceptsForwarded(srv *server) bool {
	return !v.trial.Active() || v.has(provenSide, srv)
}

// mainSide returns the side that gets most requests. Only there does a server without requests
// mean something, and the time that answers take.
func (v *versions) mainSide() side {
	switch {
	case !v.trial.Active():
		return anySide
	case v.trial.Share > evenShare:
		return trialSide
	default:
		return provenSide
	}
}

// sent counts a request that was assigned to a server, or left to another cell if srv is nil.
func (v *versions) sent(req Request, srv *server) {
	if !v.trial.Active() {
		return
	}
	if req.isFirst() && !v.alone {
		v.credit += v.trial.Share
	}
	if srv != nil && v.has(trialSide, srv) {
		v.credit--
	}
	v.credit = min(max(v.credit, 0), maxTrialCredit)
}

// idleBonus spreads the requests of the version with the smaller share over its servers.
func (v *versions) idleBonus(srv *server, now time.Time) float64 {
	if !v.trial.Active() || v.has(v.mainSide(), srv) {
		return 0
	}
	return idleTrialBonus * min(1, now.Sub(srv.lastAssigned).Seconds()/maxIdle.Seconds())
}

// setServers tells whether the cell has servers of other versions.
func (v *versions) setServers(servers []*server) {
	v.alone = v.trial.Active() && !slices.ContainsFunc(servers, func(srv *server) bool { return v.has(provenSide, srv) })
}

// isFirst reports whether this is the first attempt of a request, in the cell that was asked first.
func (req Request) isFirst() bool {
	return !req.Forwarded && !req.Arrived && !req.Hedge && len(req.Avoid) == 0
}

// countVersion counts the result of a request for the version of its server. What a server fails
// for an entry that cannot reach it says nothing about its version.
func (s *scheduler) countVersion(vm string, a assignment, r health.Result, pathFailed bool, now time.Time) {
	if s.counter == nil || r.Kind == health.Unreachable && pathFailed || r.Kind.Bad() && s.cutOff.preceded(vm, a.since) {
		return
	}
	s.counter.Add(a.server.version, a.route, r, now)
}
