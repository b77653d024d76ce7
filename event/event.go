// Package event records what a process did on a time line that can be merged
// with the time lines of all other processes.
//
// Each event is stamped by a hybrid logical clock: a wall-clock reading in
// milliseconds and a counter. Every message between processes carries the
// sender's stamp and moves the receiver's clock past it, so an event that
// caused another one always sorts before it, even when wall clocks disagree.
// Stamps order events for people; no safety rule depends on them.
//
// # Usage
//
//	line := event.New("e1", event.Capacity(4096))
//	line.Record(event.Ejected, "loan-desk/b3", "20% errors in 2s")
//	events, lost := line.Since(0)
package event

import (
	"fmt"
	"sync"
	"time"
)

// Kind says what happened.
type Kind string

// The kinds of events on the time line.
const (
	Started            Kind = "started"
	Stopping           Kind = "stopping"
	Stopped            Kind = "stopped"
	TicketAccepted     Kind = "ticket-accepted"
	TicketRefused      Kind = "ticket-refused"
	TicketInForce      Kind = "ticket-in-force"
	StateApplied       Kind = "state-applied"
	KeyWithdrawn       Kind = "key-withdrawn"
	LeaderElected      Kind = "leader-elected"
	LeaderLost         Kind = "leader-lost"
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
	TargetCold         Kind = "target-cold"
	TargetWarm         Kind = "target-warm"
	TargetSilent       Kind = "target-silent"
	Ejected            Kind = "ejected"
	Readmitted         Kind = "readmitted"
	EjectionRefused    Kind = "ejection-refused"
	DataCentreOut      Kind = "data-centre-out"
	DataCentreIn       Kind = "data-centre-in"
	ServingStopped     Kind = "serving-stopped"
	ServingResumed     Kind = "serving-resumed"
	CertificateRenewed Kind = "certificate-renewed"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// WallMillis is milliseconds since the Unix epoch.
	WallMillis int64 `json:"wall-ms"`
	// Count orders events with the same WallMillis.
	Count uint32 `json:"count"`
}

// Before reports whether s sorts before other.
func (s Stamp) Before(other Stamp) bool {
	if s.WallMillis != other.WallMillis {
		return s.WallMillis < other.WallMillis
	}
	return s.Count < other.Count
}

// String returns the stamp as UTC time and counter.
func (s Stamp) String() string {
	at := time.UnixMilli(s.WallMillis).UTC()
	return fmt.Sprintf("%s+%d", at.Format("2006-01-02T15:04:05.000Z"), s.Count)
}

// Event is one entry of a time line.
type Event struct {
	At     Stamp  `json:"at"`
	VM     string `json:"vm"`
	Seq    uint64 `json:"seq"`
	Kind   Kind   `json:"kind"`
	Object string `json:"object,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Log is the bounded event log of one process.
type Log struct {
	vm   string
	wall func() time.Time

	mu    sync.Mutex
	last  Stamp
	seq   uint64
	ring  []Event
	first int
}

// New returns an empty time line for the process named vm.
func New(vm string, opts ...Option) *Log {
	o := newOptions(opts...)
	return &Log{vm: vm, wall: o.WallClock, ring: make([]Event, 0, o.Capacity)}
}

// Record adds an event that happens now.
func (l *Log) Record(kind Kind, object, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	l.push(Event{At: l.tick(), VM: l.vm, Seq: l.seq, Kind: kind, Object: object, Detail: detail})
}

// Stamp returns a new reading of the clock, for an outgoing message.
func (l *Log) Stamp() Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tick()
}

// Observe moves the clock past the stamp of a received message. A stamp that
// is further ahead than maxAhead is ignored, so that one broken wall clock
// does not carry the whole fleet with it.
func (l *Log) Observe(remote Stamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remote.WallMillis > l.wall().UnixMilli()+maxAhead.Milliseconds() {
		return
	}
	if l.last.Before(remote) {
		l.last = remote
	}
}

// Since returns the events with a sequence number above seq, oldest first, and
// how many of them are no longer kept.
func (l *Log) Since(seq uint64) (events []Event, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ring {
		e := l.ring[(l.first+i)%len(l.ring)]
		if e.Seq > seq {
			events = append(events, e)
		}
	}
	if kept := uint64(len(events)); l.seq > seq+kept {
		lost = l.seq - seq - kept
	}
	return events, lost
}

func (l *Log) push(e Event) {
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, e)
		return
	}
	l.ring[l.first] = e
	l.first = (l.first + 1) % len(l.ring)
}

// tick advances the clock for a local event or a sent message.
func (l *Log) tick() Stamp {
	wall := l.wall().UnixMilli()
	if wall > l.last.WallMillis {
		l.last = Stamp{WallMillis: wall}
	} else {
		l.last.Count++
	}
	return l.last
}
