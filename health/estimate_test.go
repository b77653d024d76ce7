package health

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The length of gray spells is learned from how long servers stay gray: with short ones a
// server is soon thought to be sound again, with long ones it is left alone.
func TestTheLengthOfGraySpellsIsLearned(t *testing.T) {
	for _, span := range []time.Duration{2 * time.Second, 12 * time.Second} {
		random := rand.New(rand.NewPCG(1, uint64(span)))
		c := NewModel()
		now := time.Unix(9000, 0)
		beliefs := make([]Estimate, 30)
		for i := range beliefs {
			beliefs[i] = NewEstimate(c, now)
		}
		gray := make([]bool, len(beliefs))
		const step = 250 * time.Millisecond // each server has four results a second
		for range 4 * 120 {
			now = now.Add(step)
			for i := range beliefs {
				change := step.Seconds() / span.Seconds()
				if !gray[i] {
					change *= 0.3 / 0.7
				}
				if random.Float64() < change {
					gray[i] = !gray[i]
				}
				bad := random.Float64() < 0.012
				if gray[i] {
					bad = random.Float64() < 0.9
				}
				beliefs[i] = beliefs[i].WithResult(c, bad, now)
			}
		}
		if learned := c.GrayDuration(); learned < span/2 || learned > 2*span {
			t.Errorf("spells of %s: learned %s", span, learned)
		}
	}
}
