package ctrl

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/state"
)

// Replays a large fleet whose servers announce themselves unchanged: the reads that confirm this do
// not grow with the fleet, and none is shared by a caller that came after its start.
func TestUnchangedAnnouncementsShareReads(t *testing.T) {
	is := is.New(t)
	const announcements, span = 5000, 10 * time.Second
	var reads sharedReads
	var starts []time.Time
	begin := time.Now()
	var due time.Time
	for k := range announcements {
		now := begin.Add(span * time.Duration(k) / announcements)
		if reads.next != nil && !due.After(now) {
			starts = append(starts, due)
			reads.start(due)
		}
		read, first, wait := reads.join(now)
		is.True(wait <= confirmPeriod)
		is.Equal(first, due.IsZero() || due == reads.lastStart)
		is.Equal(read, reads.next)
		if first {
			due = now.Add(wait)
		}
	}
	is.True(len(starts) <= int(span/confirmPeriod)+1)
}

// Guards against announcements that are acknowledged without effect by a replica that is cut off
// from the majority, whose state may be old.
func TestAnnouncementIsNotAcknowledgedWithoutMajority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	g, leader, follower := newCompleteGroup(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(g.nodes[follower].Register(ctx, newServer(1, 1)))
	g.nodes[follower].silent.Store(true)
	is.NoErr(g.nodes[leader].Register(ctx, newServer(1, 2).WithPhase(state.TargetLeaving)))
	brief, leave := context.WithTimeout(ctx, 900*time.Millisecond)
	defer leave()
	is.True(g.nodes[follower].Register(brief, newServer(1, 3)) != nil)
	g.nodes[follower].silent.Store(false)
	g.await("leader", 4*time.Second, func() bool { return g.nodes[follower].Ready() == nil })
	is.NoErr(g.nodes[follower].Register(ctx, newServer(1, 3)))
	known, _, err := g.nodes[leader].Registered(ctx, "s1")
	is.NoErr(err)
	is.Equal(known.Phase, state.TargetWarm)
}
