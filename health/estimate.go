package health

import (
	"math"
	"time"
)

const (
	// grayFails is the part of its requests that a gray server fails. Servers that
	// fail less are found later, and cost less.
	grayFails = 0.7
	// firstSpan is the usual length of a gray spell before anything is known: how fast a
	// server that failed is thought to be sound again. It counts as much as spanPrior
	// spells that were seen; leastSpan and mostSpan bound what may be learned.
	firstSpan = 3 * time.Second
	spanPrior = 3.0
	leastSpan = time.Second
	mostSpan  = time.Minute
	// sureGray is the belief from which on a server counts as gray, and sureSound up to
	// which one that was gray counts as recovered.
	sureGray  = 0.8
	sureSound = 0.3
	// mostGap is the time between two results up to which the state between them is
	// known.
	mostGap = 5 * time.Second
	// spanKept is the part of what is known of spells that is kept with each further one.
	spanKept = 0.95
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

// Model is what is learned of a whole pool: how many of its servers are gray at
// a time, and how many bad results sound ones give. It is not safe for
// concurrent use.
type Model struct {
	gray   float64
	errors float64
	// spells is the number of gray spells whose end was seen, and inGray the time that
	// servers were seen gray.
	spells float64
	inGray time.Duration
}

// NewModel returns the climate of a pool that is not known.
func NewModel() *Model { return &Model{gray: firstGray, errors: firstErrors} }

// GrayShare returns the part of the servers that are gray at a time.
func (c *Model) GrayShare() float64 { return c.gray }

// GrayDuration returns the usual length of a gray spell.
func (c *Model) GrayDuration() time.Duration {
	span := (spanPrior*firstSpan.Seconds() + c.inGray.Seconds()) / (spanPrior + c.spells)
	return min(max(time.Duration(span*float64(time.Second)), leastSpan), mostSpan)
}

// learnSpan takes a result of a server that was gray a while before it.
func (c *Model) learnSpan(passed time.Duration, after float64) {
	c.inGray += min(passed, mostGap)
	if after > sureSound {
		return
	}
	c.spells = spanKept*c.spells + 1
	c.inGray = time.Duration(spanKept * float64(c.inGray))
}

// Update takes a result from a server that was gray with a probability before it.
func (c *Model) Update(before, after float64, bad bool) {
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

// Estimate is the probability that a server is gray: that it fails most requests
// while its health checks are good. It follows a hidden Markov model with two
// states. A good result makes it fall, a bad one rise, and with time it returns to
// the pool's usual value.
//
// The pattern it answers: at any time some servers fail most of their requests for
// a few seconds, and each entry alone sees too few results to notice in time.
type Estimate struct {
	gray float64
	at   time.Time
	// spell says that the server was gray and has not recovered for sure.
	spell bool
	// Observed says that there was any result.
	Observed bool
}

// NewEstimate returns the belief in a server that nothing is known of.
func NewEstimate(c *Model, now time.Time) Estimate { return Estimate{gray: c.gray, at: now} }

// Probability returns the probability that the server is gray at an instant.
func (b Estimate) Probability(c *Model, now time.Time) float64 {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return b.gray
	}
	// The rates of the two transitions add up to the rate of return.
	rate := 1 / (c.GrayDuration().Seconds() * (1 - c.gray))
	return c.gray + (b.gray-c.gray)*math.Exp(-rate*passed.Seconds())
}

// Age returns the time since the last result.
func (b Estimate) Age(now time.Time) time.Duration { return now.Sub(b.at) }

// WithResult returns the belief after a result.
func (b Estimate) WithResult(c *Model, bad bool, now time.Time) Estimate {
	before := b.Probability(c, now)
	gray, sound := 1-grayFails, 1-c.errors
	if bad {
		gray, sound = grayFails, c.errors
	}
	after := before * gray / (before*gray + (1-before)*sound)
	c.Update(before, after, bad)
	spell := b.spell
	if spell || b.gray > sureGray {
		c.learnSpan(now.Sub(b.at), after)
		spell = after > sureSound
	}
	return Estimate{gray: after, at: now, spell: spell, Observed: true}
}
