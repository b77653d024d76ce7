package ctrl

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/store"
)

// fullFolder simulates a folder on a disk that can be full. A write to a full disk
// stores half of the data, and no file can be created there.
type fullFolder struct {
	store.Folder
	full  *atomic.Bool
	syncs *atomic.Int64
}

func (f *fullFolder) Create(name string) (store.File, error) {
	if f.full.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := f.Folder.Create(name)
	return &fullFile{file, f.full, f.syncs}, err
}

func (f *fullFolder) Append(name string, size int64) (store.File, error) {
	file, err := f.Folder.Append(name, size)
	return &fullFile{file, f.full, f.syncs}, err
}

type fullFile struct {
	store.File
	full  *atomic.Bool
	syncs *atomic.Int64
}

func (f *fullFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
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

// The disks of the leader and of another replica are full. The other replicas continue;
// these two stay up without answering, and rejoin on their own once there is space.
func TestReplicasRejoinAfterDiskFull(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g := newTestGroup(t)
	g.start(true, g.all()...)
	g.await("complete group", 4*time.Second, func() bool { return g.complete(groupSize) })
	g.propose(0, newPlan(7, 1))
	leader := g.leader()
	other, third := (leader+1)%groupSize, (leader+2)%groupSize
	g.full[leader].Store(true)
	g.full[other].Store(true)
	g.propose(third, newPlan(8, 1))
	time.Sleep(time.Second)
	for _, i := range []int{leader, other} {
		select {
		case <-g.nodes[i].done:
			t.Fatalf("%s has stopped", g.vm(i))
		default:
		}
		g.full[i].Store(false)
	}
	g.await("complete group", 10*time.Second, func() bool { return g.complete(groupSize) })
	for i := range groupSize {
		is.Equal(g.read(i), uint64(8))
	}
}
