package sched

import "math/rand/v2"

// place is the position of a queued request: the lower class first, then the lower score, then
// the earlier one.
type place struct {
	class int32
	score int64
	seq   uint64
}

func (p place) before(other place) bool {
	if p.class != other.class {
		return p.class < other.class
	}
	if p.score != other.score {
		return p.score < other.score
	}
	return p.seq < other.seq
}

// order keeps values by their place, and knows the sum of their loads before any place. All
// operations take logarithmic time, and memory is reused.
//
// The load it answers: thousands of requests wait, and every arrival asks how much work is
// ahead of it. Walking the queue for that kept holders from deciding in time.
//
// It is a treap: a search tree by place, and a heap by random weights, which keep it balanced.
type order[V any] struct {
	nodes  []orderNode // the first one is unused, so that 0 is no node
	values []V
	free   []int32
	root   int32
}

type orderNode struct {
	at          place
	load, total float64
	count       int32
	left, right int32
	weight      uint32
}

func newOrder[V any]() *order[V] {
	return &order[V]{nodes: make([]orderNode, 1), values: make([]V, 1)}
}

// len returns the number of values, and load the sum of their loads.
func (o *order[V]) len() int      { return int(o.nodes[o.root].count) }
func (o *order[V]) load() float64 { return o.nodes[o.root].total }

// add inserts a value. No other one may have its place.
func (o *order[V]) add(at place, load float64, value V) {
	var n int32
	if last := len(o.free) - 1; last >= 0 {
		n, o.free = o.free[last], o.free[:last]
	} else {
		n = int32(len(o.nodes))
		var none V
		o.nodes, o.values = append(o.nodes, orderNode{}), append(o.values, none)
	}
	o.nodes[n] = orderNode{at: at, load: load, total: load, count: 1, weight: rand.Uint32()}
	o.values[n] = value
	o.root = o.insert(o.root, n)
}

func (o *order[V]) insert(t, n int32) int32 {
	if t == 0 {
		return n
	}
	root := &o.nodes[t]
	if o.nodes[n].at.before(root.at) {
		root.left = o.insert(root.left, n)
		if l := root.left; o.nodes[l].weight > root.weight {
			root.left, o.nodes[l].right = o.nodes[l].right, t
			o.update(t)
			t = l
		}
	} else {
		root.right = o.insert(root.right, n)
		if r := root.right; o.nodes[r].weight > root.weight {
			root.right, o.nodes[r].left = o.nodes[r].left, t
			o.update(t)
			t = r
		}
	}
	o.update(t)
	return t
}

func (o *order[V]) update(t int32) {
	n := &o.nodes[t]
	l, r := &o.nodes[n.left], &o.nodes[n.right]
	n.count, n.total = 1+l.count+r.count, n.load+l.total+r.total
}

// remove takes the value at a place out.
func (o *order[V]) remove(at place) {
	var none V
	o.root = o.removeFrom(o.root, at, none)
}

func (o *order[V]) removeFrom(t int32, at place, none V) int32 {
	if t == 0 {
		return 0
	}
	n := &o.nodes[t]
	switch {
	case n.at == at:
		joined := o.join(n.left, n.right)
		o.values[t] = none
		o.free = append(o.free, t)
		return joined
	case at.before(n.at):
		n.left = o.removeFrom(n.left, at, none)
	default:
		n.right = o.removeFrom(n.right, at, none)
	}
	o.update(t)
	return t
}

// join returns the tree of two others, of which the first is before the second.
func (o *order[V]) join(a, b int32) int32 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	case o.nodes[a].weight > o.nodes[b].weight:
		o.nodes[a].right = o.join(o.nodes[a].right, b)
		o.update(a)
		return a
	default:
		o.nodes[b].left = o.join(a, o.nodes[b].left)
		o.update(b)
		return b
	}
}

// ahead returns the sum of the loads before a place.
func (o *order[V]) ahead(at place) float64 {
	sum := 0.0
	for t := o.root; t != 0; {
		n := &o.nodes[t]
		if n.at.before(at) {
			sum += n.load + o.nodes[n.left].total
			t = n.right
		} else {
			t = n.left
		}
	}
	return sum
}

// find returns the value at a place, or nil. It is valid until the next change.
func (o *order[V]) find(at place) *V {
	for t := o.root; t != 0; {
		n := &o.nodes[t]
		switch {
		case n.at == at:
			return &o.values[t]
		case at.before(n.at):
			t = n.left
		default:
			t = n.right
		}
	}
	return nil
}

// nth returns the value with that many others before it. It is valid until the next change.
func (o *order[V]) nth(i int) (place, *V) {
	for t := o.root; t != 0; {
		n := &o.nodes[t]
		left := int(o.nodes[n.left].count)
		switch {
		case i < left:
			t = n.left
		case i == left:
			return n.at, &o.values[t]
		default:
			i -= left + 1
			t = n.right
		}
	}
	return place{}, nil
}

// each calls a function with all values in their order. It must not change the order.
func (o *order[V]) each(f func(at place, load float64, v *V)) { o.visit(o.root, f) }

func (o *order[V]) visit(t int32, f func(at place, load float64, v *V)) {
	if t == 0 {
		return
	}
	o.visit(o.nodes[t].left, f)
	f(o.nodes[t].at, o.nodes[t].load, &o.values[t])
	o.visit(o.nodes[t].right, f)
}
