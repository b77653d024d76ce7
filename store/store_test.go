package store

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/quorum"
)

// work is a script of saves and compactions, and what of it was answered.
type work struct {
	disk  *Storage
	last  uint64
	base  uint64
	saved quorum.HardState
}

func entryAt(index, term uint64) quorum.Entry {
	return quorum.Entry{Index: index, Term: term, Kind: quorum.DataEntry, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

// run saves 40 batches with compactions and a snapshot from a leader in between.
func (w *work) run() error {
	for i := range uint64(40) {
		hard := quorum.HardState{Term: i + 1, Vote: 7}
		effects := quorum.Effects{HardState: &hard}
		for n := range i%3 + 1 {
			effects.Append = append(effects.Append, entryAt(w.last+n+1, i+1))
		}
		if i == 20 {
			effects.Install = &quorum.Snapshot{Index: w.last + 100, Term: i, Data: []byte("snapshot")}
			effects.Append = []quorum.Entry{entryAt(w.last+101, i+1)}
		}
		if err := w.disk.Save(effects, hard); err != nil {
			return err
		}
		w.saved = hard
		if effects.Install != nil {
			w.base = effects.Install.Index
		}
		w.last = effects.Append[len(effects.Append)-1].Index
		if i%8 == 7 {
			s := quorum.Snapshot{Index: w.last - 1, Term: i, Data: []byte("snapshot")}
			if err := w.disk.Compact(s, hard, []quorum.Entry{entryAt(w.last, i+1)}); err != nil {
				return err
			}
			w.base = s.Index
		}
	}
	return nil
}

// check opens a folder and expects everything that was answered.
func (w *work) check(folder Folder) error {
	_, restored, err := Open(folder)
	if err != nil {
		return err
	}
	last := restored.Snapshot.Index + uint64(len(restored.Entries))
	if last < w.last || restored.HardState.Term < w.saved.Term {
		return errors.Errorf("restored up to %d in term %d, answered up to %d in term %d", last, restored.HardState.Term, w.last, w.saved.Term)
	}
	for _, e := range restored.Entries {
		if string(e.Data) != fmt.Sprintf("%d/%d", e.Index, e.Term) {
			return errors.Errorf("record %d holds %q", e.Index, e.Data)
		}
	}
	return nil
}

func TestKillBeforeEveryFileOperation(t *testing.T) {
	for operations := 0; ; operations++ {
		folder := newMemoryFolder()
		folder.left = operations
		w := &work{}
		disk, _, err := Open(folder)
		if err == nil {
			w.disk = disk
			err = w.run()
		}
		for seed := range uint64(20) {
			crashed := folder.crash(rand.New(rand.NewPCG(seed, uint64(operations))))
			if err := w.check(crashed); err != nil {
				t.Fatalf("killed before operation %d, seed %d: %s", operations, seed, err)
			}
		}
		if err == nil {
			t.Logf("%d operations", operations)
			return
		}
	}
}

// filled returns a folder with some synced records and the name of its log.
func filled(t *testing.T) (*memoryFolder, string) {
	t.Helper()
	folder := newMemoryFolder()
	disk, _, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	hard := quorum.HardState{Term: 3, Vote: 1}
	for i := range uint64(10) {
		if err := disk.Save(quorum.Effects{HardState: &hard, Append: []quorum.Entry{entryAt(i+1, 3)}}, hard); err != nil {
			t.Fatal(err)
		}
	}
	return folder, logName(1)
}

func TestEveryFlippedBitIsNoticed(t *testing.T) {
	folder, name := filled(t)
	size := len(folder.names[name].data)
	lastMark := size - frameBytes - markBytes
	for at := range size {
		damaged, _ := filled(t)
		damaged.names[name].data[at] ^= 1 << (at % 8)
		_, restored, err := Open(damaged)
		if at < lastMark && !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnsupportedFormat) {
			t.Fatalf("flipped bit at byte %d of %d gave %d records and error %v", at, size, len(restored.Entries), err)
		}
		if at >= lastMark && (err != nil || len(restored.Entries) != 10) {
			t.Fatalf("flipped bit in the last mark gave %d records and error %v", len(restored.Entries), err)
		}
	}
}

func TestTornTailIsCutOff(t *testing.T) {
	is := is.New(t)
	folder, name := filled(t)
	file := folder.names[name]
	file.data = append(file.data, appendRecord(nil, entryRecord, []byte("a record that was not synced"))[:20]...)
	disk, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 10)
	hard := quorum.HardState{Term: 4}
	is.NoErr(disk.Save(quorum.Effects{HardState: &hard, Append: []quorum.Entry{entryAt(11, 4)}}, hard))
	_, restored, err = Open(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 11)
	is.Equal(restored.HardState, hard)
}

func TestDamagedSnapshotIsNoticed(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
	disk, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(disk.Compact(quorum.Snapshot{Index: 10, Term: 3, Data: []byte("snapshot")}, quorum.HardState{Term: 3}, nil))
	data := folder.names[snapName(2)].data
	data[len(data)/2] ^= 4
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrCorrupt))
	delete(folder.names, snapName(2))
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrCorrupt))
}

func TestNoWriteAfterAFailedOne(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
	disk, _, err := Open(folder)
	is.NoErr(err)
	hard := quorum.HardState{Term: 9}
	folder.left = 1 // the write works, the sync fails
	is.True(disk.Save(quorum.Effects{HardState: &hard}, hard) != nil)
	folder.left = -1
	is.True(errors.Is(disk.Save(quorum.Effects{HardState: &hard}, hard), ErrWriteFailed))
}

// A folder that is opened again after a failed write holds what was saved, written and
// synced anew, and takes further writes.
func TestReopenAfterAFailedWrite(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
	disk, restored, err := Open(folder)
	is.NoErr(err)
	hard := quorum.HardState{Term: 9}
	folder.left = 1 // the write works, the sync fails
	is.True(disk.Save(quorum.Effects{HardState: &hard}, hard) != nil)
	_, _, err = Reopen(folder)
	is.True(err != nil) // there is no room yet
	folder.left = -1
	is.NoErr(disk.Close())
	disk, again, err := Reopen(folder)
	is.NoErr(err)
	is.Equal(len(again.Entries), len(restored.Entries))
	hard.Term = 10
	is.NoErr(disk.Save(quorum.Effects{HardState: &hard}, hard))
	_, last, err := Open(folder.crash(rand.New(rand.NewPCG(1, 1))))
	is.NoErr(err)
	is.Equal(last.HardState.Term, uint64(10))
	is.Equal(len(last.Entries), len(restored.Entries))
}

func TestLogWithoutIdentityIsDamage(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
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
	disk, _, err := Open(folder)
	if err != nil {
		f.Fatal(err)
	}
	hard := quorum.HardState{Term: 3, Vote: 1}
	disk.Save(quorum.Effects{HardState: &hard, Append: []quorum.Entry{entryAt(1, 3), entryAt(2, 3)}}, hard)
	f.Add(folder.names[logName(1)].data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		content, err := readLog(data)
		if err == nil && content.size > int64(len(data)) {
			t.Fatalf("%d good bytes of %d", content.size, len(data))
		}
	})
}
