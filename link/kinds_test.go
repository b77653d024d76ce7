package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/wire"
)

func TestMessagesAreCountedByKind(t *testing.T) {
	is := is.New(t)
	var c kindCounters
	c.addSent(&wire.Envelope{Body: &wire.Envelope_LeaseAsk{}}, 10, 2*time.Millisecond)
	c.addSent(&wire.Envelope{Body: &wire.Envelope_LeaseAsk{}}, 20, time.Millisecond)
	c.addSent(&wire.Envelope{Body: &wire.Envelope_Gossip{}}, 5, 0)
	c.addReceived(&wire.Envelope{Body: &wire.Envelope_Gossip{}}, 7, time.Millisecond)
	c.addSent(&wire.Envelope{}, 5, 0)
	is.Equal(c.stats(), map[string]KindStats{
		"lease_ask": {Sent: 2, SentBytes: 30, Queued: 3 * time.Millisecond, LongestQueued: 2 * time.Millisecond},
		"gossip":    {Sent: 1, SentBytes: 5, Received: 1, ReceivedBytes: 7, Handled: time.Millisecond},
	})
}

func TestStatsKeepTheCountsOfSentMessages(t *testing.T) {
	is := is.New(t)
	var c transport
	c.kinds.addSent(&wire.Envelope{Body: &wire.Envelope_Gossip{}}, 5, 0)
	c.kinds.addReceived(&wire.Envelope{Body: &wire.Envelope_LeaseAsk{}}, 5, 0)
	is.Equal(c.Stats().SentByKind, map[string]uint64{"gossip": 1})
	is.Equal(len(c.Stats().Kinds), 2)
}
