package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against work for each pair of entries: lists of all members were built ten times a second.
func TestDerivedValueIsComputedOncePerChange(t *testing.T) {
	is := is.New(t)
	members := make([]Member, 440)
	for i := range members {
		members[i] = Member{VM: fmt.Sprintf("e%03d", i), Condition: Alive, Boot: 1}
	}
	computed := 0
	count := NewDerived(func(members []Member) int {
		computed++
		return len(members)
	})
	is.Equal(count.Of(nil), 0)
	for range 100 {
		is.Equal(count.Of(members), 440)
	}
	is.Equal(computed, 2)
	is.Equal(count.Of(append([]Member{}, members[1:]...)), 439)
	is.Equal(computed, 3)
}
