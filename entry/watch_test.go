package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
)

// An entry on a slow link needs more than a second for the first state. Copies of it that
// other VMs send meanwhile take as long again: 440 entries had 1.5 GB on their way.
func TestFirstStateIsRequestedFromOneVMAtATime(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	w := &configWatcher{entry: &Entry{options: newOptions(Clock(manual))}, controls: []string{"c1", "c2", "c3"}}
	ask := func() string {
		source, _ := w.nextInitialSource(0, "", false, manual.Now())
		return source
	}
	first := ask()
	is.True(first != "")
	manual.Advance(initialAnswerTimeout / 2)
	is.Equal(ask(), "")
	manual.Advance(initialAnswerTimeout)
	second := ask() // the first one is silent
	is.True(second != "" && second != first)
	w.noteInitialAnswer(first) // too late
	manual.Advance(initialAnswerTimeout / 2)
	w.noteInitialAnswer(second)
	for range 5 {
		manual.Advance(initialStateTimeout / 2)
		is.Equal(ask(), "")
		w.noteInitialAnswer(second) // another part
	}
	manual.Advance(initialStateTimeout)
	is.True(ask() != "") // it broke off
}
