package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

const (
	// maxRoutes bounds the routes of a version that are counted one by one. A report of a few
	// versions then stays within some kilobytes.
	maxRoutes = 32
	// maxVersions bounds the versions that a counter remembers. A roll-out compares two.
	maxVersions = 8
	// otherRoute counts the results of all further routes.
	otherRoute = "other"
	// minLatency is the shortest latency that is told apart, so that its logarithm is finite.
	minLatency = 10 * time.Microsecond
)

// Counter counts the results of the servers of a cell by version and route. It must not be used
// concurrently.
type Counter struct {
	cell     string
	versions []*versionCounter
}

// versionCounter counts the results of one version, by route.
type versionCounter struct {
	version string
	routes  map[string]*Tally
	// last is the time of the latest result.
	last time.Time
}

// NewCounter returns a counter without results.
func NewCounter(cell string) *Counter { return &Counter{cell: cell} }

// Add counts a result. An answer that a later attempt overtook counts with the time that it had
// taken until then, so that a version which is always overtaken still shows that it is slow. What
// was rejected unrun or given up says nothing about a version.
func (c *Counter) Add(version, route string, r health.Result, now time.Time) {
	bad := r.Kind.Bad()
	if !bad && r.Kind != health.OK && r.Kind != health.Late {
		return
	}
	t := c.version(version, now).tally(c.cell, route)
	t.Results++
	if bad {
		t.Bad++
		return
	}
	log := math.Log(max(r.Latency, minLatency).Seconds())
	t.LogSum += log
	t.LogSquares += log * log
}

// version returns the counter of a version. It takes the place of the one without results for the
// longest time if there are too many.
func (c *Counter) version(name string, now time.Time) *versionCounter {
	at := slices.IndexFunc(c.versions, func(v *versionCounter) bool { return v.version == name })
	if at < 0 {
		if len(c.versions) >= maxVersions {
			oldest := slices.MinFunc(c.versions, func(a, b *versionCounter) int { return a.last.Compare(b.last) })
			c.versions = slices.DeleteFunc(c.versions, func(v *versionCounter) bool { return v == oldest })
		}
		at = len(c.versions)
		c.versions = append(c.versions, &versionCounter{version: name, routes: make(map[string]*Tally)})
	}
	c.versions[at].last = now
	return c.versions[at]
}

func (v *versionCounter) tally(cell, route string) *Tally {
	t, known := v.routes[route]
	if known {
		return t
	}
	if len(v.routes) >= maxRoutes {
		route = otherRoute
	}
	if t, known = v.routes[route]; !known {
		t = &Tally{Cell: cell, Version: v.version, Route: route}
		v.routes[route] = t
	}
	return t
}

// Tallies returns what has been counted, ordered by version and route.
func (c *Counter) Tallies() []Tally {
	var list []Tally
	for _, v := range c.versions {
		for _, t := range v.routes {
			list = append(list, *t)
		}
	}
	slices.SortFunc(list, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return list
}
