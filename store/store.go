// Package store keeps a control replica's log and snapshot in one data folder.
//
// A folder holds one epoch: log-N, and snap-N if the log starts after a
// snapshot. A new epoch is written beside the old one, synced and renamed, and
// then the old one is removed. Every record carries its length and a CRC-32C.
// Save returns only after the file, and where needed the folder, is synced.
//
// After each synced batch an unsynced mark notes how far the file was synced.
// A bad record behind the last mark is a write that was cut off by a crash, and
// is dropped; a bad record before a mark is damage, reported as ErrDamaged,
// because an answer may have been given on it.
//
// # Usage
//
//	folder, err := store.OpenFolder("/var/lib/dottereldeal")
//	disk, restored, err := store.Open(folder)
//	err = disk.Save(effects)
//	err = disk.Compact(snapshot, hard, tail)
package store

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Errors of the store.
var (
	// ErrCorrupt means that synced data is missing or altered. The replica must
	// not vote with such a folder.
	ErrCorrupt = errors.New("data folder is damaged")
	// ErrUnsupportedFormat means that the folder was written by a newer version.
	ErrUnsupportedFormat = errors.New("data folder has a newer format")
	// ErrWriteFailed means that an earlier write failed; nothing more is written.
	ErrWriteFailed = errors.New("an earlier write to the data folder failed")
)

// format is the version of the files.
const format = 1

const (
	logPrefix      = "log-"
	snapPrefix     = "snap-"
	tempSuffix     = ".tmp"
	identityFile   = "identity"
	epochNameWidth = 16
)

// Storage is an open data folder.
type Storage struct {
	folder Folder
	epoch  uint64
	log    File
	size   int64
	broken error
}

// Open reads a folder and makes it ready for writes. An empty folder gives an
// empty Restored.
func Open(folder Folder) (*Storage, quorum.PersistedState, error) {
	d := &Storage{folder: folder}
	epoch, found, err := newestEpoch(folder)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	if !found {
		return d, quorum.PersistedState{}, d.startEpoch(1, nil, quorum.HardState{}, nil)
	}
	restored, err := d.restore(epoch)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	return d, restored, d.removeOthers()
}

// Reopen opens a folder after a failed write. What a failed sync left on the disk cannot
// be known from reading it back, so all that is there is written and synced anew.
func Reopen(folder Folder) (*Storage, quorum.PersistedState, error) {
	d, restored, err := Open(folder)
	if err != nil {
		return nil, quorum.PersistedState{}, err
	}
	var s *quorum.Snapshot
	if restored.Snapshot.Index > 0 {
		s = &restored.Snapshot
	}
	if err := d.startEpoch(d.epoch+1, s, restored.HardState, restored.Entries); err != nil {
		d.Close()
		return nil, quorum.PersistedState{}, err
	}
	return d, restored, nil
}

// restore reads an epoch and opens its log for appending.
func (d *Storage) restore(epoch uint64) (quorum.PersistedState, error) {
	d.epoch = epoch
	data, err := d.folder.Read(logName(epoch))
	if err != nil {
		return quorum.PersistedState{}, err
	}
	content, err := readLog(data)
	if err != nil {
		return quorum.PersistedState{}, errors.Wrap(err, logName(epoch))
	}
	restored := quorum.PersistedState{HardState: content.hard, Entries: content.entries}
	if content.header.GetSnapshotIndex() > 0 {
		restored.Snapshot, err = d.readSnapshot(epoch)
		if err != nil {
			return quorum.PersistedState{}, err
		}
	}
	if err := checkContinuity(restored); err != nil {
		return quorum.PersistedState{}, err
	}
	d.log, err = d.folder.Append(logName(epoch), content.size)
	d.size = content.size
	return restored, err
}

// checkContinuity reports a gap between snapshot and log.
func checkContinuity(r quorum.PersistedState) error {
	expected := r.Snapshot.Index + 1
	for _, e := range r.Entries {
		if e.Index != expected {
			return errors.Wrapf(ErrCorrupt, "record %d where %d was expected", e.Index, expected)
		}
		expected++
	}
	return nil
}

func (d *Storage) readSnapshot(epoch uint64) (quorum.Snapshot, error) {
	data, err := d.folder.Read(snapName(epoch))
	if err != nil {
		return quorum.Snapshot{}, errors.Wrapf(ErrCorrupt, "snapshot: %s", err)
	}
	record, _, err := readRecord(data)
	if err != nil || record.kind != snapshotRecord {
		return quorum.Snapshot{}, errors.Wrap(ErrCorrupt, snapName(epoch))
	}
	var s wire.Snapshot
	if err := proto.Unmarshal(record.payload, &s); err != nil {
		return quorum.Snapshot{}, errors.Wrap(ErrCorrupt, snapName(epoch))
	}
	return quorum.Snapshot{
		Index: s.GetIndex(), Term: s.GetTerm(),
		Group: quorum.GroupFromWire(s.GetReplicas()), Data: s.GetData(),
	}, nil
}

// Size returns the length of the log file in bytes.
func (d *Storage) Size() int64 { return d.size }

// Save writes and syncs what the effects ask for. After an error the disk is
// broken for good: what a failed sync left on the disk cannot be known.
func (d *Storage) Save(e quorum.Effects, hard quorum.HardState) error {
	if d.broken != nil {
		return errors.Wrap(ErrWriteFailed, d.broken.Error())
	}
	if err := d.save(e, hard); err != nil {
		d.broken = err
		return err
	}
	return nil
}

func (d *Storage) save(e quorum.Effects, hard quorum.HardState) error {
	if e.Install != nil {
		return d.startEpoch(d.epoch+1, e.Install, hard, e.Append)
	}
	if e.HardState == nil && len(e.Append) == 0 {
		return nil
	}
	var batch []byte
	if e.HardState != nil {
		batch = appendHard(batch, *e.HardState)
	}
	batch, err := appendEntries(batch, e.Append)
	if err != nil {
		return err
	}
	return d.writeSynced(batch)
}

// writeSynced appends a batch, syncs it and notes that with a mark.
func (d *Storage) writeSynced(batch []byte) error {
	if err := d.write(batch); err != nil {
		return err
	}
	if err := d.log.Sync(); err != nil {
		return err
	}
	return d.write(appendMark(nil, d.size))
}

func (d *Storage) write(data []byte) error {
	n, err := d.log.Write(data)
	d.size += int64(n)
	return err
}

// Compact replaces the log by a snapshot and the records after it.
func (d *Storage) Compact(s quorum.Snapshot, hard quorum.HardState, tail []quorum.Entry) error {
	if d.broken != nil {
		return errors.Wrap(ErrWriteFailed, d.broken.Error())
	}
	if err := d.startEpoch(d.epoch+1, &s, hard, tail); err != nil {
		d.broken = err
		return err
	}
	return nil
}

// startEpoch writes a new epoch and switches to it.
func (d *Storage) startEpoch(epoch uint64, s *quorum.Snapshot, hard quorum.HardState, tail []quorum.Entry) error {
	header := &wire.LogHeader{Format: format, Epoch: epoch}
	if s != nil {
		header.SnapshotIndex = s.Index
		if err := d.writeSnapshot(epoch, *s); err != nil {
			return err
		}
	}
	batch, err := appendMessage(nil, headerRecord, header)
	if err != nil {
		return err
	}
	batch, err = appendEntries(appendHard(batch, hard), tail)
	if err != nil {
		return err
	}
	if err := writeFile(d.folder, logName(epoch), batch); err != nil {
		return err
	}
	if d.log != nil {
		d.log.Close()
	}
	d.epoch, d.size = epoch, int64(len(batch))
	d.log, err = d.folder.Append(logName(epoch), d.size)
	if err != nil {
		return err
	}
	if err := d.write(appendMark(nil, d.size)); err != nil {
		return err
	}
	return d.removeOthers()
}

func (d *Storage) writeSnapshot(epoch uint64, s quorum.Snapshot) error {
	message := &wire.Snapshot{Index: s.Index, Term: s.Term, Replicas: quorum.GroupToWire(s.Group), Data: s.Data}
	data, err := appendMessage(nil, snapshotRecord, message)
	if err != nil {
		return err
	}
	return writeFile(d.folder, snapName(epoch), data)
}

// removeOthers removes everything of other epochs.
func (d *Storage) removeOthers() error {
	names, err := d.folder.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name == logName(d.epoch) || name == snapName(d.epoch) || !ours(name) {
			continue
		}
		if err := d.folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func ours(name string) bool {
	return strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapPrefix) || strings.HasSuffix(name, tempSuffix)
}

// Close closes the log file.
func (d *Storage) Close() error {
	if d.log == nil {
		return nil
	}
	return d.log.Close()
}

// writeFile writes a whole file so that it is there either completely or not at all.
func writeFile(folder Folder, name string, data []byte) error {
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

// newestEpoch returns the highest complete epoch in a folder.
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

func logName(epoch uint64) string { return fmt.Sprintf("%s%0*d", logPrefix, epochNameWidth, epoch) }

func snapName(epoch uint64) string { return fmt.Sprintf("%s%0*d", snapPrefix, epochNameWidth, epoch) }
