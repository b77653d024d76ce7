// Package event keeps an in-memory event log per process. The logs of all
// processes can be merged into one causally ordered timeline.
//
// Each event carries a timestamp of a hybrid logical clock (HLC): wall-clock
// time in milliseconds and a counter. Every message between processes carries
// the sender's timestamp and advances the receiver's clock to at least that
// value, so a cause always sorts before its effect, even if wall clocks are
// skewed. The timestamps order events for operators; no protocol relies on them
// for correctness.
//
// # Usage
//
//	log := event.New("e1", event.Capacity(4096))
//	log.Record(event.Ejected, "loan-desk/b3", "20% errors in 2s")
//	events, lost := log.Since(0)
package event

import (
	"fmt"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// Event kinds. The values are part of the JSON form and of filters.
const (
	Started            Kind = "started"
	Stopping           Kind = "stopping"
	Stopped            Kind = "stopped"
	TicketAccepted     Kind = "ticket-accepted"
	TicketRefused      Kind = "ticket-refused"
	TicketInForce      Kind = "ticket-in-force"
	OrderProposed      Kind = "order-proposed"
	OrderDropped       Kind = "order-dropped"
	RolloutDecided     Kind = "rollout-decided"
	StateApplied       Kind = "state-applied"
	StateConfirmed     Kind = "state-confirmed"
	DeltaFailed        Kind = "delta-failed"
	StateDiverged      Kind = "state-diverged"
	KeyWithdrawn       Kind = "key-withdrawn"
	LeaderElected      Kind = "leader-elected"
	LeaderLost         Kind = "leader-lost"
	FoundingWaits      Kind = "founding-waits"
	ReplicaAdded       Kind = "replica-added"
	ReplicaPromoted    Kind = "replica-promoted"
	ReplicaRemoved     Kind = "replica-removed"
	ReadRefused        Kind = "read-refused"
	RepairDelayed      Kind = "repair-delayed"
	DiskLost           Kind = "disk-lost"
	DiskRegained       Kind = "disk-regained"
	LeaseWon           Kind = "lease-won"
	LeaseLost          Kind = "lease-lost"
	LeaseDoubted       Kind = "lease-doubted"
	MemberJoined       Kind = "member-joined"
	MemberLost         Kind = "member-lost"
	TargetJoined       Kind = "target-joined"
	TargetLeaving      Kind = "target-leaving"
	TargetExpired      Kind = "target-expired"
	TargetHeld         Kind = "target-held"
	TargetDisplaced    Kind = "target-displaced"
	TargetCold         Kind = "target-cold"
	TargetWarm         Kind = "target-warm"
	TargetSilent       Kind = "target-silent"
	TargetLimited      Kind = "target-limited"
	TargetUnlimited    Kind = "target-unlimited"
	Ejected            Kind = "ejected"
	Readmitted         Kind = "readmitted"
	BackendsLost       Kind = "backend-servers-lost"
	BackendsReached    Kind = "backend-servers-reached"
	RequestQuarantined Kind = "request-quarantined"
	RequestReleased    Kind = "request-released"
	EjectionRefused    Kind = "ejection-refused"
	DataCentreOut      Kind = "data-centre-out"
	DataCentreIn       Kind = "data-centre-in"
	ServingStopped     Kind = "serving-stopped"
	ServingResumed     Kind = "serving-resumed"
	CertificateRenewed Kind = "certificate-renewed"
)

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// WallMillis is the wall-clock time in milliseconds since the Unix epoch.
	WallMillis int64 `json:"wall-ms"`
	// Count orders timestamps with the same WallMillis.
	Count uint32 `json:"count"`
}

// Before reports whether s sorts before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMillis != other.WallMillis {
		return s.WallMillis < other.WallMillis
	}
	return s.Count < other.Count
}

// String formats the timestamp as "UTC time+count".
func (s Stamp) String() string {
	at := time.UnixMilli(s.WallMillis).UTC()
	return fmt.Sprintf("%s+%d", at.Format("2006-01-02T15:04:05.000Z"), s.Count)
}

// Event is one record of an event log.
type Event struct {
	At     Stamp  `json:"at"`
	VM     string `json:"vm"`
	Seq    uint64 `json:"seq"`
	Kind   Kind   `json:"kind"`
	Object string `json:"object,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Log is the bounded event log of one process. It keeps the newest events in a
// ring buffer. It is safe for concurrent use.
type Log struct {
	vm        string
	wallClock func() time.Time

	mu        sync.Mutex
	lastStamp Stamp
	lastSeq   uint64
	ring      []Event
	// oldest is the index of the oldest event once the ring buffer is full.
	oldest int
}

// New returns an empty event log for the process on the given VM.
func New(vm string, opts ...Option) *Log {
	o := newOptions(opts...)
	return &Log{vm: vm, wallClock: o.WallClock, ring: make([]Event, 0, o.Capacity)}
}

// Record appends an event with the current timestamp.
func (l *Log) Record(kind Kind, object, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeq++
	l.append(Event{At: l.nextStamp(), VM: l.vm, Seq: l.lastSeq, Kind: kind, Object: object, Detail: detail})
}

// Stamp advances the clock and returns the timestamp of an outgoing message.
func (l *Log) Stamp() Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nextStamp()
}

// Observe advances the clock to the timestamp of a received message. Timestamps
// more than maxClockSkew ahead of the local wall clock are ignored, so that one
// VM with a wrong wall clock does not advance the clocks of all others.
func (l *Log) Observe(remote Stamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote.WallMillis > l.wallClock().UnixMilli()+maxClockSkew.Milliseconds() {
		return
	}
	if l.lastStamp.Before(remote) {
		l.lastStamp = remote
	}
}

// Since returns the retained events with a sequence number greater than seq,
// oldest first, and the number of such events that were already overwritten.
func (l *Log) Since(seq uint64) (events []Event, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ring {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if e.Seq > seq {
			events = append(events, e)
		}
	}
	if kept := uint64(len(events)); l.lastSeq > seq+kept {
		lost = l.lastSeq - seq - kept
	}
	return events, lost
}

func (l *Log) append(e Event) {
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.oldest] = e
	l.oldest = (l.oldest + 1) % len(l.ring)
}

// nextStamp advances the clock for a local event or an outgoing message.
func (l *Log) nextStamp() Stamp {
	wall := l.wallClock().UnixMilli()
	if wall > l.lastStamp.WallMillis {
		l.lastStamp = Stamp{WallMillis: wall}
	} else {
		l.lastStamp.Count++
	}
	return l.lastStamp
}
