// Package local runs a fleet inside one process on loopback, with real sockets
// and files. The demo, the gauge program and the tests use it.
//
// # Usage
//
//	f, err := local.Start(local.Controls(3), local.Entries(4, "fukuoka", "kumamoto"), local.Folder(dir))
//	defer f.Stop()
//	answer, err := f.ApplyTicket(ctx, number, ticketText)
package local

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"sync"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/clock"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/ctrl"
	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/store"
)

// Control is a control process of the fleet.
type Control struct {
	*ctrl.Control
	VM       string
	Admin    string
	EventLog *event.Log

	links  netip.AddrPort
	cancel context.CancelFunc
	done   chan struct{}
	clock  clock.Clock
}

// Entry is an entry process of the fleet.
type Entry struct {
	*entry.Entry
	VM         string
	DataCentre string
	// Callers, Announce and Admin are base URLs.
	Callers  string
	Announce string
	Admin    string
	EventLog *event.Log

	links  netip.AddrPort
	cancel context.CancelFunc
	done   chan struct{}
	clock  clock.Clock
}

// Fleet is a running fleet.
type Fleet struct {
	options   Options
	partition *partition
	replicas  conf.Peers

	mu sync.Mutex
	// Only RestartControl and AddEntry modify Controls and Entries.
	Controls []*Control
	Entries  []*Entry
}

// Start starts the control processes and then the entries.
func Start(opts ...Option) (*Fleet, error) {
	f := &Fleet{options: newOptions(opts...), partition: newPartition(), replicas: conf.Peers{}}
	listeners := make([]net.Listener, f.options.Controls)
	for i := range listeners {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		listeners[i] = l
		f.replicas[controlName(i)] = listenAddr(l)
	}
	for i, l := range listeners {
		c, err := f.startControl(controlName(i), l)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.Controls = append(f.Controls, c)
	}
	for i := range f.options.Entries {
		if _, err := f.AddEntry(fmt.Sprintf("e%d", i+1), f.options.dataCentre(i)); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Configure changes the options of entries that are added from now on.
func (f *Fleet) Configure(opts ...entry.Option) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options.EntryOptions = append(f.options.EntryOptions, opts...)
}

func controlName(i int) string { return "c" + strconv.Itoa(i+1) }

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func listenAddr(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func (f *Fleet) startControl(vm string, links net.Listener) (*Control, error) {
	adminListener, err := listen()
	if err != nil {
		return nil, err
	}
	folder, err := store.OpenFolder(f.folder(vm))
	if err != nil {
		return nil, err
	}
	c := &Control{
		VM: vm, Admin: "http://" + adminListener.Addr().String(), EventLog: event.New(vm),
		links: listenAddr(links), clock: clock.New(), done: make(chan struct{}),
	}
	c.Control, err = ctrl.New(folder, links,
		ctrl.VM(vm), ctrl.DataCentre(f.options.dataCentre(0)), ctrl.Replicas(f.replicas),
		ctrl.Clock(c.clock), ctrl.EventLog(c.EventLog), ctrl.Drop(f.partition.dropFrom(vm)),
	)
	if err != nil {
		return nil, err
	}
	server := admin.New(c.Control.Admin()...)
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	go server.Serve(adminListener)
	go func() {
		defer close(c.done)
		c.Run(ctx)
		server.Stop()
		folder.Close()
		c.clock.Stop()
	}()
	return c, nil
}

func (f *Fleet) folder(vm string) string { return filepath.Join(f.options.Folder, vm) }

// Shutdown stops a control process gracefully and waits for its end.
func (c *Control) Shutdown() {
	c.cancel()
	<-c.done
}

// RestartControl starts a stopped control process again with the same address and
// data folder.
func (f *Fleet) RestartControl(i int) error {
	l, err := net.Listen("tcp", f.replicas[controlName(i)].String())
	if err != nil {
		return err
	}
	c, err := f.startControl(controlName(i), l)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Controls[i] = c
	return nil
}

// controls returns a copy of the list of control processes.
func (f *Fleet) controls() []*Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Controls)
}

// AddEntry starts an additional entry.
func (f *Fleet) AddEntry(vm, dataCentre string) (*Entry, error) {
	var sockets [4]net.Listener
	for i := range sockets {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		sockets[i] = l
	}
	l := entry.Listeners{Links: sockets[0], Callers: sockets[1], Announce: sockets[2], Admin: sockets[3]}
	e := &Entry{
		VM: vm, DataCentre: dataCentre, EventLog: event.New(vm), clock: clock.New(),
		Callers:  "http://" + l.Callers.Addr().String(),
		Announce: "http://" + l.Announce.Addr().String(),
		Admin:    "http://" + l.Admin.Addr().String(),
		links:    listenAddr(l.Links), done: make(chan struct{}),
	}
	opts := []entry.Option{
		entry.VM(vm), entry.DataCentre(dataCentre), entry.Control(f.replicas), entry.Peers(f.seedPeers()),
		entry.Clock(e.clock), entry.EventLog(e.EventLog), entry.Drop(f.partition.dropFrom(vm)),
		entry.Drain(f.options.DrainDelay, f.options.DrainLimit),
	}
	e.Entry = entry.New(l, append(opts, f.options.EntryOptions...)...)
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(e.done)
		e.Run(ctx)
		e.clock.Stop()
	}()
	f.Entries = append(f.Entries, e)
	return e, nil
}

// seedPeers returns up to maxSeeds entries through which a new entry joins.
func (f *Fleet) seedPeers() conf.Peers {
	peers := conf.Peers{}
	for _, e := range f.Entries {
		if len(peers) < maxSeeds {
			peers[e.VM] = e.links
		}
	}
	return peers
}

// Shutdown drains an entry, stops it and waits for its end.
func (e *Entry) Shutdown() {
	e.cancel()
	<-e.done
}

// AnnounceURLs returns the URLs at which backend servers announce themselves.
func (f *Fleet) AnnounceURLs() []string {
	urls := make([]string, len(f.Entries))
	for i, e := range f.Entries {
		urls[i] = e.Announce
	}
	return urls
}

// DropMessages drops all messages from one VM to another until restore is called.
func (f *Fleet) DropMessages(from, to string) (restore func()) { return f.partition.block(from, to) }

// Stop shuts down the entries and then the control processes.
func (f *Fleet) Stop() {
	var group sync.WaitGroup
	for _, e := range f.Entries {
		group.Go(e.Shutdown)
	}
	group.Wait()
	for _, c := range f.Controls {
		group.Go(c.Shutdown)
	}
	group.Wait()
}

// LeaseHolder returns the VM of the entry that considers itself the lease holder.
func (f *Fleet) LeaseHolder(name string) (string, bool) {
	for _, e := range f.Entries {
		if e.HoldsLease(name) {
			return e.VM, true
		}
	}
	return "", false
}

// Isolate drops all messages to and from a VM until restore is called.
func (f *Fleet) Isolate(vm string) (restore func()) {
	var restores []func()
	others := make([]string, 0, len(f.Entries)+len(f.Controls))
	for _, e := range f.Entries {
		others = append(others, e.VM)
	}
	for _, c := range f.Controls {
		others = append(others, c.VM)
	}
	for _, other := range others {
		restores = append(restores, f.DropMessages(vm, other), f.DropMessages(other, vm))
	}
	return func() {
		for _, restore := range restores {
			restore()
		}
	}
}
