package limit

import (
	"time"

	"github.com/dottereldeal/dottereldeal/lease"
)

const (
	// minAskTimeout and maxAskTimeout bound the time after which an unanswered token request is
	// repeated.
	minAskTimeout = 150 * time.Millisecond
	maxAskTimeout = time.Second
	// maxAsks bounds the unanswered requests whose late answers are accepted.
	maxAsks = 8
)

// ask is a token request that was sent to the holder.
type ask struct {
	seq    uint64
	sentAt time.Time
}

// asks holds the unanswered token requests for one workspace to its present holder, and how long that
// takes to answer.
//
// On a link that is full of bodies an answer takes longer than usual. If a repeated request made an
// entry drop the answer to the earlier one, no answer would ever be accepted while they take longer
// than the time-out, and the repeats would add to what fills the link.
type asks struct {
	open    []ask
	answers lease.AnswerTime
	// reportedAt is when the holder was last reported as failed.
	reportedAt time.Time
}

// timeout returns the time after which the newest request is repeated. It follows the answers, and
// doubles with each request that is still unanswered.
func (a *asks) timeout() time.Duration {
	return min(a.usual()<<max(0, len(a.open)-1), maxAskTimeout)
}

// usual returns the time within which nearly all answers come.
func (a *asks) usual() time.Duration {
	return a.answers.Usual(minAskTimeout, maxAskTimeout)
}

// failureDue reports whether to report the holder as failed: the oldest request should have been
// answered, and the last report is as old.
func (a *asks) failureDue(now time.Time) bool {
	if len(a.open) == 0 || now.Sub(a.open[0].sentAt) < a.usual() || now.Sub(a.reportedAt) < minAskTimeout {
		return false
	}
	a.reportedAt = now
	return true
}

// pending reports whether the answer to the newest request may still come in time.
func (a *asks) pending(now time.Time) bool {
	return len(a.open) > 0 && now.Sub(a.open[len(a.open)-1].sentAt) < a.timeout()
}

// add notes a request.
func (a *asks) add(next ask) {
	if len(a.open) == maxAsks {
		a.open = a.open[1:]
	}
	a.open = append(a.open, next)
}

// answered removes the request that an answer belongs to, and those before it: a link keeps its order.
// It reports false if there is none, as for a repeated answer.
func (a *asks) answered(seq uint64, now time.Time) (ask, bool) {
	for i, one := range a.open {
		if one.seq != seq {
			continue
		}
		a.answers.Learn(now.Sub(one.sentAt))
		a.open = append(a.open[:0], a.open[i+1:]...)
		return one, true
	}
	return ask{}, false
}
