// Package pick chooses the backend server of a request.
//
// # Usage
//
//	picker := pick.New(pick.Directory(fleet.Directory))
//	choice, err := picker.Pick("loan-desk", pick.Request{})
//	choice.Done(health.Result{Kind: health.OK})
package pick

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
)

// ErrNoServer means that no backend server may take the request now.
var ErrNoServer = errors.New("no backend server may take the request now")

// ErrRetryBudget means that the budget of further attempts is used up.
var ErrRetryBudget = errors.New("the budget of further attempts is used up")

// Request is what a choice depends on besides the pool.
type Request struct {
	// Avoid names backend servers that earlier attempts of the request used.
	Avoid []string
	// Arrived says that one of these attempts reached its server. Only then does a
	// further one draw on the budget.
	Arrived bool
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Rank is the urgency, 0 first.
	Rank      int
	Workspace string
	// Bytes is the size of the request's body, if it is known.
	Bytes int64
	// Objective is the time until the answer loses worth, 0 if it never does.
	Objective time.Duration
	// Timeout is the time until the request is given up, 0 if the context says so.
	Timeout time.Duration
}

// Choice is a backend server that a request may go to. Done must be called once.
type Choice struct {
	Target fleet.Target
	Done   func(health.Result)
	// RetryCounted says that a further attempt has been counted for the whole fleet.
	// Otherwise it draws on the budget of this VM.
	RetryCounted bool
}

// Picker chooses backend servers.
type Picker interface {
	// Pick returns a backend server of a pool, or ErrNone. It may wait for one
	// until the context ends.
	Pick(ctx context.Context, pool string, r Request) (Choice, error)
	// HedgeDelay returns the time after which a second attempt at another backend
	// server is worth its cost, or 0 for never.
	HedgeDelay(pool string) time.Duration
	// String names the policy.
	String() string
}

// timeSource returns the current instant.
type timeSource func() time.Time
