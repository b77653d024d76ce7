package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/state"
)

// Holder is the state of a pool whose lease this VM holds. It detects failing backend
// servers from the reports of all entries, and issues permits for cold ones.
type Holder struct {
	since    time.Time
	detector *health.Detector
	// ramps holds the ramp of every cold or readmitted backend server.
	ramps map[string]*Ramp
	// warmed holds the boot number of each backend server that has finished its ramp. Such
	// a server counts as warm in that boot even while it still announces that it is cold.
	warmed map[string]uint64
	// scheduler assigns requests to backend servers in the placement mode "holder".
	scheduler *scheduler
	// view is the scheduler's view of the pool.
	view poolView
	// published is the status that was last gossiped, at publishedAt.
	published   Status
	publishedAt time.Time
	// loadSentAt is when the load of the cell was last sent to the holders of others.
	loadSentAt time.Time
}

// Status is the state of a pool that its holder publishes to all entries: the ejected
// targets, most severe first, and the targets for which a request needs a permit.
type Status struct {
	Ejected []string
	Cold    []string
	// Warmed holds targets that are warm in the given boot, even if they announce that
	// they are cold.
	Warmed map[string]uint64
	// Limits holds the requests per second of the targets that name a limit.
	Limits map[string]float64
	// Suspects may crash the targets that run them; Cleared are suspects of other cells that
	// were answered here.
	Suspects []guard.Suspect
	Cleared  []guard.Print
	// Leaving are the targets that have said in answers that they leave.
	Leaving map[string]uint64
}

func (s Status) equal(other Status) bool {
	return slices.Equal(s.Ejected, other.Ejected) && slices.Equal(s.Cold, other.Cold) && maps.Equal(s.Warmed, other.Warmed) &&
		maps.Equal(s.Limits, other.Limits) && sameSuspects(s.Suspects, other.Suspects) &&
		slices.Equal(s.Cleared, other.Cleared) && maps.Equal(s.Leaving, other.Leaving)
}

// sameLimited reports whether the same targets name a limit.
func (s Status) sameLimited(other Status) bool {
	return slices.Equal(slices.Sorted(maps.Keys(s.Limits)), slices.Sorted(maps.Keys(other.Limits)))
}

// withLimits returns a copy of the status with other limits.
func (s Status) withLimits(limits map[string]float64) Status {
	s.Limits = limits
	return s
}

// withSuspects returns a copy of the status with other suspects.
func (s Status) withSuspects(suspects []guard.Suspect) Status {
	s.Suspects = suspects
	return s
}

// withEjected returns a copy of the status with other ejected servers.
func (s Status) withEjected(names []string) Status {
	s.Ejected = names
	return s
}

func newHolder(since time.Time, budget ...retry.Option) *Holder {
	return &Holder{
		since: since, detector: health.NewDetector(), scheduler: newScheduler(budget...),
		ramps: make(map[string]*Ramp), warmed: make(map[string]uint64),
	}
}

// SetTargets replaces the servers of the pool.
func (h *Holder) SetTargets(targets []fleet.Target, settings state.Pool, idleTimeout time.Duration) {
	for _, t := range targets {
		h.startColdRamp(t, settings)
	}
	h.view = poolView{targets: targets, floor: settings.Floor, idleTimeout: idleTimeout, ramp: func(name string) *Ramp { return h.ramps[name] }}
	h.refreshView()
}

// refreshView passes changed ejections and ramps to the scheduler.
func (h *Holder) refreshView() {
	h.view.ejected = nil
	for _, e := range h.detector.Ejected() {
		h.view.ejected = append(h.view.ejected, e.Target)
	}
	if h.view.ramp != nil {
		h.scheduler.refresh(h.view)
	}
}

const (
	// publishInterval is the shortest time between two publications of changed rates of limits,
	// or, if entries do not choose by themselves, of changed ejections alone.
	publishInterval = 3 * time.Second
	// rampInterval is the shortest time between two publications of servers that have become warm, if
	// entries do not choose by themselves.
	rampInterval = time.Second
	// publishedBytesPerSecond bounds what a cell publishes without urgency. Each entry receives a status
	// from several neighbours, and those of all cells.
	publishedBytesPerSecond = 1000
	// nameBytes and suspectBytes are the usual sizes of what a status names.
	nameBytes    = 20
	suspectBytes = 50
)

// interval returns the shortest time between this status and the next one that is not urgent, given
// that of what has changed.
func (s Status) interval(changed time.Duration) time.Duration {
	names := len(s.Ejected) + len(s.Cold) + len(s.Warmed) + len(s.Limits) + len(s.Leaving) + len(s.Cleared)
	bytes := nameBytes*names + suspectBytes*len(s.Suspects)
	return min(max(changed, time.Duration(bytes)*time.Second/publishedBytesPerSecond), publishInterval)
}

// hasBecomeCold reports whether there is a cold server that another status did not name.
func (s Status) hasBecomeCold(before Status) bool {
	return slices.ContainsFunc(s.Cold, func(name string) bool { return !slices.Contains(before.Cold, name) })
}

// withRamps returns a copy of the status with the cold and the warmed servers of another one.
func (s Status) withRamps(other Status) Status {
	s.Cold, s.Warmed = other.Cold, other.Warmed
	return s
}

// PublishDue reports whether to gossip the status of the cell, and if so takes it as
// published. Every entry must know at once which servers are cold or name a limit. Ejections
// matter only to entries that choose by themselves, as localChoices says.
func (h *Holder) PublishDue(next Status, localChoices bool, now time.Time) bool {
	if next.equal(h.published) {
		return false
	}
	urgent := next
	if !localChoices {
		urgent = urgent.withEjected(h.published.Ejected)
	}
	if next.sameLimited(h.published) {
		urgent = urgent.withLimits(h.published.Limits)
	}
	interval := publishInterval
	if !localChoices && !next.hasBecomeCold(h.published) {
		if !slices.Equal(next.Cold, h.published.Cold) || !maps.Equal(next.Warmed, h.published.Warmed) {
			interval = rampInterval
		}
		urgent = urgent.withRamps(h.published)
	}
	if sameSuspects(inQuarantine(next.Suspects), inQuarantine(h.published.Suspects)) {
		if !sameSuspects(next.Suspects, h.published.Suspects) {
			interval = suspectsInterval
		}
		urgent = urgent.withSuspects(h.published.Suspects)
	}
	if urgent.equal(h.published) && now.Sub(h.publishedAt) < next.interval(interval) {
		return false
	}
	h.published, h.publishedAt = next, now
	return true
}

// permitsFrom returns the time from which this holder may issue permits. All permits
// of the previous holder have expired by then.
func (h *Holder) permitsFrom() time.Time { return h.since.Add(maxPermitUse) }

// Report adds the observations of one entry.
func (h *Holder) Report(vm string, reports []health.Report, now time.Time) {
	for _, r := range reports {
		h.detector.AddReport(vm, r, now)
		h.scheduler.reportLimit(r.Target, r.Limit, now)
	}
}

// Evaluate updates ramps and ejections. It returns the new status and the changes.
func (h *Holder) Evaluate(targets []fleet.Target, settings state.Pool, now time.Time) (Status, health.Decision) {
	boots := make(map[string]uint64, len(targets))
	for _, t := range targets {
		boots[t.Name] = t.Boot
		h.startColdRamp(t, settings)
	}
	// Ejections would spend the floor's allowance on a bad version, and matter to entries that
	// choose by themselves, which do not use it.
	proven := h.view.trial.Proven(targets)
	names := make([]string, len(proven))
	for i, t := range proven {
		names[i] = t.Name
	}
	for name := range h.warmed {
		if _, present := boots[name]; !present {
			delete(h.warmed, name)
		}
	}
	for name, r := range h.ramps {
		boot, present := boots[name]
		if !present {
			delete(h.ramps, name)
			continue
		}
		if r.Finished(now) {
			delete(h.ramps, name)
			h.warmed[name] = boot
		}
	}
	decision := h.detector.Evaluate(names, settings.Floor, h.probationCount(proven), now)
	for _, name := range decision.Readmitted {
		h.startProbation(name, targets, settings)
	}
	for _, e := range decision.Ejected {
		if r := h.ramps[e.Target]; r != nil && r.probation {
			delete(h.ramps, e.Target)
		} else if r != nil {
			r.Restart()
		}
	}
	h.refreshView()
	return h.status(now), decision
}

// startColdRamp starts the ramp of a backend server that announces that it is cold.
func (h *Holder) startColdRamp(t fleet.Target, settings state.Pool) {
	boot, warmed := h.warmed[t.Name]
	if warmed && boot != t.Boot {
		delete(h.warmed, t.Name)
		warmed = false
	}
	if t.Phase == fleet.Cold && !h.isCold(t.Name) && !warmed {
		h.ramps[t.Name] = h.newRamp(t, settings)
	}
}

// isCold reports whether a server has the ramp of a cold one.
func (h *Holder) isCold(name string) bool {
	r, ramping := h.ramps[name]
	return ramping && !r.probation
}

// newRamp returns the ramp of a cold server. The previous holder may have used the rate of
// the server until the last moment, and this one may have sent it requests as to a warm server.
func (h *Holder) newRamp(t fleet.Target, settings state.Pool) *Ramp {
	r := NewRamp(t.Slots, max(1, settings.ColdSlots), time.Duration(settings.Ramp)).WithRate(settings.ColdRate).WithStart(h.since.Add(rateWindow))
	if srv := h.scheduler.byName[t.Name]; srv != nil {
		r = r.WithRecent(srv.recent)
	}
	return r
}

// probationRamp is the longest ramp of a readmitted backend server. The server is not
// cold, so it only needs to be observed before it receives its full share again.
const probationRamp = 3 * time.Second

func (h *Holder) startProbation(name string, targets []fleet.Target, settings state.Pool) {
	for _, t := range targets {
		if t.Name == name && t.Phase == fleet.Warm && !h.isCold(name) {
			r := NewRamp(t.Slots, max(1, settings.ColdSlots), min(time.Duration(settings.Ramp), probationRamp))
			r.probation = true
			h.ramps[name] = r
		}
	}
}

// probationCount returns the number of backend servers that are ramping although they
// announce that they are warm.
func (h *Holder) probationCount(targets []fleet.Target) int {
	n := 0
	for _, t := range targets {
		if _, ramping := h.ramps[t.Name]; ramping && t.Phase == fleet.Warm {
			n++
		}
	}
	return n
}

func (h *Holder) status(now time.Time) Status {
	s := Status{Warmed: maps.Clone(h.warmed), Limits: h.scheduler.limits()}
	for _, e := range h.detector.Ejected() {
		s.Ejected = append(s.Ejected, e.Target)
	}
	for name := range h.ramps {
		s.Cold = append(s.Cold, name)
	}
	slices.Sort(s.Cold)
	s.Suspects, s.Cleared = h.scheduler.guard.List(h.scheduler.cell, now)
	return s
}

// MarkCold starts the ramp of a backend server whose answer to an entry said that it
// is cold.
func (h *Holder) MarkCold(t fleet.Target, settings state.Pool) {
	delete(h.warmed, t.Name)
	if !h.isCold(t.Name) {
		h.ramps[t.Name] = h.newRamp(t, settings)
		h.refreshView()
	}
}

// Permit issues a permit for the cold backend server with the most free permits.
func (h *Holder) Permit(now time.Time) (string, bool) {
	if now.Before(h.permitsFrom()) {
		return "", false
	}
	best, free := "", 0
	for name, r := range h.ramps {
		if srv := h.scheduler.byName[name]; srv != nil && !h.scheduler.versions.acceptsForwarded(srv) {
			continue // whoever asks for a permit does not use the version on trial
		}
		available := min(r.Limit(now)-r.InUse(now), h.scheduler.throttle(name).available(now))
		if available > free || available == free && available > 0 && name < best {
			best, free = name, available
		}
	}
	if best == "" || !h.ramps[best].Grant(now) {
		return "", false
	}
	h.scheduler.throttle(best).take(now)
	return best, true
}

// PermitDone returns the permit of a request that has a result.
func (h *Holder) PermitDone(target string, success bool, now time.Time) {
	if r, ok := h.ramps[target]; ok {
		r.Done(success, now)
	}
}

// ReturnPermit returns a permit that led to no result.
func (h *Holder) ReturnPermit(target string) {
	if r, ok := h.ramps[target]; ok {
		r.Return()
	}
}
