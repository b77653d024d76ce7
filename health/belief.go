package health

import (
	"math"
	"time"
)

const (
	// grayFails is the part of its requests that a gray server fails. Servers that
	// fail less are found later, and cost less.
	grayFails = 0.7
	// graySpan is the usual length of a gray spell: how fast a server that failed
	// is thought to be sound again.
	graySpan = 3 * time.Second
	// firstGray is the part of the servers thought to be gray before anything is
	// known, leastGray and mostGray the bounds of what may be learned.
	firstGray = 0.1
	leastGray = 0.01
	mostGray  = 0.4
	// firstErrors is the part of bad results at sound servers before anything is
	// known, leastErrors and mostErrors the bounds of what may be learned.
	firstErrors = 0.02
	leastErrors = 0.005
	mostErrors  = 0.3
	// learnWeight is the weight of one result in what is learned of the pool.
	learnWeight = 0.005
)

// Climate is what is learned of a whole pool: how many of its servers are gray at
// a time, and how many bad results sound ones give. It is not safe for
// concurrent use.
type Climate struct {
	gray   float64
	errors float64
}

// NewClimate returns the climate of a pool that is not known.
func NewClimate() *Climate { return &Climate{gray: firstGray, errors: firstErrors} }

// Gray returns the part of the servers that are gray at a time.
func (c *Climate) Gray() float64 { return c.gray }

// Learn takes a result from a server that was gray with a probability before it.
func (c *Climate) Learn(before, after float64, bad bool) {
	c.gray += learnWeight * (after - c.gray)
	c.gray = min(max(c.gray, leastGray), mostGray)
	// A result counts for the sound servers as far as its server is one.
	sound := learnWeight * (1 - after)
	value := 0.0
	if bad {
		value = 1
	}
	c.errors += sound * (value - c.errors)
	c.errors = min(max(c.errors, leastErrors), mostErrors)
}

// Belief is the probability that a server is gray: that it fails most requests
// while its health checks are good. It follows a hidden Markov model with two
// states. A good result makes it fall, a bad one rise, and with time it returns to
// the pool's usual value.
//
// The pattern it answers: at any time some servers fail most of their requests for
// a few seconds, and each entry alone sees too few results to notice in time.
type Belief struct {
	gray float64
	at   time.Time
	// Tried says that there was any result.
	Tried bool
}

// NewBelief returns the belief in a server that nothing is known of.
func NewBelief(c *Climate, now time.Time) Belief { return Belief{gray: c.gray, at: now} }

// At returns the probability that the server is gray at an instant.
func (b Belief) At(c *Climate, now time.Time) float64 {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return b.gray
	}
	// The rates of the two transitions add up to the rate of return.
	rate := 1 / (graySpan.Seconds() * (1 - c.gray))
	return c.gray + (b.gray-c.gray)*math.Exp(-rate*passed.Seconds())
}

// Age returns the time since the last result.
func (b Belief) Age(now time.Time) time.Duration { return now.Sub(b.at) }

// WithResult returns the belief after a result.
func (b Belief) WithResult(c *Climate, bad bool, now time.Time) Belief {
	before := b.At(c, now)
	gray, sound := 1-grayFails, 1-c.errors
	if bad {
		gray, sound = grayFails, c.errors
	}
	after := before * gray / (before*gray + (1-before)*sound)
	c.Learn(before, after, bad)
	return Belief{gray: after, at: now, Tried: true}
}
