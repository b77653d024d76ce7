package ctrl

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
)

// Guards against a fleet that has no lease voters, so that no rate and no cell has a holder, as long as
// servers go on registering (SHORT).
func TestFirstVotersAreChosenWhileServersRegister(t *testing.T) {
	is := is.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	g := &Control{options: newOptions(VM("c1"), Clock(manual)), watchers: make(map[string]*watcher)}
	l := ledger.New(ledger.DefaultDedupWindow)
	g.ledger.Store(&l)
	g.status.Store(&quorum.Status{Role: quorum.Leader})
	g.leaderSince = manual.Now()
	for i := range 100 {
		g.noteChange(manual.Now())
		due := g.firstVotersDue(state.State{}, manual.Now())
		is.Equal(due, time.Duration(i)*50*time.Millisecond >= firstVotersDelay)
		manual.Advance(50 * time.Millisecond)
	}
}
