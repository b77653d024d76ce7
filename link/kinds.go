package link

import (
	"sync/atomic"

	"github.com/dottereldeal/dottereldeal/wire"
)

// maxKinds is above the highest field number of the body of an envelope.
const maxKinds = 64

// envelopeBody describes the field of an envelope that holds its body.
var envelopeBody = (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body")

// kindCounter counts messages by the field number of their body.
type kindCounter [maxKinds]atomic.Uint64

func (c *kindCounter) add(e *wire.Envelope) {
	if field := e.ProtoReflect().WhichOneof(envelopeBody); field != nil {
		c[int(field.Number())%maxKinds].Add(1)
	}
}

// counts returns the count of each kind of which there was a message.
func (c *kindCounter) counts() map[string]uint64 {
	counts := make(map[string]uint64)
	fields := envelopeBody.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if n := c[int(field.Number())%maxKinds].Load(); n > 0 {
			counts[string(field.Name())] = n
		}
	}
	return counts
}
