package fleet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// rings is the number of orders in which members stand beside each other. Each
// member has at most twice as many neighbours.
const rings = 4

// neighboursOf returns the members next to vm on every ring. The relation is
// symmetric, and the graph of a few rings has short paths between all members.
func neighboursOf(vm string, vms []string) []string {
	var list []string
	for ring := range rings {
		order := ringOrder(ring, vms)
		at := slices.Index(order, vm)
		if at < 0 || len(order) < 2 {
			return nil
		}
		list = append(list, order[(at+1)%len(order)], order[(at+len(order)-1)%len(order)])
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// place is a member's position on a ring.
type place struct {
	vm   string
	hash uint64
}

func ringOrder(ring int, vms []string) []string {
	prefix := strconv.Itoa(ring) + "/"
	places := make([]place, len(vms))
	for i, vm := range vms {
		places[i] = place{vm, xxhash.Sum64String(prefix + vm)}
	}
	slices.SortFunc(places, func(a, b place) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		default:
			return strings.Compare(a.vm, b.vm)
		}
	})
	order := make([]string, len(places))
	for i, p := range places {
		order[i] = p.vm
	}
	return order
}

// Rendezvous returns the VM that has the highest hash together with a name, so
// that all members agree and few names move when the list changes.
func Rendezvous(name string, vms []string) string {
	best, bestHash := "", uint64(0)
	for _, vm := range vms {
		hash := xxhash.Sum64String(vm + "/" + name)
		if best == "" || hash > bestHash || hash == bestHash && vm < best {
			best, bestHash = vm, hash
		}
	}
	return best
}
