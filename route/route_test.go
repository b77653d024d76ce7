package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/route"
	"github.com/dottereldeal/dottereldeal/state"
)

func TestMatch(t *testing.T) {
	table := route.New([]state.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "loan", Host: "loan.example", PathPrefix: "/", Methods: []string{"GET"}},
		{Name: "decisions", Host: "loan.example", PathPrefix: "/decisions/", Methods: []string{"POST"}},
		{Name: "decisions-read", Host: "loan.example", PathPrefix: "/decisions/", Methods: []string{"GET"}},
	})
	for _, c := range []struct{ host, path, method, want string }{
		{"loan.example:8443", "/decisions/7", "POST", "decisions"},
		{"LOAN.example", "/decisions/7", "GET", "decisions-read"},
		{"loan.example", "/status", "GET", "loan"},
		{"loan.example", "/status", "POST", "all"},
		{"other.example", "/decisions/7", "PUT", "all"},
	} {
		is := is.New(t)
		r, result := table.Match(c.host, c.path, c.method)
		is.Equal(result, route.Found)
		is.Equal(r.Name, c.want)
	}
	is := is.New(t)
	none := route.New([]state.Route{{Name: "a", Host: "a.example", PathPrefix: "/a/", Methods: []string{"GET"}}})
	_, result := none.Match("b.example", "/a/", "GET")
	is.Equal(result, route.NotFound)
	_, result = none.Match("a.example", "/a/x", "POST")
	is.Equal(result, route.MethodNotAllowed)
}

func BenchmarkMatch830(b *testing.B) {
	var routes []state.Route
	for i := range 830 {
		routes = append(routes, state.Route{
			Name: "r", Host: "loan.example", PathPrefix: "/" + string(rune('a'+i%26)) + "/" + string(rune('a'+i/26)) + "/",
		})
	}
	table := route.New(routes)
	b.ReportAllocs()
	for b.Loop() {
		table.Match("loan.example", "/k/d/77", "GET")
	}
}
