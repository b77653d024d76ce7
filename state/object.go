package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Errors of reading objects.
var (
	// ErrUnknownKind means that an object's kind is not known to this version.
	ErrUnknownKind = errors.New("unknown kind of object")
	// ErrInvalidKeyDigest means that a key digest is not "sha256:" and 64 hex digits.
	ErrInvalidKeyDigest = errors.New(`key digest is not "sha256:" and 64 hex digits`)
)

// Kind is a kind of configuration object.
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
)

// VotersName is the name of the only objects of KindVoters and KindElectors.
const VotersName = "fleet"

// Ref names one object.
type Ref struct {
	Kind Kind
	Name string
}

// String returns the reference as "kind name".
func (r Ref) String() string { return string(r.Kind) + " " + r.Name }

// Object is one configuration object. Objects are never changed once built.
type Object interface {
	Ref() Ref
}

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are never stored.
type KeyDigest [sha256.Size]byte

const digestPrefix = "sha256:"

// HashKey returns the digest of a key.
func HashKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ParseKeyDigest reads "sha256:" and 64 hex digits.
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

// String returns the digest as "sha256:" and hex digits.
func (d KeyDigest) String() string { return digestPrefix + hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) (err error) {
	*d, err = ParseKeyDigest(string(text))
	return err
}

// Duration is a time.Duration that is written as text such as "3s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Workspace is a tenant whose callers share one rate.
type Workspace struct {
	Name string `json:"name"`
	// Rate is in requests a second, over the whole fleet.
	Rate float64 `json:"rate"`
	// Burst is the number of requests above the rate that may come at once.
	Burst      float64     `json:"burst"`
	KeyDigests []KeyDigest `json:"key-digests,omitempty"`
	// Unlimited says that rate and burst do not apply.
	Unlimited bool `json:"unlimited,omitempty"`
	// Rank is the urgency of the workspace's requests, 0 first. It goes before
	// the rank of a route. Nil leaves the route's.
	Rank *int `json:"rank,omitempty"`
}

// Ref names the workspace.
func (w Workspace) Ref() Ref { return Ref{KindWorkspace, w.Name} }

// WithKeyDigests returns the workspace with other keys.
func (w Workspace) WithKeyDigests(digests ...KeyDigest) Workspace {
	w.KeyDigests = slices.Clone(digests)
	return w
}

// Pool is a group of interchangeable backend servers.
type Pool struct {
	Name string `json:"name"`
	// Floor is the part of the backend servers that is never ejected, 0 to 1.
	Floor float64 `json:"floor"`
	// ColdSlots is the number of requests that a cold backend server gets at once.
	ColdSlots int `json:"cold-slots,omitempty"`
	// Ramp is the time over which a cold backend server gets all its slots.
	Ramp Duration `json:"ramp,omitempty"`
	// ColdRate is the number of requests a second that a cold backend server
	// bears, over the whole fleet. 0 leaves only the slots as a limit.
	ColdRate float64 `json:"cold-rate,omitempty"`
	// Connections is the number of connections that each backend server accepts
	// where it does not announce a number. 0 sets no limit.
	Connections int `json:"connections,omitempty"`
}

// Ref names the pool.
func (p Pool) Ref() Ref { return Ref{KindPool, p.Name} }

// WeightedPool is a part of a route's requests.
type WeightedPool struct {
	Pool string `json:"pool"`
	// Weight is the pool's part, relative to the weights of the other pools.
	Weight float64 `json:"weight"`
}

// Route leads matching requests to a pool, or to several by weight.
type Route struct {
	Name       string   `json:"name"`
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path-prefix"`
	Methods    []string `json:"methods,omitempty"`
	Pool       string   `json:"pool,omitempty"`
	// Shares is given instead of Pool where several pools share the requests.
	Shares []WeightedPool `json:"shares,omitempty"`
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool     `json:"idempotent,omitempty"`
	Deadline   Duration `json:"deadline"`
	// Open says that no key is needed.
	Open bool `json:"open,omitempty"`
	// Objective is the time within which an answer has its full worth; 0 if none.
	Objective Duration `json:"objective,omitempty"`
	// Rank is the urgency, 0 first.
	Rank int `json:"rank,omitempty"`
	// Attempts is the number of backend servers that one request may be sent to;
	// 0 leaves it to the retry policy.
	Attempts int `json:"attempts,omitempty"`
}

// Ref names the route.
func (r Route) Ref() Ref { return Ref{KindRoute, r.Name} }

// Pools returns the names of all pools that the route leads to.
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

// TargetPhase is what a registered backend server says of itself.
type TargetPhase string

// The phases of a registered backend server.
const (
	TargetCold    TargetPhase = "cold"
	TargetWarm    TargetPhase = "warm"
	TargetLeaving TargetPhase = "leaving"
	// TargetGone keeps the memory of a server that has left, so that its late
	// announcements are recognised.
	TargetGone TargetPhase = "gone"
)

// Target is a backend server that has registered with control.
type Target struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	// Addr is IP:PORT.
	Addr string `json:"addr"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts, 0 if unknown.
	Connections int         `json:"connections,omitempty"`
	Phase       TargetPhase `json:"phase"`
	// Boot and Count order the announcements: Boot rises with every start of the
	// server and Count with every announcement.
	Boot  uint64 `json:"boot"`
	Count uint64 `json:"count"`
}

// Ref names the target.
func (t Target) Ref() Ref { return Ref{KindTarget, t.Name} }

// WithPhase returns the target in another phase.
func (t Target) WithPhase(p TargetPhase) Target {
	t.Phase = p
	return t
}

// Supersedes reports whether the target was announced after another one of its name. A
// server that has left does not come back in the same start, whatever is still on
// its way.
func (t Target) Supersedes(other Target) bool {
	if t.Boot != other.Boot {
		return t.Boot > other.Boot
	}
	if other.Phase == TargetGone {
		return t.Boot == 0 && t.Count <= firstCount
	}
	return t.Count > other.Count
}

// firstCount is the count of a first announcement: where servers do not tell their
// start, it shows that there was a new one.
const firstCount = 1

// EqualExceptCount reports whether two announcements say the same, save for their count.
func (t Target) EqualExceptCount(other Target) bool {
	t.Count = other.Count
	return t == other
}

// DataCentreState says whether a data centre takes new work.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a data centre and whether it takes new work.
type DataCentre struct {
	Name   string          `json:"name"`
	State  DataCentreState `json:"state"`
	Region string          `json:"region,omitempty"`
}

// Ref names the data centre.
func (d DataCentre) Ref() Ref { return Ref{KindDataCentre, d.Name} }

// Voters is the list of entry VMs that operators want to vote on shard leases.
type Voters struct {
	VMs []string `json:"vms"`
}

// Ref names the only list of voters.
func (Voters) Ref() Ref { return Ref{KindVoters, VotersName} }

// ActiveVoters is the list of lease voters that counts at present. The control
// leader changes it by one VM at a time until it is the one that operators ask
// for, so that any two majorities of neighbouring lists have a VM in common.
type ActiveVoters struct {
	VMs []string `json:"vms"`
}

// Ref names the only list of electors.
func (ActiveVoters) Ref() Ref { return Ref{KindActiveVoters, VotersName} }

// Encode returns the canonical form of an object.
func Encode(o Object) ([]byte, error) { return json.Marshal(o) }

// Decode reads the canonical form of an object of the given kind.
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
	default:
		return nil, errors.Wrap(ErrUnknownKind, string(kind))
	}
}

func decode[T Object](data []byte) (Object, error) {
	var o T
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, fmt.Errorf("%T: %w", o, err)
	}
	return o, nil
}
