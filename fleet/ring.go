package fleet

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// ringCount is the number of hash rings from which neighbours are chosen. A member has at
	// most two neighbours on each ring, and monitors all of them.
	ringCount = 4
	// floodRings is the number of rings over which new items are passed on. An item that
	// misses a member, because two of its neighbours have failed, reaches it when neighbours
	// compare checksums.
	floodRings = 2
)

// neighboursOf returns the predecessor and successor of vm on every ring, and those of them
// on the first floodRings rings. Both relations are symmetric, and the union of a few rings is
// a graph with a small diameter.
func neighboursOf(vm string, vms []string) (neighbours, flooded []string) {
	for ring := range ringCount {
		order := ringOrder(ring, vms)
		position := slices.Index(order, vm)
		if position < 0 || len(order) < 2 {
			return nil, nil
		}
		neighbours = append(neighbours, order[(position+1)%len(order)], order[(position+len(order)-1)%len(order)])
		if ring == floodRings-1 {
			flooded = slices.Clone(neighbours)
		}
	}
	slices.Sort(neighbours)
	slices.Sort(flooded)
	return slices.Compact(neighbours), slices.Compact(flooded)
}

// ringPosition is the position of a member on a ring.
type ringPosition struct {
	vm   string
	hash uint64
}

// ringOrder returns the members in the order of their hashes on a ring.
func ringOrder(ring int, vms []string) []string {
	prefix := strconv.Itoa(ring) + "/"
	positions := make([]ringPosition, len(vms))
	for i, vm := range vms {
		positions[i] = ringPosition{vm, xxhash.Sum64String(prefix + vm)}
	}
	slices.SortFunc(positions, func(a, b ringPosition) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		default:
			return strings.Compare(a.vm, b.vm)
		}
	})
	order := make([]string, len(positions))
	for i, p := range positions {
		order[i] = p.vm
	}
	return order
}

// Rendezvous assigns a name to a VM by rendezvous hashing (highest random weight).
// All members with the same list agree on the result, and few names are reassigned
// when the list changes.
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
