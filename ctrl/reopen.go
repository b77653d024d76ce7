package ctrl

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/store"
)

// reopenPause is the time between two tries to write to a data folder that failed.
const reopenPause = 200 * time.Millisecond

// reopen waits until the data folder takes writes again, and goes on from what is on it,
// as after a restart. Until then this replica takes no part in the group and answers
// nothing. It reports false if the process is to stop.
//
// Weighed: ending the process. It would be started again at once, and end again as long
// as the disk is full.
func (c *Control) reopen(ctx context.Context, cause error) bool {
	c.options.Line.Record(event.DiskLost, c.options.VM, cause.Error())
	c.forsake()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenPause):
		}
		if err := c.disk.Close(); err != nil {
			c.options.Line.Record(event.DiskLost, c.options.VM, "close: "+err.Error())
		}
		disk, restored, err := store.Reopen(c.folder)
		if err != nil {
			continue // the cause has been logged, and the folder is tried until it works
		}
		c.disk = disk
		if err := c.restore(restored); err != nil {
			c.options.Line.Record(event.DiskLost, c.options.VM, errors.Wrap(err, "restore").Error())
			continue
		}
		c.options.Line.Record(event.DiskRegained, c.options.VM, "")
		c.publishStatus()
		return true
	}
}

// forsake ends everything that waits for this replica: it does not know any more what
// it holds.
func (c *Control) forsake() {
	s := c.core.Status()
	s.Role, s.Leader, s.Match = quorum.Follower, 0, nil
	c.status.Store(&s)
	for index, waiting := range c.pending {
		close(waiting.answer)
		delete(c.pending, index)
	}
	clear(c.reads)
	c.beacon = nil
}
