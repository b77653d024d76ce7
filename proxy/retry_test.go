package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// inOrder gives the servers of a list one after the other, and remembers for each
// whether the request had reached one before.
type inOrder struct {
	targets []fleet.Target
	arrived []bool
}

func (p *inOrder) Pick(_ context.Context, _ string, r pick.Request) (pick.Choice, error) {
	if len(p.arrived) == len(p.targets) {
		return pick.Choice{}, pick.ErrNoServer
	}
	p.arrived = append(p.arrived, r.Arrived)
	return pick.Choice{Target: p.targets[len(p.arrived)-1], Done: func(health.Result) {}, RetryCounted: true}, nil
}

func (*inOrder) HedgeDelay(string) time.Duration { return 0 }
func (*inOrder) String() string                  { return "in order" }

// A data centre is lost and its servers refuse connections: a request that must run once
// goes on to one that is there, however many it finds gone.
func TestRequestsGoOnUntilTheyReachAServer(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t, nil)
	p := &inOrder{}
	for range 4 {
		p.targets = append(p.targets, fleet.Target{Name: "gone", Pool: "p", Addr: fake.FreeAddr().String(), Slots: 4})
	}
	p.targets = append(p.targets, k.target("there"))
	server := serve(t, p, keptOptions()...)
	response, body := askOnce(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "first")
	for _, arrived := range p.arrived {
		is.True(!arrived)
	}
}

// Attempts that reached a server are bounded by the route as before.
func TestAttemptsThatArrivedAreBounded(t *testing.T) {
	is := is.New(t)
	p := &inOrder{}
	var cutters []*cutter
	for range 5 {
		c := startCutter(t, 10)
		cutters = append(cutters, c)
		p.targets = append(p.targets, c.target("cuts"))
	}
	server := serve(t, p)
	response := ask(t, http.MethodGet, server.URL+"/read/1", strings.NewReader(""), nil)
	is.True(response.StatusCode >= 500)
	reached := int64(0)
	for _, c := range cutters {
		reached += c.reached.Load()
	}
	is.True(reached <= 3)
	is.True(response.Header.Get(proxy.OutcomeHeader) != string(proxy.NotRun))
}
