package local

import "sync"

// direction identifies the messages from one VM to another.
type direction struct {
	from, to string
}

// partition is a simulated network partition: the directions in which messages
// are dropped. Blocks are counted, because they may overlap.
type partition struct {
	mu     sync.RWMutex
	blocks map[direction]int
}

func newPartition() *partition { return &partition{blocks: make(map[direction]int)} }

// dropFrom returns the function with which a VM's links decide whether to drop a
// message.
func (c *partition) dropFrom(vm string) func(to string) bool {
	return func(to string) bool {
		c.mu.RLock()
		defer c.mu.RUnlock()
		return c.blocks[direction{vm, to}] > 0
	}
}

func (c *partition) block(from, to string) (unblock func()) {
	d := direction{from, to}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks[d]++
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.blocks[d]--
		})
	}
}
