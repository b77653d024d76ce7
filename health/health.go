// Package health detects failing backend servers from the results of requests.
package health

import (
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
)

// Kind classifies the result of a request to a backend server.
type Kind string

// The kinds of results.
const (
	// OK is a complete response without a server error.
	OK Kind = "ok"
	// Failed is a response with a server error.
	Failed Kind = "failed"
	// TimedOut means that no response arrived in time.
	TimedOut Kind = "timed-out"
	// Unreachable means that no connection could be established.
	Unreachable Kind = "unreachable"
	// Torn is a response that broke off.
	Torn Kind = "torn"
	// Shed means that the backend server rejected the request without running it.
	Shed Kind = "shed"
	// Late means that a later attempt at another backend server was answered first.
	Late Kind = "late"
	// Cancelled means that the caller or a faster attempt ended the request. It says
	// nothing about the backend server.
	Cancelled Kind = "cancelled"
)

// Bad reports whether the result counts as a failure of the backend server.
func (k Kind) Bad() bool {
	return k == Failed || k == TimedOut || k == Unreachable || k == Torn
}

// Result is the result of one request.
type Result struct {
	Kind Kind
	// Latency is the time from dispatch to the first byte of the response, or to the
	// failure.
	Latency time.Duration
	// Cold is set if the response says that the backend server is cold.
	Cold bool
	// Limit is what the response says about the requests that the backend server takes.
	Limit Limit
	// Leaving is set if the response says that the backend server leaves, in LeavingBoot if that
	// is known.
	Leaving     bool
	LeavingBoot uint64
	// Pause is the time for which the backend server, which has not run the request, wants no
	// further one from this VM.
	Pause time.Duration
	// Label names the request for operators, if its connection broke.
	Label string
	// Print identifies the request among all entries. It may become known while the request
	// runs.
	Print guard.Print
}
