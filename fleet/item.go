package fleet

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Kind is the type of an item.
type Kind string

// Item kinds.
const (
	KindMember   Kind = "member"
	KindTarget   Kind = "target"
	KindBeacon   Kind = "beacon"
	KindVoter    Kind = "voter"
	KindLease    Kind = "lease"
	KindEjection Kind = "ejection"
)

var wireKinds = map[Kind]wire.ItemKind{
	KindMember:   wire.ItemKind_ITEM_KIND_MEMBER,
	KindTarget:   wire.ItemKind_ITEM_KIND_TARGET,
	KindBeacon:   wire.ItemKind_ITEM_KIND_BEACON,
	KindVoter:    wire.ItemKind_ITEM_KIND_VOTER,
	KindLease:    wire.ItemKind_ITEM_KIND_LEASE,
	KindEjection: wire.ItemKind_ITEM_KIND_EJECTION,
}

var kindsByWire = func() map[wire.ItemKind]Kind {
	kinds := make(map[wire.ItemKind]Kind, len(wireKinds))
	for kind, wireKind := range wireKinds {
		kinds[wireKind] = kind
	}
	return kinds
}()

// reconciled reports whether items of this kind take part in the anti-entropy
// between neighbours. The other kinds are sent so often that a loss needs no
// repair.
func (k Kind) reconciled() bool { return k != KindBeacon && k != KindVoter }

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// String formats the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Version orders the items with the same key.
type Version struct {
	Boot  uint64
	Count uint64
}

// Newer reports whether v supersedes other.
func (v Version) Newer(other Version) bool {
	if v.Boot != other.Boot {
		return v.Boot > other.Boot
	}
	return v.Count > other.Count
}

// String formats the version as "boot.count".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Boot, v.Count) }

// Item is a versioned record that gossip replicates to all entries.
type Item struct {
	Key     Key
	Version Version
	Removed bool
	Body    []byte
}

// checksum returns a hash of key and version.
func (i Item) checksum() uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:], i.Version.Boot)
	binary.LittleEndian.PutUint64(version[8:], i.Version.Count)
	digest.WriteString(string(i.Key.Kind))
	digest.Write(version[:])
	digest.WriteString(i.Key.Name)
	return digest.Sum64()
}

func (i Item) wire() *wire.Item {
	return &wire.Item{
		Kind: wireKinds[i.Key.Kind], Name: i.Key.Name,
		Boot: i.Version.Boot, Count: i.Version.Count, Removed: i.Removed, Body: i.Body,
	}
}

// decodeItem converts an item received from another entry. It reports false if the
// kind is unknown or the name is empty.
func decodeItem(m *wire.Item) (Item, bool) {
	kind, ok := kindsByWire[m.GetKind()]
	if !ok || m.GetName() == "" {
		return Item{}, false
	}
	return Item{
		Key:     Key{kind, m.GetName()},
		Version: Version{m.GetBoot(), m.GetCount()},
		Removed: m.GetRemoved(),
		Body:    m.GetBody(),
	}, true
}
