// Package limit enforces the rate and burst of workspaces.
//
// Workspaces are divided into shards. The VM that holds the lease of a shard has the
// token buckets of its workspaces, and all entries request tokens from it.
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

// Admission is the result of charging one request.
type Admission struct {
	OK bool
	// Unavailable is set if the rate could not be charged in time. The workspace may
	// be inside its rate.
	Unavailable bool
	// Cause is the reason for Unavailable, for the log.
	Cause string
	// RetryAfter is the time after which a request is likely to be admitted.
	RetryAfter time.Duration
}

// Limiter admits requests within the rate and burst of their workspace.
type Limiter interface {
	// Admit takes one token of a workspace.
	Admit(ctx context.Context, w *state.Workspace) Admission
	// String returns the name of the implementation.
	String() string
}
