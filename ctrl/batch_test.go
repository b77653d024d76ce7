package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
)

// Guards against a leader that writes to its disk once for each call: while a hundred servers registered,
// those that left were acknowledged 1.2 s later (DRAIN).
func TestCallsThatWaitShareOneWriteToDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, _ := newCompleteGroup(t)
	const calls = 200
	node := g.nodes[leader]
	g.configure(leader, 1, "loans")
	blocked, release := make(chan struct{}), make(chan struct{})
	go node.do(t.Context(), func() { close(blocked); <-release })
	<-blocked
	registered := make(chan error, calls)
	for i := range calls {
		server := state.Target{
			Name: fmt.Sprint("s", i), Pool: "loans", DataCentre: "a", Addr: fmt.Sprintf("10.0.0.%d:80", i+1), Slots: 4,
			Phase: state.TargetWarm, Boot: 100, Count: 1,
		}
		go func() { registered <- node.Register(t.Context(), server) }()
	}
	g.await("calls that wait", 5*time.Second, func() bool { return len(node.work) >= calls })
	before := g.syncs[leader].Load()
	close(release)
	for range calls {
		is.NoErr(<-registered)
	}
	is.True(g.syncs[leader].Load()-before < calls/4)
}
