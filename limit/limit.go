// Package limit keeps workspaces inside their rate and burst.
//
// # Usage
//
//	limiter := limit.NewDistributed("e1", service, links, leases, currentState)
//	admission := limiter.Admit(ctx, workspace)
//	if !admission.OK { ... admission.RetryAfter ... }
package limit

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/state"
)

// Admission is the answer to one request.
type Admission struct {
	OK bool
	// Unavailable says that no answer could be had, so that the workspace may well
	// be inside its rate.
	Unavailable bool
	// Cause says why, for the log.
	Cause string
	// RetryAfter is how long to wait before a request is likely to be admitted.
	RetryAfter time.Duration
}

// Limiter admits requests.
type Limiter interface {
	// Admit takes one token of a workspace.
	Admit(ctx context.Context, w *state.Workspace) Admission
	// String names the implementation.
	String() string
}
