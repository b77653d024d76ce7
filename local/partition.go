package local

import "sync"

// pair is a direction between two VMs.
type pair struct {
	from, to string
}

// cuts is the set of directions in which messages are lost.
type cuts struct {
	mu  sync.RWMutex
	cut map[pair]int
}

func newCuts() *cuts { return &cuts{cut: make(map[pair]int)} }

// from returns the function by which a VM's links ask whether a message is lost.
func (c *cuts) from(vm string) func(to string) bool {
	return func(to string) bool {
		c.mu.RLock()
		defer c.mu.RUnlock()
		return c.cut[pair{vm, to}] > 0
	}
}

func (c *cuts) add(from, to string) (heal func()) {
	p := pair{from, to}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[p]++
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut[p]--
		})
	}
}
