package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is a promise that is checked.
type Rule string

// The promises.
const (
	// RuleConfig: what was acknowledged is in force in time.
	RuleConfig Rule = "config"
	// RuleGoesBack: no entry goes back to an older version in one life of its process.
	RuleGoesBack Rule = "goes-back"
	// RuleEvacuated: nothing reaches a data centre that was evacuated.
	RuleEvacuated Rule = "evacuated"
	// RuleAtMostOnce: a request that is not idempotent runs at most once.
	RuleAtMostOnce Rule = "at-most-once"
	// RuleRefused: what was accepted once or is valid is not refused.
	RuleRefused Rule = "refused"
	// RuleMajority: a control VM that reaches no other one acknowledges nothing.
	RuleMajority Rule = "majority"
	// RuleWhole: a success is the whole answer of a backend server that ran the request.
	RuleWhole Rule = "whole"
	// RuleNotRun: a refusal that promises that a request has not run is true.
	RuleNotRun Rule = "not-run"
	// RuleStays: a process ends only when it is asked to.
	RuleStays Rule = "stays"
)

// Bounds of the promises, from the users' pages.
const (
	contact     = 3 * time.Second
	configBound = 2 * time.Second
	evacBound   = 5 * time.Second
	// maxStretch is added to bounds while control was struck.
	maxStretch = 5 * time.Second
	// staleSlack is the time for which an entry may go on with an older version after it was seen
	// to use a newer one; stoppedSlack is the same for one that stood still meanwhile.
	staleSlack   = 250 * time.Millisecond
	stoppedSlack = 2 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	Rule  Rule      `json:"rule"`
	At    time.Time `json:"at"`
	Entry string    `json:"entry,omitempty"`
	// Old says whether the entry ran the other program of a mix.
	Old  bool   `json:"old,omitempty"`
	Text string `json:"text"`
}

// outcome is what became of a request: it ran in a pool, or there was no route for it.
type outcome struct {
	request Request
	// at is the time at which it was seen.
	at time.Time
	// min and max are the oldest and the newest version, of those sent by then, that allow it.
	// Both are 0 if none does.
	min, max int
	text     string
}

// judge looks for broken promises.
type judge struct {
	record Record
	faults map[string][]Fault
	// control are the faults of all control VMs.
	control []Fault
	found   []Violation
}

// Judge returns the broken promises of a record.
func Judge(r Record) []Violation {
	j := &judge{record: r, faults: make(map[string][]Fault)}
	for _, f := range r.Faults {
		j.faults[f.VM] = append(j.faults[f.VM], f)
		if f.Control {
			j.control = append(j.control, f)
		}
	}
	requests := make(map[string]Request, len(r.Requests))
	for _, q := range r.Requests {
		requests[q.ID] = q
	}
	runs := make(map[string][]Arrival)
	for _, run := range r.Runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	outcomes := j.outcomes(runs)
	j.config(outcomes)
	j.goesBack(outcomes)
	j.evacuated(requests)
	j.atMostOnce(requests, runs)
	j.whole(runs)
	j.notRun(runs)
	j.refused()
	j.majorityAcks()
	slices.SortStableFunc(j.found, func(a, b Violation) int { return a.At.Compare(b.At) })
	return j.found
}

func (j *judge) report(rule Rule, at time.Time, entry, format string, args ...any) {
	old := false
	for _, f := range j.faults[entry] {
		if f.Action == Start && !f.At.After(at) {
			old = f.Old
		}
	}
	j.found = append(j.found, Violation{Rule: rule, At: at, Entry: entry, Old: old, Text: fmt.Sprintf(format, args...)})
}

func (j *judge) since(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(j.record.Start).Seconds())
}

// versionsAllowing returns the oldest and the newest version that was sent before a time and
// gives a route a pool; "" stands for no route.
func (j *judge) versionsAllowing(prefix, pool string, before time.Time) (oldest, newest int) {
	for _, o := range j.record.Orders {
		if o.Action != Configure || o.Sent.After(before) || o.Refused != 0 {
			continue
		}
		c := j.configOf(o.Version)
		if c.find(prefix) != pool {
			continue
		}
		if oldest == 0 || c.Version < oldest {
			oldest = c.Version
		}
		newest = max(newest, c.Version)
	}
	return oldest, newest
}

func (j *judge) configOf(version int) Config {
	for _, c := range j.record.Configs {
		if c.Version == version {
			return c
		}
	}
	return Config{}
}

// outcomes returns what became of requests, in the order in which they were sent.
func (j *judge) outcomes(runs map[string][]Arrival) []outcome {
	const notFound = 404
	var list []outcome
	for _, q := range j.record.Requests {
		for _, run := range runs[q.ID] {
			o := outcome{request: q, at: run.At, text: "run by " + run.Pool + " at " + run.Server}
			o.min, o.max = j.versionsAllowing(q.Prefix, run.Pool, run.At)
			list = append(list, o)
		}
		if q.Status == notFound {
			o := outcome{request: q, at: q.Done, text: "answered 404"}
			o.min, o.max = j.versionsAllowing(q.Prefix, "", q.Done)
			list = append(list, o)
		}
	}
	slices.SortStableFunc(list, func(a, b outcome) int { return a.request.Sent.Compare(b.request.Sent) })
	return list
}

// condition is what is wrong with a process.
type condition struct{ still, gone, cut bool }

func (c condition) after(a Action) condition {
	switch a {
	case Stop:
		c.still = true
	case Continue:
		c.still = false
	case Kill:
		c.still, c.gone = false, true
	case Start:
		c.still, c.gone = false, false
	case Silence, Refuse:
		c.cut = true
	case Join:
		c.cut = false
	}
	return c
}

func (c condition) down() bool { return c.still || c.gone || c.cut }

// struck reports whether one of the faults falls into a span or lasts throughout it.
func struck(faults []Fault, from, to time.Time) bool {
	var c condition
	for _, f := range faults {
		if f.At.After(to) {
			break
		}
		c = c.after(f.Action)
		if f.At.After(from) {
			return true
		}
	}
	return c.down()
}

// controlCalm reports whether control was not struck in a span, and most of it runs.
func (j *judge) controlCalm(from, to time.Time) bool {
	for _, f := range j.control {
		if f.At.After(from) && !f.At.After(to) {
			return false
		}
	}
	return j.majority(to, to)
}

// majority reports whether more than half of control ran all the while.
func (j *judge) majority(from, to time.Time) bool {
	conditions := make(map[string]condition)
	up := func() bool {
		n := 0
		for _, c := range conditions {
			if !c.down() {
				n++
			}
		}
		return 2*n > len(conditions)
	}
	for _, f := range j.control {
		conditions[f.VM] = condition{gone: true}
	}
	checked := false
	for _, f := range j.control {
		if f.At.After(from) && !checked {
			if checked = true; !up() {
				return false
			}
		}
		if f.At.After(to) {
			break
		}
		conditions[f.VM] = conditions[f.VM].after(f.Action)
		if checked && !up() {
			return false
		}
	}
	return up()
}

// stalled reports whether this machine was too busy in a span: the processes were slowed then.
func (j *judge) stalled(from, to time.Time) bool {
	for _, s := range j.record.Stalls {
		if s.To.After(from) && s.From.Before(to) {
			return true
		}
	}
	return false
}

// late reports whether an entry must have met a bound that began at a time: it and control were
// calm around a moment, or control was struck and the longer bound is over.
func (j *judge) late(entry string, began time.Time, bound time.Duration, from, to time.Time) bool {
	if from.Sub(began) <= bound || struck(j.faults[entry], from.Add(-contact), to) || j.stalled(from.Add(-contact), to) {
		return false
	}
	if j.controlCalm(from.Add(-contact), to) {
		return true
	}
	return from.Sub(began) > bound+maxStretch && j.majority(began, to)
}

// config checks that acknowledged versions are in force in time.
func (j *judge) config(outcomes []outcome) {
	for _, o := range outcomes {
		q := o.request
		if o.max == 0 {
			j.report(RuleConfig, q.Sent, q.Entry, "%s %s is %s, which no version that was sent allows", q.ID, q.Prefix, o.text)
			continue
		}
		for _, order := range j.record.Orders {
			if order.Action != Configure || order.Acked.IsZero() || order.Version <= o.max || !j.late(q.Entry, order.Acked, configBound, q.Sent, o.at) {
				continue
			}
			j.report(RuleConfig, q.Sent, q.Entry, "%s %s sent at %s is %s, as only version %d or older allows; version %d was acknowledged by %s at %s",
				q.ID, q.Prefix, j.since(q.Sent), o.text, o.max, order.Version, order.By, j.since(order.Acked))
			break
		}
	}
}

// goesBack checks that no entry goes back in one life.
func (j *judge) goesBack(outcomes []outcome) {
	byEntry := make(map[string][]outcome)
	for _, o := range outcomes {
		if o.max != 0 {
			byEntry[o.request.Entry] = append(byEntry[o.request.Entry], o)
		}
	}
	for entry, list := range byEntry {
		seen := slices.Clone(list)
		slices.SortStableFunc(seen, func(a, b outcome) int { return a.at.Compare(b.at) })
		for _, o := range list {
			j.goesBackAt(entry, o, seen)
		}
	}
	slices.SortStableFunc(j.found, func(a, b Violation) int { return cmp.Compare(a.Entry, b.Entry) })
}

// goesBackAt compares a request with those whose outcome was seen before it was sent.
func (j *judge) goesBackAt(entry string, o outcome, seen []outcome) {
	for _, earlier := range seen {
		gap := o.request.Sent.Sub(earlier.at)
		if gap <= staleSlack {
			return
		}
		if earlier.min <= o.max || !j.sameLife(entry, earlier.request.Sent, o.at) {
			continue
		}
		if gap <= stoppedSlack && (j.stopped(entry, earlier.at, o.request.Sent) || j.stalled(earlier.at, o.at)) {
			continue
		}
		j.report(RuleGoesBack, o.request.Sent, entry, "the effect of version %d was seen at %s (%s %s is %s); then %s %s sent at %s is %s, as only version %d or older allows",
			earlier.min, j.since(earlier.at), earlier.request.ID, earlier.request.Prefix, earlier.text,
			o.request.ID, o.request.Prefix, j.since(o.request.Sent), o.text, o.max)
		return
	}
}

// sameLife reports whether one process ran at an entry all the while.
func (j *judge) sameLife(entry string, from, to time.Time) bool {
	for _, f := range j.faults[entry] {
		if f.At.After(from) && !f.At.After(to) && (f.Action == Kill || f.Action == Start) {
			return false
		}
	}
	return true
}

// stopped reports whether an entry stood still in a span, or soon before it.
func (j *judge) stopped(entry string, from, to time.Time) bool {
	var c condition
	for _, f := range j.faults[entry] {
		if f.At.After(to) {
			break
		}
		c = c.after(f.Action)
		if f.At.After(from.Add(-stoppedSlack)) && (f.Action == Stop || f.Action == Continue) {
			return true
		}
	}
	return c.still
}

// evacuation is a span in which a data centre is evacuated for certain.
type evacuation struct {
	centre   string
	from, to time.Time
	by       string
}

// evacuations returns the spans from an acknowledgement to the next order to take it back.
func (j *judge) evacuations() []evacuation {
	var list []evacuation
	open := make(map[string]int)
	for _, o := range j.record.Orders {
		n, isOpen := open[o.Centre]
		switch {
		case o.Action == TakeBack && isOpen:
			list[n].to = o.Sent
			delete(open, o.Centre)
		case o.Action == Evacuate && !o.Acked.IsZero() && !isOpen:
			open[o.Centre] = len(list)
			list = append(list, evacuation{centre: o.Centre, from: o.Acked, by: o.By})
		}
	}
	return list
}

// evacuated checks that nothing reaches the backend servers of an evacuated data centre.
func (j *judge) evacuated(requests map[string]Request) {
	list := j.evacuations()
	for _, run := range j.record.Runs {
		for _, e := range list {
			if run.Centre != e.centre || !run.At.After(e.from) || !e.to.IsZero() && run.At.After(e.to) {
				continue
			}
			q, ok := requests[run.ID]
			if !ok || !j.late(q.Entry, e.from, evacBound, run.At, run.At) {
				continue
			}
			j.report(RuleEvacuated, run.At, q.Entry, "%s reached %s in %s at %s; its evacuation was acknowledged by %s at %s",
				run.ID, run.Server, run.Centre, j.since(run.At), e.by, j.since(e.from))
		}
	}
}

// atMostOnce checks that requests that are not idempotent run at most once.
func (j *judge) atMostOnce(requests map[string]Request, runs map[string][]Arrival) {
	for id, list := range runs {
		if q, ok := requests[id]; ok && !q.Idempotent && len(list) > 1 {
			j.report(RuleAtMostOnce, list[1].At, q.Entry, "%s %s ran %d times, at %s and %s", id, q.Prefix, len(list), list[0].Server, list[1].Server)
		}
	}
}

// whole checks that each success is the whole answer of a server that ran the request.
func (j *judge) whole(runs map[string][]Arrival) {
	const ok = 200
	for _, q := range j.record.Requests {
		isAnswer := func(run Arrival) bool { return run.Odd == "" && run.Body == q.Body }
		if q.Status == ok && !slices.ContainsFunc(runs[q.ID], isAnswer) {
			j.report(RuleWhole, q.Done, q.Entry, "%s %s got a success of %d bytes that no server's answer has; runs: %+v", q.ID, q.Prefix, len(q.Body), runs[q.ID])
		}
	}
}

// promises are the statuses that callers take for the promise that a request has not run.
var promises = []int{408, 421, 429, 503}

// notRun checks that requests that are not idempotent and are refused with a promise have not run.
func (j *judge) notRun(runs map[string][]Arrival) {
	for _, q := range j.record.Requests {
		if !q.Idempotent && slices.Contains(promises, q.Status) && len(runs[q.ID]) > 0 {
			j.report(RuleNotRun, q.Done, q.Entry, "%s %s got %d, but ran at %s", q.ID, q.Prefix, q.Status, runs[q.ID][0].Server)
		}
	}
}

// refused checks that no order is refused.
func (j *judge) refused() {
	for _, o := range j.record.Orders {
		if o.Refused != 0 {
			j.report(RuleRefused, o.Sent, "", "%s %s%s was refused by %s with %d", o.Action, o.Centre, versionText(o.Version), o.By, o.Refused)
		}
	}
}

// cutDelay is the longest time from the note of a fault to its effect.
const cutDelay = 100 * time.Millisecond

// majorityAcks checks that no control VM acknowledged an order that was first sent after the VM
// was cut off.
func (j *judge) majorityAcks() {
	for _, o := range j.record.Orders {
		if o.Acked.IsZero() {
			continue
		}
		var c condition
		cutSince := time.Time{}
		for _, f := range j.faults[o.By] {
			if f.At.After(o.Acked) {
				break
			}
			if c = c.after(f.Action); f.Action == Silence || f.Action == Refuse {
				cutSince = f.At
			}
		}
		if c.cut && o.Sent.Sub(cutSince) > cutDelay {
			j.report(RuleMajority, o.Acked, "", "%s %s%s was acknowledged by %s at %s, which is cut off since %s",
				o.Action, o.Centre, versionText(o.Version), o.By, j.since(o.Acked), j.since(cutSince))
		}
	}
}

func versionText(version int) string {
	if version == 0 {
		return ""
	}
	return fmt.Sprintf("version %d", version)
}
