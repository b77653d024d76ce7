package lease

import "time"

// AnswerTime is how long the holder of a lease takes to answer this VM, as averages over its answers.
// While bodies fill a link an answer takes longer than usual, and whoever gives up too early asks for
// more of what is late. The zero value has seen no answer.
type AnswerTime struct {
	mean, deviation time.Duration
}

// Learn adds the time until an answer, which may have come too late.
func (a *AnswerTime) Learn(took time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = took, took/2
		return
	}
	a.deviation += ((took - a.mean).Abs() - a.deviation) / 4
	a.mean += (took - a.mean) / 8
}

// Usual returns the time within which nearly all answers come, within bounds.
func (a *AnswerTime) Usual(least, most time.Duration) time.Duration {
	return min(max(a.mean+4*a.deviation, least), most)
}
