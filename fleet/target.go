package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

// Phase is the lifecycle phase that a backend server announces.
type Phase string

// Phases of a backend server.
const (
	Cold    Phase = "cold"
	Warm    Phase = "warm"
	Leaving Phase = "leaving"
)

// Target is the announcement of a backend server.
type Target struct {
	Name       string
	Pool       string
	DataCentre string
	// Addr has the form IP:PORT.
	Addr string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Connections is the maximum number of connections.
	Connections int
	Phase       Phase
	// Load is the fraction of the slots in use at the time of the announcement.
	Load     float64
	Lifetime time.Duration
	// Version is the version of the server's software, empty if it is not known.
	Version string
	// Boot and Count order the announcements of one backend server.
	Boot  uint64
	Count uint64
	// Home is the entry that tracks the lifetime.
	Home string
}

// WithHome returns a copy of the target with another home.
func (t Target) WithHome(vm string) Target {
	t.Home = vm
	return t
}

// WithPhase returns a copy of the target in another phase.
func (t Target) WithPhase(p Phase) Target {
	t.Phase = p
	return t
}

// Newer reports whether the announcement supersedes another one.
func (t Target) Newer(other Target) bool {
	return Version{t.Boot, t.Count}.Newer(Version{other.Boot, other.Count})
}

// equivalent reports whether two announcements differ only in fields whose changes
// are not gossiped.
func (t Target) equivalent(other Target) bool {
	t.Load, t.Count, t.Home = other.Load, other.Count, other.Home
	return t == other
}

// versionsPerAnnouncement reserves two version counts for every announcement: one for
// the announcement itself and one for its removal.
const versionsPerAnnouncement = 2

func (t Target) wire() *wire.Target {
	return &wire.Target{
		Pool: t.Pool, DataCentre: t.DataCentre, Addr: t.Addr,
		Slots: uint32(t.Slots), Connections: uint32(t.Connections),
		Phase: string(t.Phase), Load: t.Load,
		LifetimeMillis: uint64(t.Lifetime.Milliseconds()), Home: t.Home,
	}
}

func targetFromWire(name string, boot, count uint64, m *wire.Target) Target {
	return Target{
		Name: name, Boot: boot, Count: count,
		Pool: m.GetPool(), DataCentre: m.GetDataCentre(), Addr: m.GetAddr(),
		Slots: int(m.GetSlots()), Connections: int(m.GetConnections()),
		Phase: Phase(m.GetPhase()), Load: m.GetLoad(),
		Lifetime: time.Duration(m.GetLifetimeMillis()) * time.Millisecond, Home: m.GetHome(),
	}
}

// item encodes the announcement, or its removal, as an item.
func (t Target) item(removed bool) Item {
	body, _ := proto.Marshal(t.wire())
	count := t.Count * versionsPerAnnouncement
	if removed {
		count++
	}
	return Item{Key: Key{KindTarget, t.Name}, Version: Version{t.Boot, count}, Removed: removed, Body: body}
}

// decodeTarget decodes an announcement. It reports false if the body is invalid.
func decodeTarget(i Item) (Target, bool) {
	var body wire.Target
	if proto.Unmarshal(i.Body, &body) != nil {
		return Target{}, false
	}
	return targetFromWire(i.Key.Name, i.Version.Boot, i.Version.Count/versionsPerAnnouncement, &body), true
}
