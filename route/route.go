// Package route finds the route of a request by host, path and method. The
// route with the longest path prefix wins; a route with a host comes before one
// without.
//
// # Usage
//
//	table := route.New(state.List[state.Route](s))
//	r, verdict := table.Match("loan.example", "/decisions/7", "POST")
package route

import (
	"net"
	"slices"
	"strings"

	"github.com/dottereldeal/dottereldeal/state"
)

// Result is the result of a search.
type Result string

// The verdicts.
const (
	Found    Result = "found"
	NotFound Result = "not-found"
	// MethodNotAllowed means that a route has the path, but not the method.
	MethodNotAllowed Result = "wrong-method"
)

// Table is an immutable set of routes.
type Table struct {
	hosts map[string]*prefixes
}

// prefixes holds the routes of one host.
type prefixes struct {
	// lengths are the different lengths of path prefixes, longest first.
	lengths []int
	routes  map[string][]*state.Route
}

// New returns a table of routes.
func New(routes []state.Route) *Table {
	t := &Table{hosts: make(map[string]*prefixes)}
	for i := range routes {
		t.add(&routes[i])
	}
	return t
}

func (t *Table) add(r *state.Route) {
	p, ok := t.hosts[r.Host]
	if !ok {
		p = &prefixes{routes: make(map[string][]*state.Route)}
		t.hosts[r.Host] = p
	}
	p.routes[r.PathPrefix] = append(p.routes[r.PathPrefix], r)
	length := len(r.PathPrefix)
	at, found := slices.BinarySearchFunc(p.lengths, length, func(a, b int) int { return b - a })
	if !found {
		p.lengths = slices.Insert(p.lengths, at, length)
	}
}

// Match returns the route of a request.
func (t *Table) Match(host, path, method string) (*state.Route, Result) {
	verdict := NotFound
	for _, name := range []string{hostName(host), ""} {
		p, ok := t.hosts[name]
		if !ok {
			continue
		}
		r, v := p.match(path, method)
		if v == Found {
			return r, Found
		}
		if v == MethodNotAllowed {
			verdict = MethodNotAllowed
		}
	}
	return nil, verdict
}

func (p *prefixes) match(path, method string) (*state.Route, Result) {
	verdict := NotFound
	for _, length := range p.lengths {
		if length > len(path) {
			continue
		}
		for _, r := range p.routes[path[:length]] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, Found
			}
			verdict = MethodNotAllowed
		}
	}
	return nil, verdict
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
