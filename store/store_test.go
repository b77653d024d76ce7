package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/quorum"
)

// workload saves and compacts, and records what was acknowledged.
type workload struct {
	storage *Storage
	last    uint64
	base    uint64
	saved   quorum.HardState
}

func entryAt(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Kind: quorum.DataEntry, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

// run saves 40 batches, with compactions and one snapshot installed from a leader.
func (w *workload) run() error {
	for i := range uint64(40) {
		hardState := quorum.HardState{Term: i + 1, Vote: 7}
		effects := quorum.Effects{HardState: &hardState}
		for n := range i%3 + 1 {
			effects.Append = append(effects.Append, entryAt(w.last+n+1, i+1))
		}
		if i == 20 {
			effects.Install = &quorum.Snapshot{Index: w.last + 100, Term: i, Data: []byte("snapshot")}
			effects.Append = []quorum.Entry{entryAt(w.last+101, i+1)}
		}
		if err := w.storage.Save(effects, hardState); err != nil {
			return err
		}
		w.saved = hardState
		if effects.Install != nil {
			w.base = effects.Install.Index
		}
		w.last = effects.Append[len(effects.Append)-1].Index
		if i%8 == 7 {
			s := quorum.Snapshot{Index: w.last - 1, Term: i, Data: []byte("snapshot")}
			if err := w.storage.Compact(s, hardState, []quorum.Entry{entryAt(w.last, i+1)}); err != nil {
				return err
			}
			w.base = s.Index
		}
	}
	return nil
}

// check opens a folder and expects all acknowledged data.
func (w *workload) check(folder Folder) error {
	_, restored, err := Open(folder)
	if err != nil {
		return err
	}
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if last < w.last || restored.HardState.Term < w.saved.Term {
		return errors.Errorf("restored up to entry %d in term %d, acknowledged up to entry %d in term %d", last, restored.HardState.Term, w.last, w.saved.Term)
	}
	for _, e := range restored.Entries {
		if string(e.Data) != fmt.Sprintf("%d/%d", e.Index, e.Term) {
			return errors.Errorf("entry %d holds %q", e.Index, e.Data)
		}
	}
	return nil
}

func TestCrashBeforeEveryFileOperation(t *testing.T) {
	for operations := 0; ; operations++ {
		folder := newMemoryFolder()
		folder.operationsLeft = operations
		w := &workload{}
		storage, _, err := Open(folder)
		if err == nil {
			w.storage = storage
			err = w.run()
		}
		for seed := range uint64(20) {
			crashed := folder.afterPowerLoss(rand.New(rand.NewPCG(seed, uint64(operations))))
			if err := w.check(crashed); err != nil {
				t.Fatalf("crash before operation %d, seed %d: %s", operations, seed, err)
			}
		}
		if err == nil {
			t.Logf("crashed before each of %d operations", operations)
			return
		}
	}
}

// Guards against a replica that votes or counts an entry by data of a killed process that was
// not synced, and forgets it in the next power loss (LOST).
func TestStateRestoredAfterKillSurvivesPowerLoss(t *testing.T) {
	for operations := 0; ; operations++ {
		folder := newMemoryFolder()
		folder.operationsLeft = operations
		err := runWithIdentity(folder)
		folder.operationsLeft = -1 // the process is restarted
		identity, restored, openErr := open(folder)
		if openErr != nil {
			t.Fatalf("kill before operation %d: %s", operations, openErr)
		}
		for seed := range uint64(20) {
			if err := checkRestored(folder.afterPowerLoss(rand.New(rand.NewPCG(seed, uint64(operations)))), identity, restored); err != nil {
				t.Fatalf("kill before operation %d, seed %d: %s", operations, seed, err)
			}
		}
		if err == nil {
			return
		}
	}
}

// open loads the identity, or saves a new one, and opens the storage, as a starting process does.
func open(folder Folder) (Identity, quorum.PersistedState, error) {
	identity, known, err := LoadIdentity(folder)
	if err == nil && !known {
		identity = Identity{ID: 7, VM: "c1", MayFound: true}
		err = SaveIdentity(folder, identity)
	}
	if err != nil {
		return identity, quorum.PersistedState{}, err
	}
	_, restored, err := Open(folder)
	return identity, restored, err
}

// runWithIdentity runs the workload of a replica that becomes a member.
func runWithIdentity(folder Folder) error {
	if err := SaveIdentity(folder, Identity{ID: 7, VM: "c1", MayFound: true}); err != nil {
		return err
	}
	storage, _, err := Open(folder)
	if err != nil {
		return err
	}
	if err := SaveIdentity(folder, Identity{ID: 7, VM: "c1", IsMember: true}); err != nil {
		return err
	}
	return (&workload{storage: storage}).run()
}

// checkRestored expects a folder to hold what was restored from it before.
func checkRestored(folder Folder, identity Identity, before quorum.PersistedState) error {
	now, _, err := LoadIdentity(folder)
	if err != nil {
		return err
	}
	if now.ID != identity.ID || now.IsMember != identity.IsMember {
		return errors.Errorf("identity %v, was %v", now, identity)
	}
	_, restored, err := Open(folder)
	if err != nil {
		return err
	}
	if restored.HardState != before.HardState || restored.Snapshot.Index != before.Snapshot.Index || len(restored.Entries) != len(before.Entries) {
		return errors.Errorf("%v, snapshot %d and %d entries, was %v, snapshot %d and %d entries", restored.HardState, restored.Snapshot.Index,
			len(restored.Entries), before.HardState, before.Snapshot.Index, len(before.Entries))
	}
	return nil
}

// folderWithEntries returns a folder with ten synced entries and the name of its log.
func folderWithEntries(t *testing.T) (*memoryFolder, string) {
	t.Helper()
	folder := newMemoryFolder()
	storage, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	hardState := quorum.HardState{Term: 3, Vote: 1}
	for i := range uint64(10) {
		if err := storage.Save(quorum.Effects{HardState: &hardState, Append: []quorum.Entry{entryAt(i+1, 3)}}, hardState); err != nil {
			t.Fatal(err)
		}
	}
	return folder, logName(1)
}

func TestEveryBitFlipIsDetected(t *testing.T) {
	folder, name := folderWithEntries(t)
	size := len(folder.names[name].data)
	lastMark := size - recordHeaderBytes - syncMarkPayloadBytes
	for at := range size {
		corrupt, _ := folderWithEntries(t)
		corrupt.names[name].data[at] ^= 1 << (at % 8)
		_, restored, err := Open(corrupt)
		if at < lastMark && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedFormat) {
			t.Fatalf("flipped bit at byte %d of %d gave %d entries and error %v", at, size, len(restored.Entries), err)
		}
		if at >= lastMark && (err != nil || len(restored.Entries) != 10) {
			t.Fatalf("flipped bit in the last sync mark gave %d entries and error %v", len(restored.Entries), err)
		}
	}
}

func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	folder, name := folderWithEntries(t)
	file := folder.names[name]
	file.data = append(file.data, appendRecord(nil, entryRecord, []byte("a record that was not synced"))[:20]...)
	storage, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 10)
	hardState := quorum.HardState{Term: 4}
	is.NoErr(storage.Save(quorum.Effects{HardState: &hardState, Append: []quorum.Entry{entryAt(11, 4)}}, hardState))
	_, restored, err = Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 11)
	is.Equal(restored.HardState, hardState)
}

func TestCorruptSnapshotIsDetected(t *testing.T) {
	is := is.New(t)
	folder, _ := folderWithEntries(t)
	storage, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(storage.Compact(quorum.Snapshot{Index: 10, Term: 3, Data: []byte("snapshot")}, quorum.HardState{Term: 3}, nil))
	data := folder.names[snapName(2)].data
	data[len(data)/2] ^= 4
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrCorrupt))
	delete(folder.names, snapName(2))
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrCorrupt))
}

func TestNoWriteAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	folder, _ := folderWithEntries(t)
	storage, _, err := Open(folder)
	is.NoErr(err)
	hardState := quorum.HardState{Term: 9}
	folder.operationsLeft = 1 // the write works, the sync fails
	is.True(storage.Save(quorum.Effects{HardState: &hardState}, hardState) != nil)
	folder.operationsLeft = -1
	is.True(errors.Is(storage.Save(quorum.Effects{HardState: &hardState}, hardState), ErrWriteFailed))
}

// Reopen after a failed write must restore and sync all saved data, so that it survives
// a power loss, and must allow further writes.
func TestReopenAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	folder, _ := folderWithEntries(t)
	storage, restored, err := Open(folder)
	is.NoErr(err)
	hardState := quorum.HardState{Term: 9}
	folder.operationsLeft = 1 // the write works, the sync fails
	is.True(storage.Save(quorum.Effects{HardState: &hardState}, hardState) != nil)
	_, _, err = Reopen(folder)
	is.True(err != nil) // writes still fail
	folder.operationsLeft = -1
	is.NoErr(storage.Close())
	storage, reopened, err := Reopen(folder)
	is.NoErr(err)
	is.Equal(len(reopened.Entries), len(restored.Entries))
	hardState.Term = 10
	is.NoErr(storage.Save(quorum.Effects{HardState: &hardState}, hardState))
	_, last, err := Open(folder.afterPowerLoss(rand.New(rand.NewPCG(1, 1))))
	is.NoErr(err)
	is.Equal(last.HardState.Term, uint64(10))
	is.Equal(len(last.Entries), len(restored.Entries))
}

func TestLogWithoutIdentityIsCorruption(t *testing.T) {
	is := is.New(t)
	folder, _ := folderWithEntries(t)
	_, _, err := LoadIdentity(folder)
	is.True(errors.Is(err, ErrCorrupt))
}

func TestFolderIsLocked(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	first, err := OpenFolder(path)
	is.NoErr(err)
	_, err = OpenFolder(path)
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(first.Close())
	second, err := OpenFolder(path)
	is.NoErr(err)
	is.NoErr(second.Close())
}

func FuzzReadLog(f *testing.F) {
	folder := newMemoryFolder()
	storage, _, err := Open(folder)
	if err != nil {
		f.Fatal(err)
	}
	hardState := quorum.HardState{Term: 3, Vote: 1}
	storage.Save(quorum.Effects{HardState: &hardState, Append: []quorum.Entry{entryAt(1, 3), entryAt(2, 3)}}, hardState)
	f.Add(folder.names[logName(1)].data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		content, err := readLog(data)
		if err == nil && content.validSize > int64(len(data)) {
			t.Fatalf("%d valid bytes in a log of %d bytes", content.validSize, len(data))
		}
	})
}
