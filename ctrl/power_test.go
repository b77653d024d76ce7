package ctrl

import (
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/store"
)

var errNoPower = errors.New("simulated power loss")

// powerFile is the content of a file; its first synced bytes survive a power loss.
type powerFile struct {
	data   []byte
	synced int
}

// powerDisk is a disk in memory. It outlives the process that writes to it. A power loss may
// discard data and names that were not synced.
type powerDisk struct {
	mu      sync.Mutex
	random  *rand.Rand
	names   map[string]*powerFile
	durable map[string]*powerFile
	// opening counts the starts of the process; handles of earlier ones write nothing.
	opening int
}

func newPowerDisk(seed uint64) *powerDisk {
	return &powerDisk{random: rand.New(rand.NewPCG(seed, 40)), names: map[string]*powerFile{}, durable: map[string]*powerFile{}}
}

// open returns the folder of a starting process.
func (d *powerDisk) open() store.Folder {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opening++
	return &powerFolder{d, d.opening}
}

// kill ends what the running process does to the disk. What it has written stays readable.
func (d *powerDisk) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opening++
}

// losePower drops what is not synced: each name refers to its last synced or its latest file, and
// of the rest of a file a random part is kept, or nothing.
func (d *powerDisk) losePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opening++
	dropsAll := d.random.IntN(2) == 0
	names := make(map[string]bool)
	for name := range d.names {
		names[name] = true
	}
	for name := range d.durable {
		names[name] = true
	}
	left := make(map[string]*powerFile)
	for name := range names {
		file := d.durable[name]
		if !dropsAll && d.random.IntN(2) == 0 {
			file = d.names[name]
		}
		if file == nil {
			continue
		}
		keep := file.synced
		if !dropsAll {
			keep += d.random.IntN(len(file.data) - keep + 1)
		}
		left[name] = &powerFile{data: slices.Clone(file.data[:keep]), synced: keep}
	}
	d.names, d.durable = left, make(map[string]*powerFile)
	for name, file := range left {
		d.durable[name] = file
	}
}

// powerFolder is the folder of one start of a process.
type powerFolder struct {
	disk    *powerDisk
	opening int
}

// do runs a step of the process on the disk, unless the process was killed.
func (f *powerFolder) do(step func() error) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.opening != f.disk.opening {
		return errNoPower
	}
	return step()
}

func (f *powerFolder) List() (list []string, err error) {
	err = f.do(func() error {
		for name := range f.disk.names {
			list = append(list, name)
		}
		return nil
	})
	return list, err
}

func (f *powerFolder) Read(name string) (data []byte, err error) {
	err = f.do(func() error {
		file, ok := f.disk.names[name]
		if !ok {
			return os.ErrNotExist
		}
		data = slices.Clone(file.data)
		return nil
	})
	return data, err
}

func (f *powerFolder) Create(name string) (store.File, error) {
	file := &powerFile{}
	err := f.do(func() error {
		f.disk.names[name] = file
		return nil
	})
	return &powerHandle{f, file}, err
}

func (f *powerFolder) Append(name string, size int64) (store.File, error) {
	handle := &powerHandle{folder: f}
	err := f.do(func() error {
		file, ok := f.disk.names[name]
		if !ok {
			return os.ErrNotExist
		}
		file.data = file.data[:size:size]
		file.synced = min(file.synced, int(size))
		handle.file = file
		return nil
	})
	return handle, err
}

func (f *powerFolder) Rename(from, to string) error {
	return f.do(func() error {
		f.disk.names[to] = f.disk.names[from]
		delete(f.disk.names, from)
		return nil
	})
}

func (f *powerFolder) Remove(name string) error {
	return f.do(func() error {
		delete(f.disk.names, name)
		return nil
	})
}

func (f *powerFolder) Sync() error {
	time.Sleep(f.disk.syncTime())
	return f.do(func() error {
		f.disk.durable = make(map[string]*powerFile)
		for name, file := range f.disk.names {
			f.disk.durable[name] = file
		}
		return nil
	})
}

// syncTime returns how long the next sync takes.
func (d *powerDisk) syncTime() time.Duration {
	const longest = 4 * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Int64N(int64(longest)))
}

// powerHandle is an open file.
type powerHandle struct {
	folder *powerFolder
	file   *powerFile
}

func (h *powerHandle) Write(p []byte) (int, error) {
	err := h.folder.do(func() error {
		h.file.data = append(h.file.data, p...)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (h *powerHandle) Sync() error {
	size := 0
	if err := h.folder.do(func() error { size = len(h.file.data); return nil }); err != nil {
		return err
	}
	time.Sleep(h.folder.disk.syncTime())
	return h.folder.do(func() error {
		h.file.synced = max(h.file.synced, size)
		return nil
	})
}

func (h *powerHandle) Close() error { return nil }
