package soak

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/platform/caller"
)

const (
	// orderLimit is the longest time for which an order is sent again.
	orderLimit = 4 * time.Second
	// minPause and maxPause bound the pause between two copies of an order.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// operator gives orders as the platform's operator does: to the next replica after a failure, a
// 5xx, or a second without an answer.
type operator struct {
	fleet  *fleet
	record *recorder
	// log writes a line for people.
	log func(format string, args ...any)
}

// order sends an order until it has a clear answer, and reports whether it was acknowledged.
func (o *operator) order(ctx context.Context, s Step, body []byte, limit time.Duration) bool {
	path := map[Action]string{Configure: caller.Configure, Evacuate: caller.Evacuate + s.Centre, TakeBack: caller.TakeBack + s.Centre}[s.Action]
	n := o.record.order(Order{Action: s.Action, Version: s.Version, Centre: s.Centre, Sent: time.Now()})
	end, pause := time.Now().Add(limit), minPause
	for i := s.First; time.Now().Before(end) && ctx.Err() == nil; i++ {
		p := o.fleet.controls[i%len(o.fleet.controls)]
		status, err := post(ctx, o.fleet.addr(p, "platform"), path, body)
		o.log("%s %s%s to %s: %d", s.Action, s.Centre, versionText(s.Version), p.vm, status)
		switch {
		case err == nil && status/100 == 2:
			o.record.answered(n, p.vm, 0)
			return true
		case err == nil && status/100 == 4 && status != 408 && status != 429:
			o.record.answered(n, p.vm, status)
			return false
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
	return false
}
