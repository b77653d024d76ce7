// Package lease grants leases on names to one entry at a time. It needs no control
// VMs, disks or synchronised clocks.
//
// An entry requests a lease from all voters. A voter grants a name to one owner at a
// time, for Duration from the receipt of the request. An owner with the grants of a
// majority holds the lease for HoldDuration, which is shorter, from the sending of its
// request. Any two majorities share a voter, and that voter's grant ends after the
// owner's lease, so two owners never hold a lease at the same time as long as clock
// rates differ by less than the margin. A restarted voter has lost its grants and
// therefore waits for Duration before it grants again.
//
// Voter and Holder do no I/O. Manager connects them to the fleet.
//
// # Usage
//
//	leases := lease.New(links, fleet, lease.VM("e1"), lease.Voters(activeVoters))
//	if _, held := leases.Held("w17"); held { ... }
package lease

import "time"

const (
	// Duration is how long a voter's grant lasts. A restarted voter grants nothing for
	// as long, so after a power loss rates and pools have no holder for this time. Two
	// renewals may be lost before a lease ends.
	Duration = 800 * time.Millisecond
	// marginDivisor sets the margin by which clocks may differ: Duration/marginDivisor.
	marginDivisor = 20
	// HoldDuration is how long a lease is held from the sending of its request.
	HoldDuration = Duration - Duration/marginDivisor
	// maxNames bounds the names that a voter stores.
	maxNames = 4096
)

// Owner identifies one run of an entry process.
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
