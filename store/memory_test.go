package store

import (
	"math/rand/v2"
	"os"
	"slices"

	"github.com/go-faster/errors"
)

var errSimulatedCrash = errors.New("simulated crash")

// memoryInode is the content of a file; its first synced bytes survive a power loss.
type memoryInode struct {
	data   []byte
	synced int
}

// memoryFolder is a Folder in memory. All writing operations fail from a chosen one on,
// and a simulated power loss may discard data, file sizes and names that were not
// synced.
type memoryFolder struct {
	names   map[string]*memoryInode
	durable map[string]*memoryInode
	// operationsLeft is the number of operations before all fail, or negative for no
	// limit.
	operationsLeft int
}

func newMemoryFolder() *memoryFolder {
	return &memoryFolder{names: map[string]*memoryInode{}, durable: map[string]*memoryInode{}, operationsLeft: -1}
}

func (m *memoryFolder) countOperation() error {
	if m.operationsLeft == 0 {
		return errSimulatedCrash
	}
	if m.operationsLeft > 0 {
		m.operationsLeft--
	}
	return nil
}

// afterPowerLoss returns a folder as it may be after a power loss: each name refers to
// either its last synced or its latest file, and a random part of each unsynced tail is
// kept.
func (m *memoryFolder) afterPowerLoss(r *rand.Rand) *memoryFolder {
	recovered := newMemoryFolder()
	sources := []map[string]*memoryInode{m.durable, m.names}
	for _, name := range m.allNames() {
		file, ok := sources[r.IntN(2)][name]
		if m.durable[name] == m.names[name] {
			file, ok = m.durable[name]
		}
		if !ok || file == nil {
			continue
		}
		keep := file.synced + r.IntN(len(file.data)-file.synced+1)
		survivor := &memoryInode{data: slices.Clone(file.data[:keep]), synced: keep}
		recovered.names[name], recovered.durable[name] = survivor, survivor
	}
	return recovered
}

func (m *memoryFolder) allNames() []string {
	var list []string
	for name := range m.names {
		list = append(list, name)
	}
	for name := range m.durable {
		list = append(list, name)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (m *memoryFolder) List() ([]string, error) {
	var list []string
	for name := range m.names {
		list = append(list, name)
	}
	return list, nil
}

func (m *memoryFolder) Read(name string) ([]byte, error) {
	file, ok := m.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (m *memoryFolder) Create(name string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	file := &memoryInode{}
	m.names[name] = file
	return &memoryFile{folder: m, inode: file}, nil
}

func (m *memoryFolder) Append(name string, size int64) (File, error) {
	file, ok := m.names[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	file.data = file.data[:size:size]
	file.synced = min(file.synced, int(size))
	return &memoryFile{folder: m, inode: file}, nil
}

func (m *memoryFolder) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memoryFolder) Remove(name string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memoryFolder) Sync() error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.durable = make(map[string]*memoryInode, len(m.names))
	for name, file := range m.names {
		m.durable[name] = file
	}
	return nil
}

// memoryFile is an open file of a memoryFolder.
type memoryFile struct {
	folder *memoryFolder
	inode  *memoryInode
}

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.folder.countOperation(); err != nil {
		return 0, err
	}
	f.inode.data = append(f.inode.data, p...)
	return len(p), nil
}

func (f *memoryFile) Sync() error {
	if err := f.folder.countOperation(); err != nil {
		return err
	}
	f.inode.synced = len(f.inode.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
