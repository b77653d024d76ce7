package store

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Identity names the replica that a data folder belongs to.
type Identity struct {
	ID quorum.ID
	VM string
	// Founders is the initial group, empty if the replica joined an existing group.
	Founders quorum.Group
	// IsMember reports whether the replica is a member of a group.
	IsMember bool
	// MayFound reports whether the replica, while it is no member, may form the first group.
	MayFound bool
}

// LoadIdentity reads the identity in a folder and reports whether there is one.
func LoadIdentity(folder Folder) (Identity, bool, error) {
	names, err := folder.List()
	if err != nil {
		return Identity{}, false, err
	}
	if !slices.Contains(names, identityFile) {
		_, logged, err := newestEpoch(folder)
		if logged {
			return Identity{}, false, errors.Wrap(ErrCorrupt, "log without an identity file")
		}
		return Identity{}, false, err
	}
	data, err := folder.Read(identityFile)
	if err != nil {
		return Identity{}, false, err
	}
	rec, _, err := readRecord(data)
	if err != nil || rec.kind != identityRecord {
		return Identity{}, false, errors.Wrap(ErrCorrupt, identityFile)
	}
	var m wire.Identity
	if err := proto.Unmarshal(rec.payload, &m); err != nil {
		return Identity{}, false, errors.Wrap(ErrCorrupt, identityFile)
	}
	return Identity{
		ID: quorum.ID(m.GetId()), VM: m.GetVm(),
		Founders: quorum.GroupFromWire(m.GetFounders()), IsMember: m.GetMember(), MayFound: m.GetMayFound(),
	}, true, nil
}

// SaveIdentity writes and syncs the identity in a folder.
func SaveIdentity(folder Folder, id Identity) error {
	m := &wire.Identity{
		Id: uint64(id.ID), Vm: id.VM,
		Founders: quorum.GroupToWire(id.Founders), Member: id.IsMember, MayFound: id.MayFound,
	}
	data, err := appendMessage(nil, identityRecord, m)
	if err != nil {
		return err
	}
	return writeFileAtomic(folder, identityFile, data)
}
