package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrLocked means that the data folder is locked by another process.
var ErrLocked = errors.New("data folder is in use by another process")

const lockFile = "lock"

// Folder is a directory without subdirectories.
type Folder interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create opens an empty file for writing.
	Create(name string) (File, error)
	// Append truncates a file to the given size and opens it for appending.
	Append(name string, size int64) (File, error)
	// Rename renames a file, replacing an existing one.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the creation, renaming and removal of files durable.
	Sync() error
}

// File is a file open for writing.
type File interface {
	io.Writer
	io.Closer
	// Sync makes the written data durable.
	Sync() error
}

// DiskFolder is a Folder in the file system, locked by this process.
type DiskFolder struct {
	path string
	lock *os.File
}

// OpenFolder locks the folder at path and creates it if needed.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, errors.Wrap(ErrLocked, path)
	}
	return &DiskFolder{path: path, lock: lock}, nil
}

// Close releases the lock of the folder.
func (f *DiskFolder) Close() error { return f.lock.Close() }

// String returns the path of the folder.
func (f *DiskFolder) String() string { return f.path }

// List returns the names of all files.
func (f *DiskFolder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Name() != lockFile && e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read returns the content of a file.
func (f *DiskFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// Create opens an empty file for writing.
func (f *DiskFolder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append truncates a file to the given size and opens it for appending.
func (f *DiskFolder) Append(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.path, name), os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		file.Close()
		return nil, err
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Rename renames a file, replacing an existing one.
func (f *DiskFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove removes a file.
func (f *DiskFolder) Remove(name string) error {
	return os.Remove(filepath.Join(f.path, name))
}

// Sync makes the creation, renaming and removal of files durable.
func (f *DiskFolder) Sync() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
