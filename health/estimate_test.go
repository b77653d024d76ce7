package health

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The duration of gray failures is learned from the results. If they are short, a server
// soon counts as healthy again; if they are long, it is avoided for longer.
func TestGrayDurationIsLearned(t *testing.T) {
	for _, duration := range []time.Duration{2 * time.Second, 12 * time.Second} {
		random := rand.New(rand.NewPCG(1, uint64(duration)))
		model := NewModel()
		now := time.Unix(9000, 0)
		estimates := make([]Estimate, 30)
		for i := range estimates {
			estimates[i] = NewEstimate(model, now)
		}
		gray := make([]bool, len(estimates))
		const step = 250 * time.Millisecond // four results per second and server
		for range 4 * 120 {
			now = now.Add(step)
			for i := range estimates {
				change := step.Seconds() / duration.Seconds()
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
				estimates[i] = estimates[i].WithResult(model, bad, 0, now)
			}
		}
		if learned := model.GrayDuration(); learned < duration/2 || learned > 2*duration {
			t.Errorf("gray failures of %s: learned %s", duration, learned)
		}
	}
}
