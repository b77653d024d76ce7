package ctrl

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
)

// reopenPeriod is the interval between attempts to reopen a failed data folder.
const reopenPeriod = 200 * time.Millisecond

// reopen waits until the data folder is writable again and reloads the replica's
// state from it, as after a restart. Until then the replica takes no part in the
// group and answers no requests. It returns false if ctx was cancelled.
//
// Exiting instead would not help: the process would be restarted at once, and
// would exit again for as long as the disk is full.
func (c *Control) reopen(ctx context.Context, cause error) bool {
	c.options.EventLog.Record(event.DiskLost, c.options.VM, cause.Error())
	c.abortPending()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenPeriod):
		}
		if err := c.storage.Close(); err != nil {
			c.options.EventLog.Record(event.DiskLost, c.options.VM, "close: "+err.Error())
		}
		storage, restored, err := store.Reopen(c.folder)
		if err != nil {
			continue // the cause is logged already; retry until the folder is usable
		}
		c.storage = storage
		if err := c.restore(restored); err != nil {
			c.options.EventLog.Record(event.DiskLost, c.options.VM, errors.Wrap(err, "restore").Error())
			continue
		}
		c.options.EventLog.Record(event.DiskRegained, c.options.VM, "")
		c.publishStatus()
		return true
	}
}

// abortPending fails pending proposals, drops pending reads, which end at their
// deadlines, and reports this replica as a follower without a leader, because its
// durable state is unknown.
func (c *Control) abortPending() {
	s := c.node.Status()
	s.Role, s.Leader, s.Match = quorum.Follower, 0, nil
	c.status.Store(&s)
	for index, pending := range c.pending {
		close(pending.answer)
		delete(c.pending, index)
	}
	clear(c.pendingReads)
	c.beacon = nil
}
