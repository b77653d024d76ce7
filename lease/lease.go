// Package lease lets one entry at a time own a shard, without control VMs,
// disks or synchronised clocks.
//
// An entry that wants a lease asks all voters. A voter grants a name to one
// owner at a time, for the duration of a lease from the receipt of the request.
// An owner with the grants of a majority holds the lease for a shorter time from
// the sending of its request. Two majorities share a voter, and that voter's
// time ends after the owner's, so two owners never hold a lease at once as long
// as clock rates differ by less than the margin. A voter that restarted has
// forgotten what it granted and waits for one duration before it grants again.
//
// Voter and Holder have no input or output. Leases wires them to the fleet.
//
// # Usage
//
//	leases := lease.New(links, fleet, lease.VM("e1"), lease.Voters(electors))
//	if leases.Held("w17", time.Now()) { ... }
package lease

import "time"

const (
	// Duration is how long a voter's grant lasts. It is also how long a voter that
	// has restarted grants nothing, and so how long rates and pools have no holder
	// after a power loss. Two renewals may be lost in it.
	Duration = 800 * time.Millisecond
	// marginPart is the part of a duration by which clocks may differ.
	marginPart = 20
	// HoldDuration is how long a lease is held from the sending of its request.
	HoldDuration = Duration - Duration/marginPart
	// maxNames bounds the names that a voter remembers.
	maxNames = 4096
)

// Owner is one run of an entry process.
type Owner struct {
	VM   string
	Boot uint64
}

// Grant is a voter's answer for one name.
type Grant struct {
	Name    string
	Granted bool
	// Epoch is the highest epoch that the voter knows for the name.
	Epoch uint64
}
