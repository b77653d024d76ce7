package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Errors of decoding objects.
var (
	// ErrUnknownKind means that this version does not support the kind of an object.
	ErrUnknownKind = errors.New("unknown object kind")
	// ErrInvalidKeyDigest means that a key digest is not "sha256:" followed by 64 hex digits.
	ErrInvalidKeyDigest = errors.New(`key digest is not "sha256:" and 64 hex digits`)
)

// Kind is the kind of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindWorkspace    Kind = "workspace"
	KindPool         Kind = "pool"
	KindRoute        Kind = "route"
	KindDataCentre   Kind = "data-centre"
	KindVoters       Kind = "lease-voters"
	KindActiveVoters Kind = "lease-electors"
	KindTarget       Kind = "target"
	KindDivision     Kind = "pool-division"
	KindRollout      Kind = "rollout"
)

// VotersName is the name of the single object of KindVoters and of KindActiveVoters.
const VotersName = "fleet"

// Ref identifies an object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as "kind name".
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Object is a configuration object. Objects are immutable.
type Object interface {
	Ref() Ref
}

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are never stored.
type KeyDigest [sha256.Size]byte

const digestPrefix = "sha256:"

// HashKey returns the digest of an API key.
func HashKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest parses a digest in the form of "sha256:" followed by 64 hex digits.
func ParseKeyDigest(text string) (KeyDigest, error) {
	var d KeyDigest
	digits, ok := strings.CutPrefix(text, digestPrefix)
	if !ok || len(digits) != 2*len(d) {
		return d, ErrInvalidKeyDigest
	}
	if _, err := hex.Decode(d[:], []byte(digits)); err != nil {
		return d, ErrInvalidKeyDigest
	}
	return d, nil
}

// String returns the digest as "sha256:" followed by 64 hex digits.
func (d KeyDigest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) (err error) {
	*d, err = ParseKeyDigest(string(text))
	return err
}

// Duration is a time.Duration that is encoded as text such as "3s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Workspace is a tenant. All callers with its keys share one rate limit.
type Workspace struct {
	Name string `json:"name"`
	// Rate is the limit in requests per second over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst      float64     `json:"burst"`
	KeyDigests []KeyDigest `json:"key-digests,omitempty"`
	// Unlimited disables the rate limit.
	Unlimited bool `json:"unlimited,omitempty"`
	// Rank is the priority of the workspace's requests, 0 is the highest. It overrides
	// the rank of the route; nil keeps the route's.
	Rank *int `json:"rank,omitempty"`
}

// Ref returns the reference to the workspace.
func (w Workspace) Ref() Ref { return Ref{KindWorkspace, w.Name} }

// WithKeyDigests returns a copy of the workspace with the given key digests.
func (w Workspace) WithKeyDigests(digests ...KeyDigest) Workspace {
	w.KeyDigests = slices.Clone(digests)
	return w
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	Name string `json:"name"`
	// Floor is the minimum fraction of the backend servers that is never ejected, 0 to 1.
	Floor float64 `json:"floor"`
	// ColdSlots is the initial limit of concurrent requests to a cold backend server.
	ColdSlots int `json:"cold-slots,omitempty"`
	// Ramp is the time over which the limit of a cold backend server rises to its slots.
	Ramp Duration `json:"ramp,omitempty"`
	// ColdRate is the maximum rate of requests per second to a cold backend server,
	// over the whole fleet. At 0 only the slots limit it.
	ColdRate float64 `json:"cold-rate,omitempty"`
	// Connections is the maximum number of connections to a backend server that does
	// not announce a limit of its own. 0 means no limit.
	Connections int `json:"connections,omitempty"`
}

// Ref returns the reference to the pool.
func (p Pool) Ref() Ref { return Ref{KindPool, p.Name} }

// WeightedPool is a pool that receives a share of a route's requests.
type WeightedPool struct {
	Pool string `json:"pool"`
	// Weight is the pool's share, relative to the weights of the other pools.
	Weight float64 `json:"weight"`
}

// Route directs matching requests to a pool, or to several pools by weight.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path-prefix"`
	Methods    []string `json:"methods,omitempty"`
	Pool       string   `json:"pool,omitempty"`
	// Shares replaces Pool if the requests are split between several pools.
	Shares []WeightedPool `json:"shares,omitempty"`
	// Idempotent allows requests to be sent more than once.
	Idempotent bool     `json:"idempotent,omitempty"`
	Deadline   Duration `json:"deadline"`
	// Open allows requests without an API key.
	Open bool `json:"open,omitempty"`
	// Objective is the latency objective of the route's responses; 0 if there is none.
	Objective Duration `json:"objective,omitempty"`
	// Rank is the priority, 0 is the highest.
	Rank int `json:"rank,omitempty"`
	// Attempts is the maximum number of backend servers that one request is sent to.
	// 0 leaves the limit to the retry policy.
	Attempts int `json:"attempts,omitempty"`
}

// Ref returns the reference to the route.
func (r Route) Ref() Ref { return Ref{KindRoute, r.Name} }

// Pools returns the names of all pools that the route directs requests to.
func (r Route) Pools() []string {
	if len(r.Shares) == 0 {
		return []string{r.Pool}
	}
	names := make([]string, len(r.Shares))
	for i, s := range r.Shares {
		names[i] = s.Pool
	}
	return names
}

// TargetPhase is the lifecycle phase that a registered backend server announces.
type TargetPhase string

// The phases of a registered backend server.
const (
	TargetCold    TargetPhase = "cold"
	TargetWarm    TargetPhase = "warm"
	TargetLeaving TargetPhase = "leaving"
	// TargetGone marks a server that has left. Its record is kept so that delayed
	// announcements are recognised and ignored.
	TargetGone TargetPhase = "gone"
)

// Target is a backend server that has registered with the control plane.
type Target struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	// Addr is the address as IP:PORT.
	Addr string `json:"addr"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections, 0 if unknown.
	Connections int         `json:"connections,omitempty"`
	Phase       TargetPhase `json:"phase"`
	// Boot and Count order the announcements of a server: Boot rises with every start
	// of the server, Count with every announcement.
	Boot  uint64 `json:"boot"`
	Count uint64 `json:"count"`
	// Version is the version of the server's software. It is recorded only where roll-outs are
	// switched on.
	Version string `json:"version,omitempty"`
	// Early is set if the server was registered before its pool was configured. Versions that do
	// not know the field drop it and judge all changes alike.
	Early bool `json:"early,omitempty"`
}

// Ref returns the reference to the target.
func (t Target) Ref() Ref { return Ref{KindTarget, t.Name} }

// WithPhase returns a copy of the target in the given phase.
func (t Target) WithPhase(p TargetPhase) Target {
	t.Phase = p
	return t
}

// WithEarly returns a copy of the target that was, or was not, registered before its pool was configured.
func (t Target) WithEarly(early bool) Target {
	t.Early = early
	return t
}

// Supersedes reports whether the announcement is newer than another one of the same
// server. A server that has left can only return with a new start: delayed announcements
// of the previous start are ignored.
func (t Target) Supersedes(other Target) bool {
	if t.Boot != other.Boot {
		return t.Boot > other.Boot
	}
	if other.Phase == TargetGone {
		return t.Boot == 0 && t.Count <= firstCount
	}
	return t.Count > other.Count
}

// firstCount is the count of the first announcement after a start. It shows a new start
// of servers that announce no boot number.
const firstCount = 1

// MaxSlots is the highest number of slots that a server may announce. Sums over all servers stay
// far below the limits of integers.
const MaxSlots = 100_000

// LastCount is the count of the departure of a server, which is the last word of its start.
const LastCount = math.MaxUint64

// EqualExceptCount reports whether two announcements differ at most in their count, and in whether
// they were made before the pool was configured.
func (t Target) EqualExceptCount(other Target) bool {
	t.Count, t.Early = other.Count, other.Early
	return t == other
}

// DataCentreState is the service state of a data centre.
type DataCentreState string

// Service states of a data centre.
const (
	// DataCentreIn means that the data centre accepts new requests.
	DataCentreIn DataCentreState = "in"
	// DataCentreOut means that the data centre is out of service and accepts no new requests.
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a data centre with its service state.
type DataCentre struct {
	Name   string          `json:"name"`
	State  DataCentreState `json:"state"`
	Region string          `json:"region,omitempty"`
}

// Ref returns the reference to the data centre.
func (d DataCentre) Ref() Ref { return Ref{KindDataCentre, d.Name} }

// Voters is the list of entry VMs that operators have configured to vote on shard leases.
type Voters struct {
	VMs []string `json:"vms"`
}

// Ref returns the reference to the single list of voters.
func (Voters) Ref() Ref { return Ref{KindVoters, VotersName} }

// ActiveVoters is the list of lease voters that is currently in effect. The control
// leader changes it by one VM at a time until it matches the configured list, so that
// the majorities of two successive lists always overlap.
type ActiveVoters struct {
	VMs []string `json:"vms"`
}

// Ref returns the reference to the single list of active voters.
func (ActiveVoters) Ref() Ref { return Ref{KindActiveVoters, VotersName} }

// Division divides the servers of a pool into cells, each of which has a holder of its own.
// The control leader maintains it, so that all entries divide a pool in the same way.
type Division struct {
	Pool string `json:"pool"`
	// CellsPerDataCentre is the number of cells in each data centre, 0 for a single cell in
	// all of them.
	CellsPerDataCentre int `json:"cells-per-data-centre"`
}

// Ref returns the reference to the division.
func (d Division) Ref() Ref { return Ref{KindDivision, d.Pool} }

// RolloutPhase is the phase of a roll-out.
type RolloutPhase string

// The phases of a roll-out.
const (
	RolloutRunning    RolloutPhase = "running"
	RolloutCompleted  RolloutPhase = "completed"
	RolloutRolledBack RolloutPhase = "rolled-back"
)

// Rollout moves the requests of a pool to the servers of another version. An operator orders it,
// and the control leader decides on its progress.
type Rollout struct {
	Pool string `json:"pool"`
	// Version is the version that the requests are moved to.
	Version string `json:"version"`
	// Duration is the time within which the roll-out has to end.
	Duration Duration     `json:"duration"`
	Phase    RolloutPhase `json:"phase"`
	// Share is the part of the pool's requests, 0 to 1, that the servers of Version get while the
	// roll-out is running.
	Share float64 `json:"share"`
	// OrderedMillis is the wall-clock time of the order in Unix milliseconds, at the VM that
	// accepted it. A control process that starts later has nothing else to go by.
	OrderedMillis int64 `json:"ordered-ms"`
	// Elapsed is the time since the order when the leader last changed the roll-out.
	Elapsed Duration `json:"elapsed"`
	// Rejected is the version that the last roll-out of the pool was rolled back from. Its
	// servers get nothing while there are others.
	Rejected string `json:"rejected,omitempty"`
	// Reason says why the leader last changed the roll-out.
	Reason string `json:"reason,omitempty"`
}

// Ref returns the reference to the roll-out.
func (r Rollout) Ref() Ref { return Ref{KindRollout, r.Pool} }

// WithStep returns a copy of the roll-out with the decision of the leader.
func (r Rollout) WithStep(phase RolloutPhase, share float64, elapsed time.Duration, reason string) Rollout {
	r.Phase, r.Share, r.Elapsed, r.Reason = phase, share, Duration(elapsed), reason
	return r
}

// problem returns why the roll-out cannot follow the present one of its pool, or "".
func (r Rollout) problem(present Rollout, exists bool) string {
	switch {
	case r.Version == "":
		return "version is missing"
	case r.Duration <= 0:
		return "duration is not positive"
	case !(r.Share >= 0 && r.Share <= 1):
		return "share is not between 0 and 1"
	case r.Phase != RolloutRunning && r.Phase != RolloutCompleted && r.Phase != RolloutRolledBack:
		return "phase is unknown"
	case !exists:
		return ""
	case r.Version != present.Version && present.Phase == RolloutRunning:
		return "a roll-out to another version is running"
	case r.Version == present.Version && present.Phase != RolloutRunning && r != present:
		return "the roll-out has ended"
	default:
		return ""
	}
}

// Encode returns the canonical encoding of an object.
func Encode(o Object) ([]byte, error) { return json.Marshal(o) }

// Decode decodes the canonical encoding of an object of the given kind.
func Decode(kind Kind, data []byte) (Object, error) {
	switch kind {
	case KindWorkspace:
		return decode[Workspace](data)
	case KindPool:
		return decode[Pool](data)
	case KindRoute:
		return decode[Route](data)
	case KindDataCentre:
		return decode[DataCentre](data)
	case KindVoters:
		return decode[Voters](data)
	case KindActiveVoters:
		return decode[ActiveVoters](data)
	case KindTarget:
		return decode[Target](data)
	case KindDivision:
		return decode[Division](data)
	case KindRollout:
		return decode[Rollout](data)
	default:
		return nil, errors.Wrap(ErrUnknownKind, string(kind))
	}
}

func decode[T Object](data []byte) (Object, error) {
	var o T
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, fmt.Errorf("decode %T: %w", o, err)
	}
	return o, nil
}
