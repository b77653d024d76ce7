package route

import "github.com/dottereldeal/dottereldeal/state"

// SelectPool returns the pool for a request: the route's only pool, or one of its shares
// chosen by weight. point must be uniformly distributed in [0, 1).
func SelectPool(r *state.Route, point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Pools()[0]
	}
	selected := ""
	point *= total
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		if selected = s.Pool; point < s.Weight {
			break
		}
		point -= s.Weight
	}
	return selected
}
