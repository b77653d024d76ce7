package health

import (
	"math"
	"time"
)

const (
	// grayFailureRate is the share of requests that a gray server fails. Servers that fail
	// less are detected later, but also cause fewer failed requests.
	grayFailureRate = 0.7
	// initialGrayDuration is the assumed duration of a gray failure before any has been
	// observed. It determines how soon a server that failed is considered healthy again, and
	// counts as much as grayDurationPriorWeight observed failures. The learned duration stays
	// between minGrayDuration and maxGrayDuration.
	initialGrayDuration     = 3 * time.Second
	grayDurationPriorWeight = 3.0
	minGrayDuration         = time.Second
	maxGrayDuration         = time.Minute
	// grayThreshold is the probability above which a gray failure has begun, and
	// recoveredThreshold the probability at or below which it has ended.
	grayThreshold      = 0.8
	recoveredThreshold = 0.3
	// maxResultGap is the longest time between two results over which the state is considered
	// known.
	maxResultGap = 5 * time.Second
	// episodeDecay is the factor by which the weight of earlier episodes shrinks with each new
	// one.
	episodeDecay = 0.95
	// initialGrayShare is the assumed share of gray servers before any result. The learned
	// share stays between minGrayShare and maxGrayShare.
	initialGrayShare = 0.1
	minGrayShare     = 0.01
	maxGrayShare     = 0.4
	// initialErrorRate is the assumed failure rate of healthy servers before any result. The
	// learned rate stays between minErrorRate and maxErrorRate.
	initialErrorRate = 0.02
	minErrorRate     = 0.005
	maxErrorRate     = 0.3
	// modelWeight is the weight of one result in the moving averages of the model.
	modelWeight = 0.005
)

// Model holds the parameters learned for a whole pool: the share of gray servers, the
// duration of gray failures and the failure rate of healthy servers. It is not safe for
// concurrent use.
type Model struct {
	grayShare float64
	errorRate float64
	// episodes is the decayed number of gray failures that have ended, grayTime the decayed
	// time during which servers were observed to be gray.
	episodes float64
	grayTime time.Duration
}

// NewModel returns a model with the initial parameters.
func NewModel() *Model { return &Model{grayShare: initialGrayShare, errorRate: initialErrorRate} }

// GrayShare returns the share of servers that are gray at a time.
func (m *Model) GrayShare() float64 { return m.grayShare }

// GrayDuration returns the expected duration of a gray failure.
func (m *Model) GrayDuration() time.Duration {
	seconds := (grayDurationPriorWeight*initialGrayDuration.Seconds() + m.grayTime.Seconds()) / (grayDurationPriorWeight + m.episodes)
	return min(max(time.Duration(seconds*float64(time.Second)), minGrayDuration), maxGrayDuration)
}

// addEpisodeTime adds the time since the previous result of a server that was gray, and
// ends the episode if the server has recovered.
func (m *Model) addEpisodeTime(elapsed time.Duration, after float64) {
	m.grayTime += min(elapsed, maxResultGap)
	if after > recoveredThreshold {
		return
	}
	m.episodes = episodeDecay*m.episodes + 1
	m.grayTime = time.Duration(episodeDecay * float64(m.grayTime))
}

// Update adds a result of a server, with the probabilities of a gray failure before and
// after it.
func (m *Model) Update(before, after float64, bad bool) {
	m.grayShare += modelWeight * (after - m.grayShare)
	m.grayShare = min(max(m.grayShare, minGrayShare), maxGrayShare)
	// Results count towards the error rate by the probability that the server is healthy.
	healthy := modelWeight * (1 - after)
	value := 0.0
	if bad {
		value = 1
	}
	m.errorRate += healthy * (value - m.errorRate)
	m.errorRate = min(max(m.errorRate, minErrorRate), maxErrorRate)
}

// Estimate is the probability that a server has a gray failure, which means that it fails
// most requests while its health checks succeed. It follows a hidden Markov model with two
// states: successes lower it, failures raise it, and over time it returns to the share of
// gray servers in the pool.
//
// At any time, some servers fail most of their requests for a few seconds, and a single
// entry sees too few results to notice in time.
type Estimate struct {
	prob float64
	at   time.Time
	// inEpisode is set while a gray failure has begun and its end has not been observed.
	inEpisode bool
	// Observed is set after the first result.
	Observed bool
}

// NewEstimate returns the estimate for a server without results.
func NewEstimate(m *Model, now time.Time) Estimate { return Estimate{prob: m.grayShare, at: now} }

// Probability returns the probability of a gray failure at the given time.
func (e Estimate) Probability(m *Model, now time.Time) float64 { return m.At(now).Probability(e) }

// Moment evaluates estimates at one time.
type Moment struct {
	now   time.Time
	share float64
	rate  float64
}

// At returns the model at the given time. It is valid until the next result.
func (m *Model) At(now time.Time) Moment {
	// Estimates decay at the sum of the rates of both state transitions.
	return Moment{now: now, share: m.grayShare, rate: 1 / (m.GrayDuration().Seconds() * (1 - m.grayShare))}
}

// Probability returns the probability of a gray failure.
func (t Moment) Probability(e Estimate) float64 {
	elapsed := t.now.Sub(e.at)
	if elapsed <= 0 {
		return e.prob
	}
	return t.share + (e.prob-t.share)*math.Exp(-t.rate*elapsed.Seconds())
}

// Age returns the time since the last result.
func (e Estimate) Age(now time.Time) time.Duration { return now.Sub(e.at) }

// WithResult returns the estimate after a result that shows the state of the server at the
// given time. seen is the part of the failures that would have shown before and was counted
// by WithoutFailure, 0 if that was not called for the request.
func (e Estimate) WithResult(m *Model, bad bool, seen float64, at time.Time) Estimate {
	if at.Before(e.at) {
		at = e.at
	}
	before := e.Probability(m, at)
	gray, healthy := (1-grayFailureRate)/(1-grayFailureRate*seen), 1-m.errorRate
	if bad {
		gray, healthy = grayFailureRate, m.errorRate
	}
	after := before * gray / (before*gray + (1-before)*healthy)
	m.Update(before, after, bad)
	inEpisode := e.inEpisode
	if inEpisode || e.prob > grayThreshold {
		m.addEpisodeTime(at.Sub(e.at), after)
		inEpisode = after > recoveredThreshold
	}
	return Estimate{prob: after, at: at, inEpisode: inEpisode, Observed: true}
}

// WithoutFailure returns the estimate after a request has run for so long that the part seen
// of all failures would have shown.
//
// Gray servers fail a request within milliseconds, while an answer takes a few hundred: that
// a server has not failed at once is known much sooner than its success.
func (e Estimate) WithoutFailure(m *Model, seen float64, at time.Time) Estimate {
	if at.Before(e.at) {
		at = e.at
	}
	before := e.Probability(m, at)
	gray := 1 - grayFailureRate*seen
	e.prob = before * gray / (before*gray + 1 - before)
	e.at = at
	e.Observed = true
	return e
}
