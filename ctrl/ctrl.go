// Package ctrl implements a control process: a replica of the replicated log of
// change tickets, the operators' HTTP interface to it, and the server from which
// entries receive their configuration.
//
// A single goroutine owns the quorum node, the data folder and the watchers;
// other goroutines submit functions to it. After a write error the replica stops
// participating and reloads its state from the data folder, because the
// contents of the disk after a failed sync are unknown.
//
// # Usage
//
//	control, err := ctrl.New(folder, linkListener, ctrl.VM("c1"), ctrl.Replicas(peers))
//	go control.Run(ctx)
//	server := admin.New(control.Admin()...)
package ctrl

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/ledger"
	"github.com/dottereldeal/dottereldeal/link"
	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/state"
	"github.com/dottereldeal/dottereldeal/store"
	"github.com/dottereldeal/dottereldeal/wire"
)

// Errors of a control process.
var (
	// ErrStopped means that the process is stopping.
	ErrStopped = errors.New("control process is stopping")
	// ErrGroupTooSmall means that a newly bootstrapped group has too few voters
	// to accept tickets.
	ErrGroupTooSmall = errors.New("control group is still forming: too few voters to tolerate the configured number of failures")
	// ErrNotLeader means that this replica is not the leader, or that no leader
	// is known.
	ErrNotLeader = quorum.ErrNotLeader
	// ErrOutcomeUnknown means that the outcome of a request was not known before
	// its deadline.
	ErrOutcomeUnknown = errors.New("timed out before the outcome was known; resending the same ticket is safe")
	// ErrOvertaken means that a proposal was dropped because an object that it changes has
	// been changed since it was read.
	ErrOvertaken = errors.New("overtaken by another change of the same object")
	// ErrCallerLeft means that an order was dropped because its caller no longer waits.
	ErrCallerLeft = errors.New("the caller of the order has left")
	// ErrWrongVM means that the data folder belongs to another VM.
	ErrWrongVM = errors.New("data folder belongs to another VM")
)

// Control is a control process.
type Control struct {
	options   Options
	folder    store.Folder
	storage   *store.Storage
	identity  store.Identity
	transport link.Transport
	node      *quorum.Node
	hardState quorum.HardState
	started   time.Time

	work  chan func()
	inbox chan quorum.Message
	done  chan struct{}

	// ledger is written by the event loop and read by any goroutine.
	ledger atomic.Pointer[ledger.Ledger]
	// joinError is the reason why the group does not accept this replica.
	joinError atomic.Pointer[string]
	status    atomic.Pointer[quorum.Status]
	// remoteGroup is the group that other control VMs reported while this replica
	// was not a member of it.
	remoteGroup atomic.Pointer[quorum.Group]
	requests    requestTable
	reads       sharedReads
	held        heldTargets
	// foundersMissing is the number of founders that the first group waits for.
	foundersMissing atomic.Int64
	// deliveredIndex is the index up to which every entry that reports to this replica holds the state.
	deliveredIndex atomic.Uint64
	// runningCount is the number of roll-outs that are running.
	runningCount     atomic.Int64
	rolloutDecisions *prometheus.CounterVec

	// The fields below are used by the event loop only.
	vms          map[quorum.ID]string
	pending      map[uint64]pendingProposal
	pendingReads map[uint64]chan quorum.ConfirmedRead
	readToken    uint64
	watchers     map[string]*watcher
	// presentEntries is the number of entries that reported lately.
	presentEntries   int
	bootstrapReplies map[string]bootstrapReply
	// foundersSince is when all founders have reported, zero while one is missing.
	foundersSince time.Time
	// lastDivisionCheck is the time of the last check of the divisions, and dividedIndex the
	// index of the state that was checked.
	lastDivisionCheck time.Time
	dividedIndex      uint64
	// rollouts holds the roll-outs of the state at rolloutIndex, by pool, and lastRolloutCheck the
	// time of the last decisions on them.
	rollouts         map[string]*rollout
	rolloutIndex     uint64
	lastRolloutCheck time.Time
	// pushScheduled is set while committed changes wait for the next push. lastPush is the
	// time of the last one, and pushedIndex the index of the state that it contained.
	pushScheduled bool
	lastPush      time.Time
	// unpushedSince is when the first change was committed that was not pushed yet.
	unpushedSince time.Time
	pushDelay     prometheus.Histogram
	pushedIndex   uint64
	beacon        *wire.Beacon
	// lastBeacon is the time of the last read that was issued for a beacon, or of the commit
	// that brought one; beaconToken identifies the read.
	lastBeacon  time.Time
	beaconToken uint64
	// confirmedToken is the last read that a majority has confirmed, and lastStartRead the time of
	// the last one that was issued for entries that have started. startsUnconfirmed is set while
	// some of them wait for one.
	confirmedToken    uint64
	lastStartRead     time.Time
	startsUnconfirmed bool
	leaderSince       time.Time
	deltaCache        state.DeltaCache
	// joining holds the replicas that ask to join the group, by VM.
	joining map[string]joiningReplica
	// lastHeard is the time of the last message from each replica.
	lastHeard map[quorum.ID]time.Time
	contacts  contacts
	// seeds are the addresses of control VMs in the current settings.
	seeds []netip.AddrPort
	// lastLeader is the last time at which a leader was known.
	lastLeader time.Time
	// lastRepair is the time of the last membership check.
	lastRepair time.Time
	// lastMissing names the founders that were last logged as missing.
	lastMissing string
	// lastRepairError is the last logged reason for a delayed membership change.
	lastRepairError string
	// reachedFullSize is set once this process has seen the full number of voters in the group.
	reachedFullSize bool
	// groupSince is when this process first knew a leader of its group.
	groupSince time.Time
	// firstIndex is the state index of the first ticket applied here, or of the
	// first snapshot loaded with a ticket; 0 before either.
	firstIndex    uint64
	majorityIndex uint64
	majorityMarks []majorityMark
	// lastChange is the time at which this replica last applied a ticket.
	lastChange time.Time
	// firstChange is the time at which it first did.
	firstChange    time.Time
	lastVoterCheck time.Time
	appliedIndex   uint64
	snapshotIndex  uint64
}

// pendingProposal is a proposal whose log index has not been applied yet.
type pendingProposal struct {
	term   uint64
	answer chan ledger.Outcome
	// announced are the backend servers that the proposal registers.
	announced []state.Target
}

// New opens the data folder and starts the links. Run starts the replica.
func New(folder store.Folder, listener net.Listener, opts ...Option) (*Control, error) {
	c := &Control{
		options:          newOptions(opts...),
		folder:           folder,
		work:             make(chan func(), workQueueSize),
		inbox:            make(chan quorum.Message, inboxSize),
		done:             make(chan struct{}),
		vms:              make(map[quorum.ID]string),
		pending:          make(map[uint64]pendingProposal),
		pendingReads:     make(map[uint64]chan quorum.ConfirmedRead),
		watchers:         make(map[string]*watcher),
		bootstrapReplies: make(map[string]bootstrapReply),
		joining:          make(map[string]joiningReplica),
		lastHeard:        make(map[quorum.ID]time.Time),
		contacts:         make(contacts),
		rollouts:         make(map[string]*rollout),
	}
	c.seeds = c.options.Seeds
	c.remoteGroup.Store(&quorum.Group{})
	c.started = c.options.Clock.Now()
	c.options.Meter.GaugeFunc("founders_missing", "Control VMs that the first group waits for.", c.missingFounderCount)
	c.options.Meter.GaugeFunc("rollouts_running", "Roll-outs of a version that are running.", func() float64 { return float64(c.runningCount.Load()) })
	c.options.Meter.GaugeFunc("servers_held", "Backend servers whose announcement is held until their pool is configured.", func() float64 { return float64(c.held.len()) })
	c.rolloutDecisions = c.options.Meter.CounterVec("rollout_decisions_total", "Changes of roll-outs that this process decided on as the leader.", "action")
	c.pushDelay = c.options.Meter.Histogram("push_delay_seconds", "Time from the commit of a change until it was sent to the entries.", prometheus.ExponentialBuckets(0.005, 2, 10))
	if err := c.open(); err != nil {
		return nil, err
	}
	c.publishStatus()
	c.transport = link.New(listener,
		link.VM(c.options.VM), link.EventLog(c.options.EventLog), link.Identity(c.options.Identity),
		link.Receive(c.receive), link.Drop(c.options.Drop),
	)
	for vm, addr := range c.options.Replicas {
		if vm != c.options.VM {
			c.transport.SetPeer(vm, addr)
		}
	}
	c.setPeers(c.node.Status().Group)
	return c, nil
}

// open loads the replica's identity, snapshot and log.
func (c *Control) open() error {
	identity, known, err := store.LoadIdentity(c.folder)
	if err != nil {
		return err
	}
	if !known {
		identity = store.Identity{ID: newID(), VM: c.options.VM, MayFound: c.options.Bootstrap}
		if err := store.SaveIdentity(c.folder, identity); err != nil {
			return err
		}
	}
	if identity.VM != c.options.VM {
		return errors.Wrapf(ErrWrongVM, "folder of VM %q opened by VM %q", identity.VM, c.options.VM)
	}
	c.identity = identity
	storage, restored, err := store.Open(c.folder)
	if err != nil {
		return err
	}
	c.storage = storage
	return c.restore(restored)
}

// restore builds the state machine and the quorum node from the data on disk.
func (c *Control) restore(restored quorum.PersistedState) error {
	if restored.Snapshot.Index == 0 {
		restored.Snapshot.Group = c.identity.Founders
	}
	l, err := ledger.FromSnapshot(restored.Snapshot.Data, ledger.DefaultDedupWindow)
	if err != nil {
		return err
	}
	c.ledger.Store(&l)
	c.setFirstIndex(l)
	c.appliedIndex, c.snapshotIndex = restored.Snapshot.Index, restored.Snapshot.Index
	c.hardState = restored.HardState
	c.node, err = c.newNode(restored)
	return err
}

// newNode returns a quorum node with the restored data.
func (c *Control) newNode(restored quorum.PersistedState) (*quorum.Node, error) {
	return quorum.New(c.identity.ID, restored,
		quorum.Random(newRandom(c.identity.ID)), quorum.MinSyncedVoters(c.options.MaxFailures+1))
}

// newID returns a random non-zero identity.
func newID() quorum.ID {
	var raw [8]byte
	rand.Read(raw[:])
	return quorum.ID(binary.LittleEndian.Uint64(raw[:]) | 1)
}

func newRandom(id quorum.ID) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(uint64(id), mathrand.Uint64()))
}

// Run runs the replica until the context is cancelled. It does not return on a
// write error, but retries until the data folder is writable again.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.done)
	defer c.storage.Close()
	defer c.transport.Stop()
	c.options.EventLog.Record(event.Started, "control", "")
	defer c.options.EventLog.Record(event.Stopped, "control", "")
	ticks := make(chan time.Time, 1)
	stop := c.options.Clock.Every(tickPeriod, func(now time.Time) {
		select {
		case ticks <- now:
		default:
		}
	})
	defer stop()
	return c.loop(ctx, ticks)
}

func (c *Control) loop(ctx context.Context, ticks <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			c.transferLeadership()
			return nil
		case now := <-ticks:
			c.tick(now)
		case f := <-c.work:
			f()
		case m := <-c.inbox:
			c.step(m)
		}
		c.runQueued()
		if err := c.drainEffects(); err != nil && !c.reopen(ctx, err) {
			return nil
		}
	}
}

// transferLeadership hands leadership to another replica before a planned stop.
func (c *Control) transferLeadership() {
	if !c.node.TransferLeadership() {
		return
	}
	if err := c.drainEffects(); err != nil {
		return
	}
	time.Sleep(transferWait)
}

// do runs f in the event loop and waits for it to finish. If ctx ends before f begins, f does not
// run: the loop may stand still for as long as the data folder takes no writes.
func (c *Control) do(ctx context.Context, f func()) error {
	var claimed atomic.Bool
	finished := make(chan struct{})
	run := func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(finished)
		}
	}
	select {
	case c.work <- run:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrStopped
	}
	select {
	case <-finished:
		return nil
	case <-c.done:
		return ErrStopped
	case <-ctx.Done():
		if claimed.CompareAndSwap(false, true) {
			return ctx.Err()
		}
	}
	select {
	case <-finished:
		return nil
	case <-c.done:
		return ErrStopped
	}
}

// tick advances the quorum node and runs the periodic tasks.
func (c *Control) tick(now time.Time) {
	c.node.Tick()
	c.tickBootstrap(now)
	c.tickRepair(now)
	c.tickWatchers(now)
	c.tickInForce(now)
	c.tickVoters(now)
	c.tickDivisions(now)
	c.tickRollouts(now)
}

// Ledger returns the latest state that this replica has applied.
func (c *Control) Ledger() ledger.Ledger { return *c.ledger.Load() }

// Links returns the process's connections to other VMs.
func (c *Control) Links() link.Transport { return c.transport }

// Ready returns nil if the replica can serve requests, or else the reason why not.
func (c *Control) Ready() error {
	s := c.status.Load()
	joinError := c.joinError.Load()
	_, member := s.Group.Get(s.ID)
	switch {
	case !member && joinError != nil:
		return errors.New(*joinError)
	case !member:
		return errors.New("not a member of a control group: waiting for all replicas of the first start")
	case s.Leader == 0:
		return errors.New("control group has no known leader")
	default:
		return nil
	}
}
