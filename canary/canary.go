// Package canary decides on the progress of roll-outs: how many of a pool's requests go to the
// servers of the new version, and whether the roll-out is completed or rolled back. It compares
// what both versions do at the same time. It has no input or output and is given the time.
//
// # Usage
//
//	judge := canary.New(canary.Order{Version: "v2", Duration: 12 * time.Second}, bounds)
//	judge.Add(report, now)
//	decision := judge.Decide(situation, now)
package canary

import (
	"fmt"
	"time"
)

// Tally counts the results of one version of the servers of a cell, for one route. Its counters
// only grow while its sender runs.
type Tally struct {
	Cell    string
	Version string
	Route   string
	// Results counts answers, failures and time-outs, Bad the failures and time-outs among them.
	Results uint64
	Bad     uint64
	// LogSum and LogSquares are the sums of the natural logarithm of the latency in seconds of
	// good results, and of its square.
	LogSum     float64
	LogSquares float64
}

// Report holds the tallies of one VM since its start, which Boot numbers.
type Report struct {
	VM      string
	Boot    uint64
	Tallies []Tally
}

// Bounds limit what a bad version may get.
type Bounds struct {
	// Share is the part of a pool's requests between the order and its deadline that a bad
	// version may get, and Slack the number of requests that it may get besides.
	Share float64
	Slack float64
	// Rollback is the time after which a version that has shown that it is bad gets nothing.
	Rollback time.Duration
}

// Order is what a roll-out has to achieve.
type Order struct {
	// Version is the version that the requests are moved to.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Drain is the longest time that a request runs. The servers of other versions end
	// when the roll-out is completed, and must have ended their requests by then.
	Drain time.Duration
}

// Situation is the state of a roll-out when a decision is due.
type Situation struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Share is the part of the requests that the new version gets, and InForce the time for
	// which it has done so on all VMs.
	Share   float64
	InForce time.Duration
	// Servers is the number of warm servers of the new version, Cold that of its others, and
	// Others that of servers of other versions.
	Servers int
	Others  int
	Cold    int
}

// Action is what a decision changes.
type Action string

// Actions of decisions.
const (
	Hold     Action = "hold"
	Raise    Action = "raise"
	Complete Action = "complete"
	RollBack Action = "roll-back"
)

// Decision is the next step of a roll-out.
type Decision struct {
	Action Action
	// Share is the share of the new version after Raise.
	Share float64
	// Reason says what decided, with its figures.
	Reason string
}

const (
	// minServers is the number of warm servers that a version starts with: among fewer, one
	// faulty server looks like a faulty version. maxCold is the part of cold ones beside them,
	// which are slower. startShare is the part of the duration after which it starts with what
	// there is.
	minServers = 4
	maxCold    = 0.25
	startShare = 0.4
	// trialBudget is the part of the bounded share that the trial may use, and slackBudget that
	// of the slack. The rest is for the rise, and for the time until a decision is in force.
	trialBudget = 0.2
	slackBudget = 0.5
	// minTrial and maxTrial limit the share of the trial. Below, it shows little in the seconds
	// that it lasts; above, it is no trial.
	minTrial = 0.01
	maxTrial = 0.25
	// riseFactor is the smallest useful rise of the trial, as servers come in.
	riseFactor = 2
	// maxTrialRises bounds the changes of the trial's share: each is a change of the state.
	maxTrialRises = 3
	// minStep is the least time at a share before it rises: two reports, and a decision in force.
	minStep = 500 * time.Millisecond
	// stepShare is the time of a step as a part of the duration.
	stepShare = 0.05
	// marginShare is the part of the duration that is kept for the decision to be known, and for
	// the election of a leader.
	marginShare = 1.0 / 12
	// maxMargin limits it: an election takes no longer.
	maxMargin = 10 * time.Second
	// maxDrainShare bounds the time for which other servers may still run requests.
	maxDrainShare = 1.0 / 6
	// settleTime is the time until a share is in force on VMs that are connected.
	settleTime = 500 * time.Millisecond
	// silence is the time without a report after which the evidence is not complete: five
	// reports are lost or late.
	silence = time.Second
	// minResults is the number of results of the new version that a rise has to rest on, if there
	// is traffic for them, and minPart the part of the expected ones.
	minResults = 10
	minPart    = 0.25
)

// rises are the shares between the trial and all requests.
var rises = []float64{0.15, 0.4, 1}

// Judge decides on one roll-out.
type Judge struct {
	order    Order
	bounds   Bounds
	evidence evidence
	// share is the share that was last decided on, base what was counted when it began at since.
	share      float64
	base       totals
	since      time.Time
	lastReport time.Time
	trialRises int
}

// New returns a judge without evidence. A new leader has none either: it raises the share only
// after it has seen for itself what the present one does.
func New(order Order, bounds Bounds) *Judge {
	return &Judge{order: order, bounds: bounds, evidence: newEvidence(order.Version), share: -1}
}

// Add takes a report into account. One that is late or repeated changes nothing.
func (j *Judge) Add(r Report, now time.Time) {
	j.evidence.add(r)
	j.lastReport = now
}

// Evidence returns what was counted for each route, ordered by name.
func (j *Judge) Evidence() []RouteEvidence { return j.evidence.routes() }

// Decide returns the next step. A version that fails or is slow beside the others at the same
// time is rolled back at once. In doubt the share stays; a roll-out that has not got to all
// requests by its deadline is rolled back: the servers that run are known to be sound, they end
// for good with a completion, and an order can be given again.
func (j *Judge) Decide(s Situation, now time.Time) Decision {
	if j.share != s.Share {
		j.share, j.base, j.since = s.Share, j.evidence.totals.clone(), now
	}
	j.evidence.mark(now)
	doubt, fault := j.evidence.verdict(now, s.Servers, s.Share <= rises[0])
	if fault != "" {
		return Decision{Action: RollBack, Reason: fault}
	}
	if s.Servers == 0 {
		return j.atDeadline(s, "no servers of the version")
	}
	if s.Others == 0 && s.Share < 1 {
		return Decision{Action: Raise, Share: 1, Reason: "no servers of another version"}
	}
	if doubt == "" {
		doubt = j.lack(s, now)
	}
	if s.Share >= 1 {
		return j.completion(s, doubt, now)
	}
	if s.Elapsed >= j.order.Duration {
		return Decision{Action: RollBack, Reason: fmt.Sprintf("deadline at share %.3g", s.Share)}
	}
	if doubt != "" {
		return Decision{Action: Hold, Reason: doubt}
	}
	return j.rise(s, now)
}

// atDeadline rolls back at the deadline for a reason, and holds before.
func (j *Judge) atDeadline(s Situation, reason string) Decision {
	if s.Elapsed < j.order.Duration {
		return Decision{Action: Hold, Reason: reason}
	}
	return Decision{Action: RollBack, Reason: "deadline: " + reason}
}

// completion decides on a version that gets all requests. Requests at other servers must have ended.
func (j *Judge) completion(s Situation, doubt string, now time.Time) Decision {
	if doubt != "" {
		return j.atDeadline(s, doubt)
	}
	if drained := min(s.InForce, now.Sub(j.since)); drained < j.drain() {
		return Decision{Action: Hold, Reason: "requests at other servers may run"}
	}
	return Decision{Action: Complete, Reason: "as good as the others"}
}

// drain is the time between the last request to the other servers and the completion.
func (j *Judge) drain() time.Duration {
	return min(j.order.Drain, time.Duration(maxDrainShare*float64(j.order.Duration)))
}

// step is the time between two rises.
func (j *Judge) step() time.Duration {
	return max(minStep, time.Duration(stepShare*float64(j.order.Duration)))
}

// due returns when a share of rises is due. All are as late as the deadline allows: a version
// that is good at first and bad later has got little by then.
func (j *Judge) due(share float64) time.Duration {
	margin := min(maxMargin, time.Duration(marginShare*float64(j.order.Duration)))
	at := j.order.Duration - margin - j.drain() - settleTime
	for _, later := range rises {
		if later > share {
			at -= j.step() + settleTime
		}
	}
	return at
}

// rise decides whether the share rises.
func (j *Judge) rise(s Situation, now time.Time) Decision {
	next := nextRise(s.Share)
	trialEnd := j.due(rises[0])
	ready := s.Servers >= minServers && float64(s.Cold) <= maxCold*float64(s.Servers+s.Cold)
	switch {
	case s.Share == 0 && (ready || s.Elapsed >= time.Duration(startShare*float64(j.order.Duration))):
		return Decision{Action: Raise, Share: j.trial(s, trialEnd), Reason: fmt.Sprintf("trial with %d servers", s.Servers)}
	case s.Share == 0:
		return Decision{Action: Hold, Reason: "few servers of the version are warm"}
	case min(s.InForce, now.Sub(j.since)) < j.step():
		return Decision{Action: Hold, Reason: "share has just changed"}
	case s.Elapsed < j.due(next):
		if trial := j.trial(s, trialEnd); s.Elapsed < trialEnd && trial >= riseFactor*s.Share && j.trialRises < maxTrialRises {
			j.trialRises++
			return Decision{Action: Raise, Share: trial, Reason: fmt.Sprintf("trial with %d servers", s.Servers)}
		}
		return Decision{Action: Hold, Reason: "next share is not due"}
	default:
		return Decision{Action: Raise, Share: next, Reason: "as good as the others"}
	}
}

// nextRise returns the next share of rises.
func nextRise(share float64) float64 {
	for _, next := range rises {
		if next > share {
			return next
		}
	}
	return 1
}

// trial returns the share that uses what is left of the budget of the trial by the end of it.
// Servers of the new version bear no more each than the others do.
func (j *Judge) trial(s Situation, end time.Duration) float64 {
	left := max(end-s.Elapsed, j.step()).Seconds()
	fair := float64(s.Servers) / float64(s.Servers+s.Others)
	share := trialBudget * j.bounds.Share * j.order.Duration.Seconds() / left
	if rate := j.evidence.rate(); rate > 0 {
		share += (slackBudget*j.bounds.Slack - float64(j.evidence.totals.results(true))) / (rate * left)
	}
	return min(max(min(share, maxTrial), minTrial), fair)
}

// lack returns what the evidence lacks to go on, or "".
func (j *Judge) lack(s Situation, now time.Time) string {
	if s.Share == 0 {
		return "" // nothing can be known yet
	}
	if now.Sub(j.lastReport) > silence {
		return "no reports"
	}
	counted := j.evidence.totals.minus(j.base).results(true)
	expected := j.evidence.rate() * s.Share * now.Sub(j.since).Seconds()
	if float64(counted) < min(minResults, minPart*expected) {
		return fmt.Sprintf("%d results of the version where %.0f were expected", counted, expected)
	}
	return ""
}
