package ctrl

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/quorum"
)

// Guards against a small group that accepts no change for seconds after each election.
func TestNewLeaderOfASmallGroupAcceptsChanges(t *testing.T) {
	is := is.New(t)
	small := quorum.NewGroup(quorum.Replica{ID: 1, VM: "c1"}, quorum.Replica{ID: 2, VM: "c2"}, quorum.Replica{ID: 3, VM: "c3"})
	node, err := quorum.New(1, quorum.PersistedState{Snapshot: quorum.Snapshot{Group: small}})
	is.NoErr(err)
	c := &Control{options: newOptions(VM("c1"), Seeds([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}), MaxFailures(2)), node: node}
	c.status.Store(&quorum.Status{})
	for node.Status().Role != quorum.PreCandidate {
		node.Tick()
	}
	node.Step(quorum.Message{Kind: quorum.Append, From: 2, To: 1, Term: 1})
	c.publishStatus()
	started := c.options.Clock.Now()
	is.True(c.forming(started))
	later := started.Add(formationTimeout)
	c.leaderSince = later // a new leader
	is.True(!c.forming(later))
}
