package quorum

import "math/rand/v2"

const (
	defaultElectionTicks = 10
	defaultBatchBytes    = 1 << 20
	// firstTicks is the least number of ticks to an election while no leader is known
	// since the start.
	firstTicks         = 2
	maxInFlight        = 64
	keepBehindSnapshot = 512
)

// Options holds the settings of a core.
type Options struct {
	// ElectionTicks is the least number of ticks without a leader before an election.
	ElectionTicks int
	// BatchBytes bounds the records of one message; there is always at least one.
	BatchBytes int
	// MinSyncedVoters is the least number of synced disks that commit a record, as far as
	// there are voters. 0 leaves it to the majority.
	MinSyncedVoters int
	// Random spreads the election timeouts.
	Random *rand.Rand
}

// Option changes one setting.
type Option func(*Options)

// ElectionTicks sets the least election timeout.
func ElectionTicks(n int) Option { return func(o *Options) { o.ElectionTicks = n } }

// BatchBytes bounds the records of one message.
func BatchBytes(n int) Option { return func(o *Options) { o.BatchBytes = n } }

// MinSyncedVoters sets the least number of synced disks that commit a record.
func MinSyncedVoters(n int) Option { return func(o *Options) { o.MinSyncedVoters = n } }

// Random sets the source of randomness.
func Random(r *rand.Rand) Option { return func(o *Options) { o.Random = r } }

func newOptions(id ID, opts ...Option) Options {
	o := Options{
		ElectionTicks: defaultElectionTicks,
		BatchBytes:    defaultBatchBytes,
		Random:        rand.New(rand.NewPCG(uint64(id), 0)),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
