package ctrl

import (
	"slices"
	"strings"
	"time"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const (
	// systemAuthor is the author of the leader's own changes.
	systemAuthor = "control"
	// voterCheckPeriod is the interval between checks of the lease voters.
	voterCheckPeriod = time.Second
	// voterSelectionDelay is how long a new leader collects reports of entries before
	// it selects voters.
	voterSelectionDelay = 3 * time.Second
	// firstVotersDelay is how long entries run with a state without voters, so that
	// the first voters know that they have never voted before. It counts from the first state:
	// while many servers register, the state changes all the time.
	firstVotersDelay = 1200 * time.Millisecond
	// voterTimeout is the silence after which a voter that the leader selected is
	// replaced.
	voterTimeout = 5 * time.Minute
	// maxVoters is the number of voters that the leader selects on its own.
	maxVoters = 7
)

// tickVoters moves the active voters one step towards the voters that operators asked
// for, or towards the leader's own selection if they asked for none.
func (c *Control) tickVoters(now time.Time) {
	if c.status.Load().Role != quorum.Leader || now.Sub(c.lastVoterCheck) < voterCheckPeriod {
		return
	}
	c.lastVoterCheck = now
	current := c.Ledger().State()
	if !c.firstVotersDue(current, now) {
		return
	}
	next := nextActiveVoters(current.ActiveVoters(), c.wantedVoters(current, now))
	if next == nil {
		return
	}
	ref := state.ActiveVoters{}.Ref()
	if record, ok := current.Record(ref); ok && !c.inForce(record.Index) {
		return
	}
	c.proposeSystemChange(ticket.Ticket{Number: ledger.SystemNumber, Set: []state.Object{state.ActiveVoters{VMs: next}}})
}

// firstVotersDue reports whether the voters may be chosen: there are some, or entries have run without
// any for long enough.
func (c *Control) firstVotersDue(current state.State, now time.Time) bool {
	return len(current.ActiveVoters()) > 0 || now.Sub(c.firstChange) >= firstVotersDelay
}

// proposeSystemChange proposes a change of the leader itself.
func (c *Control) proposeSystemChange(change ticket.Ticket) {
	data, err := ledger.EncodeProposal(ledger.Proposal{Ticket: change, Author: systemAuthor})
	if err != nil {
		return
	}
	c.node.Propose(data)
}

// wantedVoters returns the voters that a ticket names, or else the leader's selection.
func (c *Control) wantedVoters(s state.State, now time.Time) []string {
	if v, ok := state.Get[state.Voters](s, state.VotersName); ok {
		return v.VMs
	}
	if now.Sub(c.leaderSince) < voterSelectionDelay {
		return nil
	}
	var recent []candidate
	for vm, w := range c.watchers {
		if now.Sub(w.lastHeard) < voterTimeout && !w.leaving {
			recent = append(recent, candidate{vm, w.dataCentre})
		}
	}
	return chooseVoters(s.ActiveVoters(), recent)
}

// candidate is an entry that could be a lease voter.
type candidate struct {
	vm, dataCentre string
}

// chooseVoters selects an odd number of entries, spread over the data centres. It
// keeps current voters that are still among the candidates.
func chooseVoters(current []string, candidates []candidate) []string {
	size := min(maxVoters, len(candidates))
	if size%2 == 0 {
		size--
	}
	if size < len(current) {
		// A smaller fleet keeps its voters: they return, or a ticket names others.
		return current
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return strings.Compare(a.vm, b.vm) })
	var chosen []candidate
	for _, c := range candidates {
		if slices.Contains(current, c.vm) {
			chosen = append(chosen, c)
		}
	}
	for len(chosen) < size {
		chosen = append(chosen, fromLeastUsedDataCentre(chosen, candidates))
	}
	vms := make([]string, len(chosen))
	for i, c := range chosen {
		vms[i] = c.vm
	}
	slices.Sort(vms)
	return vms
}

// fromLeastUsedDataCentre returns a candidate that is not chosen yet, from the data
// centre with the fewest chosen candidates.
func fromLeastUsedDataCentre(chosen, candidates []candidate) candidate {
	count := make(map[string]int)
	for _, c := range chosen {
		count[c.dataCentre]++
	}
	best := -1
	for i, c := range candidates {
		if slices.Contains(chosen, c) {
			continue
		}
		if best < 0 || count[c.dataCentre] < count[candidates[best].dataCentre] {
			best = i
		}
	}
	return candidates[best]
}

// nextActiveVoters returns the next list on the way from current to wanted, or nil if
// there is nothing to change. Consecutive lists differ by one VM.
func nextActiveVoters(current, wanted []string) []string {
	if len(wanted) == 0 || slices.Equal(current, wanted) {
		return nil
	}
	if len(current) == 0 {
		return wanted
	}
	next := slices.Clone(current)
	for _, vm := range wanted {
		if len(current) <= len(wanted) && !slices.Contains(current, vm) {
			next = append(next, vm)
			slices.Sort(next)
			return next
		}
	}
	for i, vm := range current {
		if !slices.Contains(wanted, vm) {
			return slices.Delete(next, i, i+1)
		}
	}
	return nil
}
