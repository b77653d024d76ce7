// Package canary decides on the progress of roll-outs: how many of a pool's requests go to the
// servers of the new version, and whether the roll-out is completed or rolled back. It compares
// what both versions do at the same time. It has no input or output and is given the time.
//
// # Usage
//
//	tallies = append(tallies, canary.Tally{Cell: "orders", Version: "v2", Route: "read", Results: 40, Bad: 1})
package canary

// Tally counts the results of one version of the servers of a cell, for one route. Its counters
// only grow while its sender runs.
type Tally struct {
	Cell    string
	Version string
	Route   string
	// Results counts answers, failures and time-outs, Bad the failures and time-outs among them.
	Results uint64
	Bad     uint64
	// LogSum and LogSquares are the sums of the natural logarithm of the latency in seconds of
	// good results, and of its square.
	LogSum     float64
	LogSquares float64
}

// Report holds the tallies of one VM since its start, which Boot numbers.
type Report struct {
	VM      string
	Boot    uint64
	Tallies []Tally
}
