package pool

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/wire"
)

// This file keeps requests that crash the servers that run them from further servers; package
// guard has the evidence and the decisions.

// withPrint returns the request with its fingerprint, if it may be a copy of a suspect. Others are
// not held up until their bodies arrive.
func (b *Balancer) withPrint(ctx context.Context, r pick.Request) pick.Request {
	if r.LatePrint == nil {
		return r
	}
	b.mu.Lock()
	suspected := b.guard.SuspectedAlike(r.Workspace, r.Label)
	b.mu.Unlock()
	if suspected {
		r.Print, r.LatePrint = r.LatePrint(ctx), nil
	}
	return r
}

// quarantined returns an error if a request is in quarantine.
func (b *Balancer) quarantined(r pick.Request) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if left, held := b.guard.Quarantined(r.Print, b.options.Clock.Now()); held {
		return &pick.QuarantineError{Left: left}
	}
	return nil
}

// localCell is the cell of the evidence from requests that this VM has placed by itself. The
// holder hears of them with the next report.
const localCell = ""

// recordLocalEvidence records what the result of a request that this VM has placed by itself
// says about crashes of its server.
func (b *Balancer) recordLocalEvidence(cs *cellState, req pick.Request, t fleet.Target, r health.Result, sent time.Time) {
	now := b.options.Clock.Now()
	if req.Print == (guard.Print{}) {
		req.Print = r.Print
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch r.Kind {
	case health.OK, health.Failed:
		b.guard.Alive(t.Name, t.Boot, sent)
		if b.guard.Answered(localCell, req.Print, now) && len(cs.cleared) < guard.MaxPublished {
			cs.cleared = append(cs.cleared, req.Print)
		}
	case health.Torn:
		if len(cs.torn) >= guard.MaxPublished || req.Print == (guard.Print{}) {
			return
		}
		b.guard.Torn(localCell, req.Suspect(), t.Name, t.Boot, sent, now)
		cs.torn = append(cs.torn, &wire.TornRequest{
			Print: req.Print.Bytes(), Workspace: req.Workspace, Label: req.Label, Target: t.Name, Boot: t.Boot,
			AgeMicros: uint64(now.Sub(sent).Microseconds()),
		})
	}
}

// recordReportedEvidence records, as the holder of a cell, the evidence from requests that an
// entry has placed by itself, and what operators have cleared.
func (b *Balancer) recordReportedEvidence(m *wire.Outcomes, now time.Time) {
	for _, torn := range m.GetTorn() {
		suspect := guard.Suspect{Print: guard.PrintOfBytes(torn.GetPrint()), Workspace: torn.GetWorkspace()}.WithLabel(torn.GetLabel())
		sent := now.Add(-time.Duration(torn.GetAgeMicros()) * time.Microsecond)
		b.guard.Torn(m.GetPool(), suspect, torn.GetTarget(), torn.GetBoot(), sent, now)
	}
	for _, print := range printsOfWire(m.GetCleared()) {
		b.guard.Answered(m.GetPool(), print, now)
	}
}

// Suspects returns the requests that are suspected of having crashed servers, the latest first.
func (b *Balancer) Suspects() []guard.Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.guard.All()
}

// Release clears a request of all suspicions, on all VMs. It reports whether this VM knew it as
// a suspect.
func (b *Balancer) Release(p guard.Print) bool {
	now := b.options.Clock.Now()
	b.mu.Lock()
	known := b.guard.Answered(localCell, p, now)
	b.mu.Unlock()
	for _, settings := range b.options.Settings() {
		for _, cell := range b.cells(settings.Name) {
			b.sendOutcomes(cell, &wire.Outcomes{Pool: cell, Cleared: [][]byte{p.Bytes()}}, now)
		}
	}
	b.options.EventLog.Record(event.RequestReleased, p.String(), "by an operator")
	return known
}

// recordSuspects records which requests were put in quarantine and which have left it.
func (b *Balancer) recordSuspects(pool string, before, after []guard.Suspect, now time.Time) {
	for _, s := range after {
		known := slices.ContainsFunc(before, func(old guard.Suspect) bool { return old.Print == s.Print && old.Quarantines >= s.Quarantines })
		if s.InQuarantine(now) && !known {
			b.options.EventLog.Record(event.RequestQuarantined, s.Print.String(), quarantineDetail(pool, s, now))
		}
	}
	for _, s := range before {
		if s.InQuarantine(now) && !slices.ContainsFunc(after, func(other guard.Suspect) bool { return other.Print == s.Print && other.InQuarantine(now) }) {
			b.options.EventLog.Record(event.RequestReleased, s.Print.String(), "pool "+pool+", answered, or no server crashed")
		}
	}
}

func suspectsToWire(suspects []guard.Suspect, now time.Time) []*wire.Suspect {
	var list []*wire.Suspect
	for _, s := range suspects {
		list = append(list, &wire.Suspect{
			Print: s.Print.Bytes(), Workspace: s.Workspace, Label: s.Label, Targets: s.Servers, Crashes: uint32(s.Crashes),
			Quarantines: uint32(s.Quarantines), LeftMicros: uint64(max(0, s.Until.Sub(now)).Microseconds()),
			AgeMicros: uint64(max(0, now.Sub(s.LastCrash)).Microseconds()),
		})
	}
	return list
}

func suspectsOfWire(list []*wire.Suspect, now time.Time) []guard.Suspect {
	var suspects []guard.Suspect
	for _, m := range list {
		s := guard.Suspect{
			Print: guard.PrintOfBytes(m.GetPrint()), Workspace: m.GetWorkspace(), Servers: m.GetTargets(), Crashes: int(m.GetCrashes()),
			Quarantines: int(m.GetQuarantines()), LastCrash: now.Add(-time.Duration(m.GetAgeMicros()) * time.Microsecond),
		}.WithLabel(m.GetLabel())
		if left := m.GetLeftMicros(); left > 0 {
			s.Until = now.Add(time.Duration(left) * time.Microsecond)
		}
		suspects = append(suspects, s)
	}
	return suspects
}

func printsToWire(prints []guard.Print) [][]byte {
	var list [][]byte
	for _, p := range prints {
		list = append(list, p.Bytes())
	}
	return list
}

func printsOfWire(list [][]byte) []guard.Print {
	var prints []guard.Print
	for _, data := range list {
		prints = append(prints, guard.PrintOfBytes(data))
	}
	return prints
}

func quarantineDetail(pool string, s guard.Suspect, now time.Time) string {
	return fmt.Sprintf("pool %s, workspace %s, %s, crashed %s, for %s", pool, s.Workspace, s.Label, strings.Join(s.Servers, " "),
		s.Until.Sub(now).Round(time.Second))
}
