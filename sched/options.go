package sched

import (
	"time"

	"github.com/dottereldeal/dottereldeal/guard"
	"github.com/dottereldeal/dottereldeal/retry"
)

// Options configures a Holder.
type Options struct {
	// Since is the time from which the VM has held the cell.
	Since       time.Time
	RetryBudget []retry.Option
	// Guard knows the requests that may crash servers, and Cell names the cell that gives
	// evidence of them.
	Guard *guard.Table
	Cell  string
	// Limits are the requests per second that servers have named to the previous holder.
	Limits map[string]float64
	// Admission selects the order of the requests that wait.
	Admission AdmissionMode
}

// Option sets one of the Options.
type Option func(*Options)

// Since sets the time from which the VM has held the cell.
func Since(at time.Time) Option { return func(o *Options) { o.Since = at } }

// RetryBudget limits the retries of all entries.
func RetryBudget(opts ...retry.Option) Option {
	return func(o *Options) { o.RetryBudget = opts }
}

// Evidence sets the table of the requests that may crash servers, and the name of the cell.
func Evidence(table *guard.Table, cell string) Option {
	return func(o *Options) { o.Guard, o.Cell = table, cell }
}

// Limits sets the limits that servers have named to the previous holder.
func Limits(perSecond map[string]float64) Option {
	return func(o *Options) { o.Limits = perSecond }
}

// Admission selects the order of the requests that wait for a slot.
func Admission(mode AdmissionMode) Option { return func(o *Options) { o.Admission = mode } }

func newOptions(opts ...Option) Options {
	o := Options{Admission: AdmissionRank}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
