package ctrl

import (
	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
)

// ErrNotMember means that a data folder holds no member of a group.
var ErrNotMember = errors.New("data folder does not hold a member of a control group")

// RescueResult describes the group after a rescue.
type RescueResult struct {
	Index      uint64
	LastTicket uint64
}

// Rescue makes the replica in a data folder the only member of its group. It is
// meant for the permanent loss of a majority. Accepted tickets that had not reached
// this replica are lost, and tickets that were never accepted may come into force.
// The control process must not be running.
func Rescue(folder store.Folder, addr string) (RescueResult, error) {
	identity, known, err := store.LoadIdentity(folder)
	if err != nil {
		return RescueResult{}, err
	}
	if !known || !identity.IsMember {
		return RescueResult{}, ErrNotMember
	}
	storage, restored, err := store.Open(folder)
	if err != nil {
		return RescueResult{}, err
	}
	defer storage.Close()
	l, err := replay(restored)
	if err != nil {
		return RescueResult{}, err
	}
	data, err := l.Snapshot()
	if err != nil {
		return RescueResult{}, err
	}
	index, term := restored.Snapshot.Index, restored.Snapshot.Term
	if n := len(restored.Entries); n > 0 {
		index, term = restored.Entries[n-1].Index, restored.Entries[n-1].Term
	}
	group := quorum.NewGroup(quorum.Replica{ID: identity.ID, VM: identity.VM, Addr: addr})
	identity.Founders = group
	if err := store.SaveIdentity(folder, identity); err != nil {
		return RescueResult{}, err
	}
	snapshot := quorum.Snapshot{Index: index, Term: term, Group: group, Data: data}
	if err := storage.Compact(snapshot, restored.HardState, nil); err != nil {
		return RescueResult{}, err
	}
	result := RescueResult{Index: index}
	if numbers := l.Numbers(); len(numbers) > 0 {
		result.LastTicket = numbers[len(numbers)-1]
	}
	return result, nil
}

// replay applies all entries in a data folder, whether committed or not.
func replay(restored quorum.PersistedState) (ledger.Ledger, error) {
	l, err := ledger.FromSnapshot(restored.Snapshot.Data, ledger.DefaultDedupWindow)
	if err != nil {
		return l, err
	}
	for _, entry := range restored.Entries {
		if entry.Kind != quorum.DataEntry {
			continue
		}
		p, err := ledger.DecodeProposal(entry.Data)
		if err != nil {
			return l, errors.Wrapf(err, "log index %d", entry.Index)
		}
		l, _ = l.Apply(entry.Index, p)
	}
	return l, nil
}
