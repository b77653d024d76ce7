// Package store persists the Raft log and snapshot of a control replica in a data
// folder.
//
// The files of a folder belong to one epoch: log-N, and snap-N if the log starts after
// a snapshot. Compaction writes the files of the next epoch next to the old ones,
// syncs and renames them, and then removes the old ones. Every record carries its
// length and a CRC-32C. Save returns only after the file, and where needed the folder,
// is synced.
//
// A sync mark after each synced batch records how far the file was synced; the mark
// itself is not synced. An invalid record after the last mark is a write that was
// interrupted by a crash, and is dropped. An invalid record before a mark is reported
// as ErrCorrupt, because it may already have been acknowledged to other replicas.
//
// # Usage
//
//	folder, err := store.OpenFolder("/var/lib/dottereldeal")
//	storage, state, err := store.Open(folder)
//	err = storage.Save(effects, hardState)
//	err = storage.Compact(snapshot, hardState, entries)
package store

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Errors returned by the package.
var (
	// ErrCorrupt means that synced data is missing or altered. The replica must
	// not vote, because it may have forgotten a vote or acknowledged entries.
	ErrCorrupt = errors.New("data folder is corrupt")
	// ErrUnsupportedFormat means that the data folder was written by a newer version.
	ErrUnsupportedFormat = errors.New("data folder has a newer format")
	// ErrWriteFailed means that an earlier write failed, so that all further ones are
	// refused.
	ErrWriteFailed = errors.New("an earlier write to the data folder failed")
)

// format is the version of the file format.
const format = 1

const (
	logPrefix    = "log-"
	snapPrefix   = "snap-"
	tempSuffix   = ".tmp"
	identityFile = "identity"
	epochDigits  = 16
)

// Storage reads and writes the log and snapshot in a data folder.
type Storage struct {
	folder Folder
	epoch  uint64
	log    File
	size   int64
	// writeErr is the error of the first failed write.
	writeErr error
}

// Open reads the state from a folder, syncs it and opens its log for writing. An empty folder
// gives an empty PersistedState. A process that was killed may have left data that can be read
// but is not on the disk yet.
func Open(folder Folder) (*Storage, quorum.PersistedState, error) {
	s := &Storage{folder: folder}
	epoch, found, err := newestEpoch(folder)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	if !found {
		return s, quorum.PersistedState{}, s.startEpoch(1, nil, quorum.HardState{}, nil)
	}
	restored, err := s.restore(epoch)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	if err := s.syncRestored(); err != nil {
		s.Close()
		return nil, quorum.PersistedState{}, err
	}
	return s, restored, s.removeObsoleteFiles()
}

// syncRestored syncs the log and the names of all files. The contents of the other files are
// synced before they are renamed.
func (s *Storage) syncRestored() error {
	if err := s.log.Sync(); err != nil {
		return err
	}
	return s.folder.Sync()
}

// Reopen opens a folder after a failed write. After a failed sync, data that can be read
// back is not necessarily on the disk, so the whole state is written and synced again.
func Reopen(folder Folder) (*Storage, quorum.PersistedState, error) {
	s, restored, err := Open(folder)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	var snapshot *quorum.Snapshot
	if restored.Snapshot.Index > 0 {
		snapshot = &restored.Snapshot
	}
	if err := s.startEpoch(s.epoch+1, snapshot, restored.HardState, restored.Entries); err != nil {
		s.Close()
		return nil, quorum.PersistedState{}, err
	}
	return s, restored, nil
}

// restore reads the state of an epoch and opens its log for appending.
func (s *Storage) restore(epoch uint64) (quorum.PersistedState, error) {
	s.epoch = epoch
	data, err := s.folder.Read(logName(epoch))
	if err != nil {
		return quorum.PersistedState{}, err
	}
	content, err := readLog(data)
	if err != nil {
		return quorum.PersistedState{}, errors.Wrap(err, logName(epoch))
	}
	restored := quorum.PersistedState{HardState: content.hardState, Entries: content.entries}
	if content.header.GetSnapshotIndex() > 0 {
		restored.Snapshot, err = s.readSnapshot(epoch)
		if err != nil {
			return quorum.PersistedState{}, err
		}
	}
	if err := checkContinuity(restored); err != nil {
		return quorum.PersistedState{}, err
	}
	s.log, err = s.folder.Append(logName(epoch), content.validSize)
	s.size = content.validSize
	return restored, err
}

// checkContinuity checks that the entries follow the snapshot without a gap.
func checkContinuity(r quorum.PersistedState) error {
	expected := r.Snapshot.Index + 1
	for _, e := range r.Entries {
		if e.Index != expected {
			return errors.Wrapf(ErrCorrupt, "log entry %d where %d was expected", e.Index, expected)
		}
		expected++
	}
	return nil
}

func (s *Storage) readSnapshot(epoch uint64) (quorum.Snapshot, error) {
	data, err := s.folder.Read(snapName(epoch))
	if err != nil {
		return quorum.Snapshot{}, errors.Wrapf(ErrCorrupt, "read snapshot: %s", err)
	}
	record, _, err := readRecord(data)
	if err != nil || record.kind != snapshotRecord {
		return quorum.Snapshot{}, errors.Wrap(ErrCorrupt, snapName(epoch))
	}
	var snapshot wire.Snapshot
	if err := proto.Unmarshal(record.payload, &snapshot); err != nil {
		return quorum.Snapshot{}, errors.Wrap(ErrCorrupt, snapName(epoch))
	}
	return quorum.Snapshot{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(),
		Group: quorum.GroupFromWire(snapshot.GetReplicas()), Data: snapshot.GetData(),
	}, nil
}

// Size returns the length of the log file in bytes.
func (s *Storage) Size() int64 { return s.size }

// Save writes and syncs the changes in e. After an error all further calls fail with
// ErrWriteFailed, because the content of the disk is unknown after a failed sync.
func (s *Storage) Save(e quorum.Effects, hardState quorum.HardState) error {
	if s.writeErr != nil {
		return errors.Wrap(ErrWriteFailed, s.writeErr.Error())
	}
	if err := s.save(e, hardState); err != nil {
		s.writeErr = err
		return err
	}
	return nil
}

func (s *Storage) save(e quorum.Effects, hardState quorum.HardState) error {
	if e.Install != nil {
		return s.startEpoch(s.epoch+1, e.Install, hardState, e.Append)
	}
	if e.HardState == nil && len(e.Append) == 0 {
		return nil
	}
	var batch []byte
	if e.HardState != nil {
		batch = appendHardState(batch, *e.HardState)
	}
	batch, err := appendEntries(batch, e.Append)
	if err != nil {
		return err
	}
	return s.appendSynced(batch)
}

// appendSynced appends a batch, syncs the log and appends a sync mark.
func (s *Storage) appendSynced(batch []byte) error {
	if err := s.write(batch); err != nil {
		return err
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	return s.write(appendSyncMark(nil, s.size))
}

func (s *Storage) write(data []byte) error {
	n, err := s.log.Write(data)
	s.size += int64(n)
	return err
}

// Compact replaces the log by a snapshot and the entries after it.
func (s *Storage) Compact(snapshot quorum.Snapshot, hardState quorum.HardState, entries []quorum.Entry) error {
	if s.writeErr != nil {
		return errors.Wrap(ErrWriteFailed, s.writeErr.Error())
	}
	if err := s.startEpoch(s.epoch+1, &snapshot, hardState, entries); err != nil {
		s.writeErr = err
		return err
	}
	return nil
}

// startEpoch writes the files of a new epoch, switches to it and removes the old files.
func (s *Storage) startEpoch(epoch uint64, snapshot *quorum.Snapshot, hardState quorum.HardState, entries []quorum.Entry) error {
	header := &wire.LogHeader{Format: format, Epoch: epoch}
	if snapshot != nil {
		header.SnapshotIndex = snapshot.Index
		if err := s.writeSnapshot(epoch, *snapshot); err != nil {
			return err
		}
	}
	batch, err := appendMessage(nil, logHeaderRecord, header)
	if err != nil {
		return err
	}
	batch, err = appendEntries(appendHardState(batch, hardState), entries)
	if err != nil {
		return err
	}
	if err := writeFileAtomic(s.folder, logName(epoch), batch); err != nil {
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	s.epoch, s.size = epoch, int64(len(batch))
	s.log, err = s.folder.Append(logName(epoch), s.size)
	if err != nil {
		return err
	}
	if err := s.write(appendSyncMark(nil, s.size)); err != nil {
		return err
	}
	return s.removeObsoleteFiles()
}

func (s *Storage) writeSnapshot(epoch uint64, snapshot quorum.Snapshot) error {
	message := &wire.Snapshot{Index: snapshot.Index, Term: snapshot.Term, Replicas: quorum.GroupToWire(snapshot.Group), Data: snapshot.Data}
	data, err := appendMessage(nil, snapshotRecord, message)
	if err != nil {
		return err
	}
	return writeFileAtomic(s.folder, snapName(epoch), data)
}

// removeObsoleteFiles removes temporary files and the files of other epochs.
func (s *Storage) removeObsoleteFiles() error {
	names, err := s.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == logName(s.epoch) || name == snapName(s.epoch) || !isManaged(name) {
			continue
		}
		if err := s.folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// isManaged reports whether a file is a log, a snapshot or a temporary file.
func isManaged(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix) || strings.HasSuffix(name, tempSuffix)
}

// Close closes the log file.
func (s *Storage) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}

// writeFileAtomic writes and syncs a file under a temporary name and renames it, so that
// after a crash the file is either complete or unchanged.
func writeFileAtomic(folder Folder, name string, data []byte) error {
	file, err := folder.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := folder.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return folder.Sync()
}

// newestEpoch returns the highest epoch in a folder that has a log file.
func newestEpoch(folder Folder) (epoch uint64, found bool, err error) {
	names, err := folder.List()
	if err != nil {
		return 0, false, err
	}
	for _, name := range names {
		var n uint64
		if _, err := fmt.Sscanf(name, logPrefix+"%d", &n); err != nil || logName(n) != name {
			continue
		}
		if n > epoch {
			epoch, found = n, true
		}
	}
	return epoch, found, nil
}

func logName(epoch uint64) string { return fmt.Sprintf("%s%0*d", logPrefix, epochDigits, epoch) }

func snapName(epoch uint64) string { return fmt.Sprintf("%s%0*d", snapPrefix, epochDigits, epoch) }
