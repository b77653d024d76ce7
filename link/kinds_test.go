package link

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/wire"
)

func TestMessagesAreCountedByKind(t *testing.T) {
	is := is.New(t)
	var c kindCounter
	c.add(&wire.Envelope{Body: &wire.Envelope_LeaseAsk{}})
	c.add(&wire.Envelope{Body: &wire.Envelope_LeaseAsk{}})
	c.add(&wire.Envelope{Body: &wire.Envelope_Gossip{}})
	c.add(&wire.Envelope{})
	is.Equal(c.counts(), map[string]uint64{"lease_ask": 2, "gossip": 1})
}
