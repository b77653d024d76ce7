package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/health"
)

var tallyStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func TestCounterCountsResultsByVersionAndRoute(t *testing.T) {
	is := is.New(t)
	c := NewCounter("desk@d1.0")
	add := func(version, route string, kind health.Kind, latency time.Duration) {
		c.Add(version, route, health.Result{Kind: kind, Latency: latency}, tallyStart)
	}
	for _, kind := range []health.Kind{health.Failed, health.TimedOut, health.Torn, health.Unreachable} {
		add("v2", "read", kind, time.Second)
	}
	for _, kind := range []health.Kind{health.Shed, health.Cancelled, ""} {
		add("v2", "read", kind, time.Second)
	}
	add("v2", "read", health.OK, 100*time.Millisecond)
	add("v2", "read", health.Late, 400*time.Millisecond) // overtaken by a later attempt
	add("v2", "write", health.OK, 0)
	add("v1", "read", health.OK, 100*time.Millisecond)
	list := c.Tallies()
	is.Equal(len(list), 3)
	is.Equal(list[0].Version+list[0].Route+list[0].Cell, "v1readdesk@d1.0")
	read := list[1]
	is.Equal([]uint64{read.Results, read.Bad}, []uint64{6, 4})
	is.True(math.Abs(read.LogSum-(math.Log(0.1)+math.Log(0.4))) < 1e-9)
	is.True(math.Abs(read.LogSquares-(math.Pow(math.Log(0.1), 2)+math.Pow(math.Log(0.4), 2))) < 1e-9)
	is.True(!math.IsInf(list[2].LogSum, 0))
}

func TestCounterStaysBoundedAndOnlyGrows(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := NewCounter("desk")
		before := make(map[string]Tally)
		total := uint64(0)
		for i := range 5000 {
			version, route := fmt.Sprint("v", random.IntN(3)), fmt.Sprint("r", random.IntN(3*maxRoutes))
			c.Add(version, route, health.Result{Kind: health.Failed}, tallyStart.Add(time.Duration(i)*time.Millisecond))
			total++
			if i%500 > 0 {
				continue
			}
			for _, one := range c.Tallies() {
				is.True(one.Results >= before[one.Version+one.Route].Results)
				before[one.Version+one.Route] = one
			}
		}
		sum := uint64(0)
		for _, one := range c.Tallies() {
			sum += one.Results
		}
		is.Equal(sum, total)
		is.True(len(c.Tallies()) <= 3*(maxRoutes+1))
	}
}

func TestCounterForgetsTheVersionOfTheEarliestRollout(t *testing.T) {
	is := is.New(t)
	c := NewCounter("desk")
	for i := range 3 * maxVersions {
		now := tallyStart.Add(time.Duration(i) * time.Minute)
		c.Add(fmt.Sprint("v", i), "read", health.Result{Kind: health.Failed}, now)
		c.Add("v0", "read", health.Result{Kind: health.Failed}, now)
	}
	is.Equal(len(c.versions), maxVersions)
	is.Equal(c.versions[0].version, "v0")
	is.Equal(c.versions[0].routes["read"].Results, uint64(3*maxVersions+1))
}
