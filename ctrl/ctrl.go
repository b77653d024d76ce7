// Package ctrl is a control process: one replica of the log of accepted change
// tickets, the operators' interface to it, and the source from which entries
// learn the configuration.
//
// One goroutine owns the log core, the data folder and the watchers; everything
// else hands it functions to run. A write error ends the process, because what
// a failed sync left on the disk cannot be known.
//
// # Usage
//
//	control, err := ctrl.New(folder, linkListener, ctrl.VM("c1"), ctrl.Replicas(peers))
//	go control.Run(ctx)
//	handler options for the operators' interface: control.Admin()
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
	ErrStopped = errors.New("control is stopping")
	// ErrGroupTooSmall means that the new group is still too small to accept anything.
	ErrGroupTooSmall = errors.New("the new group is still too small to bear the loss of its disks")
	// ErrNotLeader means that another replica leads, or none does.
	ErrNotLeader = quorum.ErrNotLeader
	// ErrOutcomeUnknown means that the outcome could not be known in time.
	ErrOutcomeUnknown = errors.New("the outcome could not be known in time; sending the same ticket again is safe")
	// ErrWrongVM means that the data folder belongs to another VM.
	ErrWrongVM = errors.New("data folder belongs to another VM")
)

// Control is one control process.
type Control struct {
	options  Options
	folder   store.Folder
	disk     *store.Storage
	identity store.Identity
	link     link.Link
	core     *quorum.Node
	hard     quorum.HardState
	started  time.Time

	work  chan func()
	inbox chan quorum.Message
	done  chan struct{}

	// ledger is replaced by the loop and read by everyone.
	ledger atomic.Pointer[ledger.Ledger]
	// refusal says why the group does not know this replica.
	refusal atomic.Pointer[string]
	status  atomic.Pointer[quorum.Status]
	// others is the group as other control VMs told it, while this replica is
	// not a member.
	others atomic.Pointer[quorum.Group]
	asks   asks

	// The fields below belong to the loop.
	vms      map[quorum.ID]string
	pending  map[uint64]pendingTicket
	reads    map[uint64]chan quorum.ConfirmedRead
	token    uint64
	watchers map[string]*watcher
	founding map[string]*wire.Found
	beacon   *wire.Beacon
	// lastBeacon is when the last beacon was asked for, under beaconToken.
	lastBeacon  time.Time
	beaconToken uint64
	ledSince    time.Time
	feed        state.Feed
	// waiting holds replicas that are not members, by VM.
	waiting map[string]waitingReplica
	// heard is when a message of a replica came last.
	heard map[quorum.ID]time.Time
	// seeds are the addresses of control VMs in the newest settings.
	seeds []netip.AddrPort
	// lastLeader is when a leader was known last.
	lastLeader time.Time
	// lastRepair is when the group was looked at last.
	lastRepair time.Time
	// repairNote is the last reason that was logged for a delayed change of the group.
	repairNote string
	// grown says that the group has had as many voters as it wants.
	grown bool
	// firstIndex is the index of the first ticket ever, 0 before it.
	firstIndex uint64
	heldIndex  uint64
	heldSince  []heldMark
	// changedAt is when the last ticket was applied here.
	changedAt  time.Time
	lastVoters time.Time
	applied    uint64
	image      uint64
}

// pendingTicket waits for a log index to be applied.
type pendingTicket struct {
	term   uint64
	answer chan ledger.Outcome
}

// New opens the folder and joins the links. Run does the rest.
func New(folder store.Folder, listener net.Listener, opts ...Option) (*Control, error) {
	c := &Control{
		options:  newOptions(opts...),
		folder:   folder,
		work:     make(chan func(), workQueue),
		inbox:    make(chan quorum.Message, inboxQueue),
		done:     make(chan struct{}),
		vms:      make(map[quorum.ID]string),
		pending:  make(map[uint64]pendingTicket),
		reads:    make(map[uint64]chan quorum.ConfirmedRead),
		watchers: make(map[string]*watcher),
		founding: make(map[string]*wire.Found),
		waiting:  make(map[string]waitingReplica),
		heard:    make(map[quorum.ID]time.Time),
	}
	c.seeds = c.options.Seeds
	c.others.Store(&quorum.Group{})
	c.started = c.options.Clock.Now()
	if err := c.open(); err != nil {
		return nil, err
	}
	c.publishStatus()
	c.link = link.New(listener,
		link.VM(c.options.VM), link.Line(c.options.Line), link.Identity(c.options.Identity),
		link.Receive(c.receive), link.Drop(c.options.Drop),
	)
	for vm, addr := range c.options.Replicas {
		if vm != c.options.VM {
			c.link.SetPeer(vm, addr)
		}
	}
	c.setPeers(c.core.Status().Group)
	return c, nil
}

// open reads identity, snapshot and log.
func (c *Control) open() error {
	identity, known, err := store.LoadIdentity(c.folder)
	if err != nil {
		return err
	}
	if !known {
		identity = store.Identity{ID: newID(), VM: c.options.VM}
		if err := store.SaveIdentity(c.folder, identity); err != nil {
			return err
		}
	}
	if identity.VM != c.options.VM {
		return errors.Wrapf(ErrWrongVM, "%q, not %q", identity.VM, c.options.VM)
	}
	c.identity = identity
	disk, restored, err := store.Open(c.folder)
	if err != nil {
		return err
	}
	c.disk = disk
	return c.restore(restored)
}

// restore builds the core and the state machine from what was on the disk.
func (c *Control) restore(restored quorum.PersistedState) error {
	if restored.Snapshot.Index == 0 {
		restored.Snapshot.Group = c.identity.Founders
	}
	book, err := ledger.FromImage(restored.Snapshot.Data, ledger.DefaultWindow)
	if err != nil {
		return err
	}
	c.ledger.Store(&book)
	c.noteFirst(book)
	c.applied, c.image = restored.Snapshot.Index, restored.Snapshot.Index
	c.hard = restored.HardState
	c.core, err = c.newCore(restored)
	return err
}

// newCore returns a log core with what is on the disk.
func (c *Control) newCore(restored quorum.PersistedState) (*quorum.Node, error) {
	return quorum.New(c.identity.ID, restored,
		quorum.Random(newRandom(c.identity.ID)), quorum.MinSyncedVoters(c.options.MaxFailures+1))
}

// newID returns a fresh identity.
func newID() quorum.ID {
	var raw [8]byte
	rand.Read(raw[:])
	return quorum.ID(binary.LittleEndian.Uint64(raw[:]) | 1)
}

func newRandom(id quorum.ID) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(uint64(id), mathrand.Uint64()))
}

// Run does the work of the replica until the context ends or a write fails.
func (c *Control) Run(ctx context.Context) error {
	defer close(c.done)
	defer c.disk.Close()
	defer c.link.Stop()
	c.options.Line.Record(event.Started, "control", "")
	defer c.options.Line.Record(event.Stopped, "control", "")
	ticks := make(chan time.Time, 1)
	stop := c.options.Clock.Subscribe(tickPeriod, func(now time.Time) {
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
			c.handOver()
			return nil
		case now := <-ticks:
			c.tick(now)
		case f := <-c.work:
			f()
		case m := <-c.inbox:
			c.heard[m.From] = c.options.Clock.Now()
			c.core.Step(m)
		}
		if err := c.carryOut(); err != nil && !c.reopen(ctx, err) {
			return nil
		}
	}
}

// handOver passes leadership on before a planned stop.
func (c *Control) handOver() {
	if !c.core.TransferLeadership() {
		return
	}
	if err := c.carryOut(); err != nil {
		return
	}
	time.Sleep(handOverPause)
}

// do runs f in the loop.
func (c *Control) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case c.work <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-c.done:
		return ErrStopped
	}
}

// tick advances the core and does the periodic work.
func (c *Control) tick(now time.Time) {
	c.core.Tick()
	c.found(now)
	c.tickRepair(now)
	c.tickWatchers(now)
	c.tickForce(now)
	c.tickVoters(now)
}

// Ledger returns the newest applied state of this replica.
func (c *Control) Ledger() ledger.Ledger { return *c.ledger.Load() }

// Links returns the links of the process.
func (c *Control) Links() link.Link { return c.link }

// Ready returns why the replica is of no use at present, or nil.
func (c *Control) Ready() error {
	s := c.status.Load()
	refusal := c.refusal.Load()
	_, member := s.Group.Get(s.ID)
	switch {
	case !member && refusal != nil:
		return errors.New(*refusal)
	case !member:
		return errors.New("not a member of a group: waiting for all replicas of a first start")
	case s.Leader == 0:
		return errors.New("no leader")
	default:
		return nil
	}
}
