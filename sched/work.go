package sched

import (
	"math"
	"time"
)

const (
	// maxRoutes bounds the routes whose work is known. A pool serves a few dozen.
	maxRoutes = 256
	// workWeight is the weight of one answer in the averages of a route: some twenty of the
	// latest answers count.
	workWeight = 0.05
	// minWorkSamples is the number of answers from which a route has an estimate of its own.
	minWorkSamples = 5
	// initialSpread is the assumed standard deviation of the logarithm of the work before any
	// answer.
	initialSpread = 0.5
	// likelyDeviations is the number of standard deviations, on a logarithmic scale, above the
	// median at which five of six requests have ended.
	likelyDeviations = 1.0
)

// work is how long a request keeps a slot: on the mean, the time by which half of the requests
// have ended, and that by which five of six have.
type work struct {
	mean, usual, likely time.Duration
}

// learnedWork is the moving mean and variance of the logarithm of the microseconds that
// requests have taken.
type learnedWork struct {
	samples        int
	mean, variance float64
	work           work
	lastAnswer     time.Time
}

func (l *learnedWork) add(latency time.Duration, now time.Time) {
	logLatency := math.Log(float64(max(1, latency.Microseconds())))
	l.samples++
	weight := max(workWeight, 1/float64(l.samples))
	deviation := logLatency - l.mean
	l.mean += weight * deviation
	l.variance = (1 - weight) * (l.variance + weight*deviation*deviation)
	l.lastAnswer = now
	l.work = workOf(l.mean, l.variance)
}

func workOf(mean, variance float64) work {
	micros := func(exponent float64) time.Duration {
		return time.Duration(math.Exp(exponent) * float64(time.Microsecond))
	}
	return work{mean: micros(mean + variance/2), usual: micros(mean), likely: micros(mean + likelyDeviations*math.Sqrt(variance))}
}

// works learns how much work the requests of each route need.
//
// The load it answers: several kinds of requests share the servers of a pool, some of which
// need four times the work of others. With one average for all, the wait behind short requests
// is overestimated, and long ones are sent when they can no longer be answered in time.
type works struct {
	pool    learnedWork
	byRoute map[string]*learnedWork
}

func newWorks() *works { return &works{byRoute: make(map[string]*learnedWork)} }

// of returns the work of a route, or that of the whole pool while the route has too few answers.
func (w *works) of(route string) work {
	if l := w.byRoute[route]; l != nil && l.samples >= minWorkSamples {
		return l.work
	}
	if w.pool.samples >= minWorkSamples {
		return w.pool.work
	}
	return workOf(math.Log(float64(initialServiceTime.Microseconds())), initialSpread*initialSpread)
}

// learn adds the time that a successful request has taken.
func (w *works) learn(route string, latency time.Duration, now time.Time) {
	w.pool.add(latency, now)
	l := w.byRoute[route]
	if l == nil {
		if len(w.byRoute) >= maxRoutes {
			w.forgetOldest()
		}
		l = &learnedWork{}
		w.byRoute[route] = l
	}
	l.add(latency, now)
}

// forgetOldest forgets the route without an answer for the longest time.
func (w *works) forgetOldest() {
	oldest := ""
	for route, l := range w.byRoute {
		if first := w.byRoute[oldest]; first == nil || l.lastAnswer.Before(first.lastAnswer) {
			oldest = route
		}
	}
	delete(w.byRoute, oldest)
}
