package ctrl

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/store"
)

// fullFolder is a folder on a disk that may be full: then it takes half of each write.
type fullFolder struct {
	store.Folder
	full *atomic.Bool
}

func (f *fullFolder) Create(name string) (store.File, error) {
	file, err := f.Folder.Create(name)
	return &fullFile{file, f.full}, err
}

func (f *fullFolder) Append(name string, size int64) (store.File, error) {
	file, err := f.Folder.Append(name, size)
	return &fullFile{file, f.full}, err
}

type fullFile struct {
	store.File
	full *atomic.Bool
}

func (f *fullFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	if err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

// The leader's disk and another one are full: the others go on, the two stay up and say
// nothing, and take part again by themselves once there is room.
func TestReplicasWithFullDisksComeBackByThemselves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCrew(t)
	c.start(true, c.all()...)
	c.await("a whole group", 4*time.Second, func() bool { return c.whole(crewSize) })
	c.propose(0, planOf(7, 1))
	leader := c.leader()
	other, third := (leader+1)%crewSize, (leader+2)%crewSize
	c.full[leader].Store(true)
	c.full[other].Store(true)
	c.propose(third, planOf(8, 1))
	time.Sleep(time.Second)
	for _, i := range []int{leader, other} {
		select {
		case <-c.nodes[i].done:
			t.Fatalf("%s has ended", c.vm(i))
		default:
		}
		c.full[i].Store(false)
	}
	c.await("a whole group", 10*time.Second, func() bool { return c.whole(crewSize) })
	for i := range crewSize {
		is.Equal(c.read(i), uint64(8))
	}
}
