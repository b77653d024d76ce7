package pool

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/state"
)

// A cell is a part of the servers of a pool that has a holder of its own. A pool that is not
// divided is a single cell of the same name. The cells of a divided pool are named
// POOL@DATA-CENTRE.NUMBER; a server belongs to the same one as long as the division stays.
//
// One holder that places all requests of a pool becomes its bottleneck from some hundred
// servers on. Cells lie within data centres, so that most requests are placed and served
// without leaving theirs.

// cellOf returns the cell of a server.
func cellOf(t fleet.Target, d state.Division) string {
	if d.CellsPerDataCentre == 0 {
		return t.Pool
	}
	number := xxhash.Sum64String(t.Name) % uint64(d.CellsPerDataCentre)
	return t.Pool + state.CellSeparator + t.DataCentre + "." + strconv.FormatUint(number, 10)
}

// cellNames holds the names of the cells of a pool, so that they are not built for each server.
type cellNames map[cellNumber]string

type cellNumber struct {
	dataCentre string
	number     uint64
}

// of returns the cell of a server.
func (c cellNames) of(t fleet.Target, d state.Division) string {
	if d.CellsPerDataCentre == 0 {
		return t.Pool
	}
	key := cellNumber{t.DataCentre, xxhash.Sum64String(t.Name) % uint64(d.CellsPerDataCentre)}
	name, known := c[key]
	if !known {
		name = cellOf(t, d)
		c[key] = name
	}
	return name
}

// LeaseName returns the name of the lease of a cell.
func LeaseName(cell string) string { return leasePrefix + cell }

const leasePrefix = "p/"

// LeaseDataCentre returns the data centre of the cell that a lease belongs to, or an empty
// string for other leases and for cells without a data centre.
func LeaseDataCentre(lease string) string {
	cell, isCell := strings.CutPrefix(lease, leasePrefix)
	at, dot := strings.LastIndex(cell, state.CellSeparator), strings.LastIndex(cell, ".")
	if !isCell || at < 0 || dot < at {
		return ""
	}
	return cell[at+1 : dot]
}

// serverLists holds the eligible servers of all pools and cells for one directory and state.
type serverLists struct {
	directory  *fleet.Directory
	stateIndex uint64
	leaving    *leavingServers
	pools      sync.Map // name of a pool to *poolServers
}

// next returns the lists for another directory and state. Those of pools that these do not differ in
// are kept: most changes concern a server of one pool.
func (l *serverLists) next(directory *fleet.Directory, current state.State, leaving *leavingServers) *serverLists {
	next := &serverLists{directory: directory, stateIndex: current.Index(), leaving: leaving}
	if l == nil || l.leaving != leaving || l.stateIndex > current.Index() {
		return next
	}
	changed, known := current.ChangedSince(l.stateIndex)
	onlyTargets := !slices.ContainsFunc(changed, func(r state.Ref) bool { return r.Kind != state.KindTarget })
	if !known || !onlyTargets {
		return next
	}
	l.pools.Range(func(pool, list any) bool {
		if fleet.SameList(l.directory.Pool(pool.(string)), directory.Pool(pool.(string))) {
			next.pools.Store(pool, list)
		}
		return true
	})
	return next
}

// poolServers holds the eligible servers of one pool. The slices must not be modified.
type poolServers struct {
	cells map[string][]fleet.Target
	// local are the servers, by cell, that entries choose from by themselves. They see their own
	// requests only, and cannot keep a version on trial to its share of all.
	local map[string][]fleet.Target
	// names are the sorted names of the cells with eligible servers, and near those of the
	// data centre of this VM.
	names, near []string
	// leaving holds, by cell, the servers that have said in answers that they leave.
	leaving map[string][]fleet.Target
	// retired are the versions that get no requests because of a roll-out.
	retired []string
}

// servers returns the eligible servers of a pool. The result stays the same until the
// directory, the state or the set of leaving servers changes.
func (b *Balancer) servers(pool string) *poolServers {
	directory, current, leaving := b.fleet.Directory(), b.options.State(), b.leaving.Load()
	lists := b.serverLists.Load()
	if lists == nil || lists.directory != directory || lists.stateIndex != current.Index() || lists.leaving != leaving {
		lists = lists.next(directory, current, leaving)
		b.serverLists.Store(lists)
	}
	if list, ok := lists.pools.Load(pool); ok {
		return list.(*poolServers)
	}
	division, _ := state.Get[state.Division](current, pool)
	eligible := pick.Eligible(directory.Pool(pool), current)
	staying := leaving.without(eligible)
	serving := pick.WithoutRetired(staying, pool, current)
	next := newPoolServers(serving, division, b.options.DataCentre).withLocal(pick.TrialOf(pool, current))
	next.retired = retiredVersions(staying, serving)
	next.leaving = make(map[string][]fleet.Target)
	for _, t := range eligible {
		if leaving.has(t) {
			cell := cellOf(t, division)
			next.leaving[cell] = append(next.leaving[cell], t)
		}
	}
	list, _ := lists.pools.LoadOrStore(pool, next)
	return list.(*poolServers)
}

func newPoolServers(eligible []fleet.Target, d state.Division, dataCentre string) *poolServers {
	p := &poolServers{cells: make(map[string][]fleet.Target)}
	names := make(cellNames)
	for _, t := range eligible {
		cell := names.of(t, d)
		if p.cells[cell] == nil {
			p.names = append(p.names, cell)
		}
		p.cells[cell] = append(p.cells[cell], t)
	}
	slices.Sort(p.names)
	for _, cell := range p.names {
		if d.CellsPerDataCentre > 0 && p.cells[cell][0].DataCentre == dataCentre {
			p.near = append(p.near, cell)
		}
	}
	return p
}

// withLocal sets the servers that entries choose from by themselves during a trial.
func (p *poolServers) withLocal(trial pick.Trial) *poolServers {
	p.local = p.cells
	if trial.Active() {
		p.local = make(map[string][]fleet.Target)
		for cell, targets := range p.cells {
			p.local[cell] = trial.Proven(targets)
		}
	}
	return p
}

// homeCells returns the cells of a pool in the order in which this VM asks them: first those
// of its data centre, each time in an order of its own, so that entries spread over them.
func (p *poolServers) homeCells(vm string) []string {
	if len(p.names) < 2 {
		return p.names
	}
	first := p.near
	if len(first) == 0 {
		first = p.names
	}
	home := fleet.Rendezvous(vm, first)
	order := []string{home}
	for _, cell := range slices.Concat(p.near, p.names) {
		if !slices.Contains(order, cell) {
			order = append(order, cell)
		}
	}
	return order
}

// cellServers returns the eligible servers of a cell.
func (b *Balancer) cellServers(cell string) []fleet.Target {
	return b.servers(b.options.State().PoolOfCell(cell)).cells[cell]
}

// localServers returns the servers of a cell that this VM chooses from by itself.
func (b *Balancer) localServers(cell string) []fleet.Target {
	return b.servers(b.options.State().PoolOfCell(cell)).local[cell]
}

// target returns a backend server of the pool of a cell by name.
func (b *Balancer) target(cell, name string) (fleet.Target, bool) {
	return b.fleet.Directory().Target(b.options.State().PoolOfCell(cell), name)
}

// settings returns the settings of the pool of a cell.
func (b *Balancer) settings(cell string) state.Pool {
	current := b.options.State()
	settings, _ := state.Get[state.Pool](current, current.PoolOfCell(cell))
	return settings
}

// cells returns the names of all cells of a pool. An undivided pool has one even without
// servers.
func (b *Balancer) cells(pool string) []string {
	names := b.servers(pool).names
	if len(names) > 0 {
		return names
	}
	if d, _ := state.Get[state.Division](b.options.State(), pool); d.CellsPerDataCentre > 0 {
		return nil
	}
	return []string{pool}
}

// LeaseNames returns the names of the leases of all cells of all pools.
func (b *Balancer) LeaseNames() []string {
	var names []string
	for _, settings := range b.options.Settings() {
		for _, cell := range b.cells(settings.Name) {
			names = append(names, LeaseName(cell))
		}
	}
	return names
}
