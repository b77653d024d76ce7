package ctrl

import (
	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
)

// ErrNotMember means that a data folder holds no replica to rescue.
var ErrNotMember = errors.New("data folder holds no member of a group")

// RescueResult describes the group that a rescue made.
type RescueResult struct {
	Index      uint64
	LastTicket uint64
}

// Rescue makes the replica in a folder the only member of its group, for the
// case that a majority is lost for good. Tickets that were accepted but had not
// reached this replica are lost, and tickets that were never accepted may come
// into force. The process must not be running.
func Rescue(folder store.Folder, addr string) (RescueResult, error) {
	identity, known, err := store.LoadIdentity(folder)
	if err != nil {
		return RescueResult{}, err
	}
	if !known || !identity.IsMember {
		return RescueResult{}, ErrNotMember
	}
	disk, restored, err := store.Open(folder)
	if err != nil {
		return RescueResult{}, err
	}
	defer disk.Close()
	book, err := replay(restored)
	if err != nil {
		return RescueResult{}, err
	}
	image, err := book.Image()
	if err != nil {
		return RescueResult{}, err
	}
	index, term := restored.Snapshot.Index, restored.Snapshot.Term
	if n := len(restored.Entries); n > 0 {
		index, term = restored.Entries[n-1].Index, restored.Entries[n-1].Term
	}
	alone := quorum.NewGroup(quorum.Replica{ID: identity.ID, VM: identity.VM, Addr: addr})
	identity.Founders = alone
	if err := store.SaveIdentity(folder, identity); err != nil {
		return RescueResult{}, err
	}
	snapshot := quorum.Snapshot{Index: index, Term: term, Group: alone, Data: image}
	if err := disk.Compact(snapshot, restored.HardState, nil); err != nil {
		return RescueResult{}, err
	}
	result := RescueResult{Index: index}
	if numbers := book.Numbers(); len(numbers) > 0 {
		result.LastTicket = numbers[len(numbers)-1]
	}
	return result, nil
}

// replay applies everything in a folder, committed or not.
func replay(restored quorum.PersistedState) (ledger.Ledger, error) {
	book, err := ledger.FromImage(restored.Snapshot.Data, ledger.DefaultWindow)
	if err != nil {
		return book, err
	}
	for _, entry := range restored.Entries {
		if entry.Kind != quorum.DataEntry {
			continue
		}
		p, err := ledger.DecodeProposal(entry.Data)
		if err != nil {
			return book, errors.Wrapf(err, "log index %d", entry.Index)
		}
		book, _ = book.Apply(entry.Index, p)
	}
	return book, nil
}
