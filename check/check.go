// Package check collects validation findings about settings, tickets and other
// hand-written input, so that all of them are reported at once.
//
// # Usage
//
//	var found check.Findings
//	found.Add("--listen", "address %q has no port", addr)
//	found.Add("ticket.yaml:3:7", "rate must be positive")
//	return found.Err()
package check

import (
	"fmt"
	"strings"
)

// Finding is one fault in the input.
type Finding struct {
	// Location is the flag, environment variable or file position of the fault,
	// such as "ticket.yaml:3:7".
	Location string `json:"place"`
	// Message describes the fault.
	Message string `json:"text"`
}

// String returns the finding as "location: message".
func (f Finding) String() string { return f.Location + ": " + f.Message }

// Findings is a list of faults in the order in which they were added.
// The zero value is an empty list.
type Findings []Finding

// Add appends a finding with a formatted message.
func (f *Findings) Add(location, format string, args ...any) {
	*f = append(*f, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
