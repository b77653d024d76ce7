// Package check collects findings about input that a person wrote, such as
// settings and change tickets, so that all of them are reported together.
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

// Finding is one fault in a person's input.
type Finding struct {
	// Location names the flag, variable or file position, such as "ticket.yaml:3:7".
	Location string `json:"place"`
	// Message says what is wrong.
	Message string `json:"text"`
}

// String returns the finding as "place: text".
func (f Finding) String() string { return f.Location + ": " + f.Message }

// Findings is a list of faults in the order in which they were found.
// The zero value is an empty list.
type Findings []Finding

// Add appends a finding at place with a formatted text.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Location: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns all findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
