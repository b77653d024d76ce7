// Package route matches requests to routes by host, path and method. Routes with
// the request's host take precedence over routes without a host, and longer path
// prefixes over shorter ones.
//
// # Usage
//
//	table := route.New(state.List[state.Route](s))
//	r, result := table.Match("loan.example", "/decisions/7", "POST")
package route

import (
	"net"
	"slices"
	"strings"

	"github.com/dottereldeal/dottereldeal/state"
)

// Result is the result of matching a request.
type Result string

// Results of Match.
const (
	Found    Result = "found"
	NotFound Result = "not-found"
	// MethodNotAllowed means that routes match the path, but none allows the method.
	MethodNotAllowed Result = "wrong-method"
)

// Table is an immutable routing table.
type Table struct {
	hosts map[string]*hostRoutes
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	// prefixLengths holds the distinct lengths of the path prefixes, longest first.
	prefixLengths []int
	routes        map[string][]*state.Route
}

// New returns the routing table of a list of routes.
func New(routes []state.Route) *Table {
	t := &Table{hosts: make(map[string]*hostRoutes)}
	for i := range routes {
		t.add(&routes[i])
	}
	return t
}

func (t *Table) add(r *state.Route) {
	p, ok := t.hosts[r.Host]
	if !ok {
		p = &hostRoutes{routes: make(map[string][]*state.Route)}
		t.hosts[r.Host] = p
	}
	p.routes[r.PathPrefix] = append(p.routes[r.PathPrefix], r)
	length := len(r.PathPrefix)
	index, found := slices.BinarySearchFunc(p.prefixLengths, length, func(a, b int) int { return b - a })
	if !found {
		p.prefixLengths = slices.Insert(p.prefixLengths, index, length)
	}
}

// Match returns the route of a request, or nil unless the result is Found.
func (t *Table) Match(host, path, method string) (*state.Route, Result) {
	result := NotFound
	for _, name := range []string{hostName(host), ""} {
		p, ok := t.hosts[name]
		if !ok {
			continue
		}
		r, hostResult := p.match(path, method)
		if hostResult == Found {
			return r, Found
		}
		if hostResult == MethodNotAllowed {
			result = MethodNotAllowed
		}
	}
	return nil, result
}

func (p *hostRoutes) match(path, method string) (*state.Route, Result) {
	result := NotFound
	for _, length := range p.prefixLengths {
		if length > len(path) {
			continue
		}
		for _, r := range p.routes[path[:length]] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, Found
			}
			result = MethodNotAllowed
		}
	}
	return nil, result
}

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
