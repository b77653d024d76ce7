package link

import (
	"sync/atomic"
	"time"

	"github.com/dottereldeal/dottereldeal/wire"
)

// maxKinds is above the highest field number of the body of an envelope.
const maxKinds = 64

// envelopeBody describes the field of an envelope that holds its body.
var envelopeBody = (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// KindStats holds the traffic counters of one kind of message.
type KindStats struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent-bytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"received-bytes"`
	// Queued is the time that sent messages waited for a peer's connection in total, and
	// LongestQueued that of one message.
	Queued        time.Duration `json:"queued"`
	LongestQueued time.Duration `json:"longest-queued"`
	// Handled is the time that handlers of received messages took in total.
	Handled time.Duration `json:"handled"`
}

// kindCounters counts messages by the field number of their body.
type kindCounters [maxKinds]kindCounter

// kindCounter counts the messages of one kind.
type kindCounter struct {
	sent, sentBytes, received, receivedBytes atomic.Uint64
	queued, longestQueued, handled           atomic.Int64
}

// of returns the counter of a message, or nil if it has no body.
func (c *kindCounters) of(e *wire.Envelope) *kindCounter {
	if field := e.ProtoReflect().WhichOneof(envelopeBody); field != nil {
		return &c[int(field.Number())%maxKinds]
	}
	return nil
}

// addSent counts a message that was written after waiting in a queue.
func (c *kindCounters) addSent(e *wire.Envelope, bytes int, queued time.Duration) {
	k := c.of(e)
	if k == nil {
		return
	}
	k.sent.Add(1)
	k.sentBytes.Add(uint64(bytes))
	k.queued.Add(int64(queued))
	for longest := k.longestQueued.Load(); int64(queued) > longest; longest = k.longestQueued.Load() {
		if k.longestQueued.CompareAndSwap(longest, int64(queued)) {
			return
		}
	}
}

// addReceived counts a message that was read and handled.
func (c *kindCounters) addReceived(e *wire.Envelope, bytes int, handled time.Duration) {
	if k := c.of(e); k != nil {
		k.received.Add(1)
		k.receivedBytes.Add(uint64(bytes))
		k.handled.Add(int64(handled))
	}
}

// stats returns the counters of each kind of which there was a message.
func (c *kindCounters) stats() map[string]KindStats {
	all := make(map[string]KindStats)
	fields := envelopeBody.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		k := &c[int(field.Number())%maxKinds]
		s := KindStats{
			Sent: k.sent.Load(), SentBytes: k.sentBytes.Load(), Received: k.received.Load(), ReceivedBytes: k.receivedBytes.Load(),
			Queued: time.Duration(k.queued.Load()), LongestQueued: time.Duration(k.longestQueued.Load()), Handled: time.Duration(k.handled.Load()),
		}
		if s != (KindStats{}) {
			all[string(field.Name())] = s
		}
	}
	return all
}
