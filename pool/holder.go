package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/retry"
	"github.com/dottereldeal/dottereldeal/state"
)

// holder is the part of the entry that holds a pool's shard: it judges the
// backend servers by what all entries see, and gives permits for cold ones.
type holder struct {
	since time.Time
	judge *health.Detector
	// ramps holds the cold backend servers.
	ramps map[string]*Ramp
	// warmed are backend servers that finished their ramp, by their boot: they
	// stay warm even while they announce that they are cold.
	warmed map[string]uint64
	// desk places requests, if this is what the holder is asked for.
	desk *desk
	// published is what was told to the fleet last.
	published ruling
}

// ruling is what all entries obey: ejected targets, gravest first, and targets
// that need a permit.
type ruling struct {
	ejected []string
	cold    []string
	// warmed are targets that are warm in this boot, whatever they announce.
	warmed map[string]uint64
}

func (r ruling) equal(o ruling) bool {
	return slices.Equal(r.ejected, o.ejected) && slices.Equal(r.cold, o.cold) && maps.Equal(r.warmed, o.warmed)
}

func newHolder(since time.Time, budget ...retry.Option) *holder {
	return &holder{
		since: since, judge: health.NewDetector(), desk: newDesk(budget...),
		ramps: make(map[string]*Ramp), warmed: make(map[string]uint64),
	}
}

// permitsFrom returns when this holder may give permits: those of an earlier
// holder must have ended.
func (h *holder) permitsFrom() time.Time { return h.since.Add(permitHold) }

// report takes what an entry saw.
func (h *holder) report(vm string, reports []health.Report, now time.Time) {
	for _, r := range reports {
		h.judge.AddReport(vm, r, now)
	}
}

// decide judges and returns the new ruling and what changed.
func (h *holder) decide(targets []fleet.Target, p state.Pool, now time.Time) (ruling, health.Decision) {
	var names []string
	for _, t := range targets {
		names = append(names, t.Name)
		h.noteCold(t, p)
	}
	for name := range h.warmed {
		if !slices.Contains(names, name) {
			delete(h.warmed, name)
		}
	}
	for name, r := range h.ramps {
		if !slices.Contains(names, name) {
			delete(h.ramps, name)
			continue
		}
		if r.Finished(now) {
			delete(h.ramps, name)
			h.warmed[name] = bootOf(targets, name)
		}
	}
	verdict := h.judge.Evaluate(names, p.Floor, h.probation(targets), now)
	for _, name := range verdict.Readmitted {
		h.startRamp(name, targets, p)
	}
	for _, e := range verdict.Ejected {
		delete(h.ramps, e.Target)
	}
	return h.ruling(), verdict
}

// noteCold starts the ramp of a backend server that announces that it is cold.
func (h *holder) noteCold(t fleet.Target, p state.Pool) {
	_, ramping := h.ramps[t.Name]
	boot, warmed := h.warmed[t.Name]
	if warmed && boot != t.Boot {
		delete(h.warmed, t.Name)
		warmed = false
	}
	if t.Phase == fleet.Cold && !ramping && !warmed {
		h.ramps[t.Name] = newRamp(t, p)
	}
}

func newRamp(t fleet.Target, p state.Pool) *Ramp {
	return NewRamp(t.Slots, max(1, p.ColdSlots), time.Duration(p.Ramp)).WithRate(p.ColdRate)
}

// probationRamp is the ramp of a backend server that is readmitted: it is not
// cold, and is only watched before it gets its whole share again.
const probationRamp = 3 * time.Second

func (h *holder) startRamp(name string, targets []fleet.Target, p state.Pool) {
	for _, t := range targets {
		if t.Name == name && t.Phase == fleet.Warm {
			h.ramps[name] = NewRamp(t.Slots, max(1, p.ColdSlots), min(time.Duration(p.Ramp), probationRamp))
		}
	}
}

func bootOf(targets []fleet.Target, name string) uint64 {
	for _, t := range targets {
		if t.Name == name {
			return t.Boot
		}
	}
	return 0
}

// probation returns the number of backend servers that ramp though they
// announce that they are warm.
func (h *holder) probation(targets []fleet.Target) int {
	n := 0
	for _, t := range targets {
		if _, ramping := h.ramps[t.Name]; ramping && t.Phase == fleet.Warm {
			n++
		}
	}
	return n
}

func (h *holder) ruling() ruling {
	r := ruling{warmed: maps.Clone(h.warmed)}
	for _, e := range h.judge.Ejected() {
		r.ejected = append(r.ejected, e.Target)
	}
	for name := range h.ramps {
		r.cold = append(r.cold, name)
	}
	slices.Sort(r.cold)
	return r
}

// turnCold starts the ramp of a backend server that an entry saw cold.
func (h *holder) turnCold(t fleet.Target, p state.Pool) {
	delete(h.warmed, t.Name)
	if _, ramping := h.ramps[t.Name]; !ramping {
		h.ramps[t.Name] = newRamp(t, p)
	}
}

// permit gives a permit for one of the cold backend servers.
func (h *holder) permit(now time.Time) (string, bool) {
	if now.Before(h.permitsFrom()) {
		return "", false
	}
	best, free := "", 0
	for name, r := range h.ramps {
		room := r.Limit(now) - r.InUse(now)
		if room > free || room == free && room > 0 && name < best {
			best, free = name, room
		}
	}
	if best == "" {
		return "", false
	}
	return best, h.ramps[best].Grant(now)
}

// done takes a permit back.
func (h *holder) done(target string, well bool, now time.Time) {
	if r, ok := h.ramps[target]; ok {
		r.Done(well, now)
	}
}

// returned takes a permit back that led to no result.
func (h *holder) returned(target string) {
	if r, ok := h.ramps[target]; ok {
		r.Return()
	}
}
