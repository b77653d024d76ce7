// Package pick defines how the backend server of a request is chosen, and has a
// round-robin policy.
//
// # Usage
//
//	picker := pick.NewRoundRobin(clock.New(), fleet.Directory, current)
//	choice, err := picker.Pick(ctx, "loan-desk", pick.Request{})
//	choice.Done(health.Result{Kind: health.OK})
package pick

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/health"
)

// ErrNoServer means that no backend server is available for the request.
var ErrNoServer = errors.New("no backend server is available")

// ErrRetryBudget means that the retry budget is exhausted.
var ErrRetryBudget = errors.New("retry budget exhausted")

// QuarantineError means that the request is in quarantine, because backend servers crashed
// while they ran copies of it.
type QuarantineError struct {
	// Left is the rest of the quarantine.
	Left time.Duration
}

func (e *QuarantineError) Error() string {
	return "backend servers crashed while they ran this request"
}

// Unwrap returns ErrNoServer.
func (e *QuarantineError) Unwrap() error { return ErrNoServer }

// ErrDeparted means that a backend server has left since it was chosen.
var ErrDeparted = errors.New("the backend server has left since it was chosen")

// Request holds the properties of a request that a choice depends on.
type Request struct {
	// Avoid names the backend servers that earlier attempts used.
	Avoid []string
	// Arrived is set if an earlier attempt reached its server. Only then does this attempt
	// draw on the retry budget.
	Arrived bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Rank is the priority, 0 is the highest.
	Rank      int
	Workspace string
	// Route is the name of the request's route.
	Route string
	// Bytes is the size of the request body, if known.
	Bytes int64
	// Objective is the time until the answer loses value, 0 if it never does.
	Objective time.Duration
	// Timeout is the time until the request is abandoned, 0 if only the context limits it.
	Timeout time.Duration
	// Print identifies the request among all entries, Label names it for operators.
	Print guard.Print
	Label string
	// LatePrint waits for Print, whose part of the body has not arrived yet, until the context
	// ends. It is nil if Print is known.
	LatePrint func(context.Context) guard.Print
	// Hedge is set if another attempt of the request is running.
	Hedge bool
}

// Suspect returns the request as a suspect, in case that it crashes its server.
func (r Request) Suspect() guard.Suspect {
	return guard.Suspect{Print: r.Print, Workspace: r.Workspace, Label: r.Label}
}

// Choice is a backend server that a request may be sent to. Done must be called once.
type Choice struct {
	Target fleet.Target
	Done   func(health.Result)
	// RetryCounted is set if this attempt has been charged to the retry budget of the whole
	// fleet. Otherwise a retry draws on the budget of this VM.
	RetryCounted bool
	// Check returns an error once the server must not be sent the request any more, as when it leaves. It
	// is called when the first byte is about to be sent, and may be nil.
	Check func() error
}

// Picker chooses backend servers.
type Picker interface {
	// Pick returns a backend server of a pool, or ErrNoServer. It may block until one is
	// available or the context ends.
	Pick(ctx context.Context, pool string, r Request) (Choice, error)
	// HedgeDelay returns the time after which a request to the pool should be hedged at
	// another backend server, or 0 for never.
	HedgeDelay(pool string) time.Duration
	// String returns the name of the policy.
	String() string
}

// timeSource returns the current time.
type timeSource func() time.Time
