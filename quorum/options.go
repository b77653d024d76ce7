package quorum

import "math/rand/v2"

const (
	defaultElectionTicks = 10
	defaultBatchBytes    = 1 << 20
	// initialElectionTicks is the minimum election timeout until a first leader is known.
	initialElectionTicks = 2
	// maxInFlightAppends limits the unanswered Append messages per replica.
	maxInFlightAppends = 64
	// maxInFlightBatches limits the data of the unanswered entries per replica, which are sent again
	// if a message is lost.
	maxInFlightBatches = 4
	// trailingEntries is the number of entries before a snapshot that stay in memory.
	trailingEntries = 512
)

// Options configures a Node.
type Options struct {
	// ElectionTicks is the minimum election timeout; the maximum is almost twice that.
	ElectionTicks int
	// BatchBytes limits the data of the entries in one message. A single larger entry
	// is sent nevertheless.
	BatchBytes int
	// MinSyncedVoters is the minimum number of voters that must have synced an entry of data
	// before it is committed, or all voters if there are fewer; then learners must have as well, up
	// to that number. A majority is required in any case.
	MinSyncedVoters int
	// Random is the source of the election timeouts.
	Random *rand.Rand
}

// Option sets one of the Options.
type Option func(*Options)

// ElectionTicks sets the minimum election timeout in ticks.
func ElectionTicks(n int) Option { return func(o *Options) { o.ElectionTicks = n } }

// BatchBytes limits the data of the entries in one message.
func BatchBytes(n int) Option { return func(o *Options) { o.BatchBytes = n } }

// MinSyncedVoters sets the minimum number of voters that must have synced an entry
// before it is committed.
func MinSyncedVoters(n int) Option { return func(o *Options) { o.MinSyncedVoters = n } }

// Random sets the source of the election timeouts.
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
