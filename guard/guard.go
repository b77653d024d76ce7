// Package guard finds requests that crash the backend servers that run them, and keeps further
// copies of them from other servers.
//
// A request whose connection breaks while its server runs it is a suspect, because it may have
// crashed the server; so are all others that ran there. What clears a suspect: a complete
// answer to any copy of it, or an answer of the same server to a request that was sent
// afterwards. Copies of a suspect run one at a time. One that is suspected twice in a row is
// put in quarantine: its copies are refused without being sent anywhere. A quarantine ends by
// itself; a request that crashes a server again afterwards is put back, for twice as long.
//
// Each holder of a cell has the evidence of its cell and publishes it. All others import it, so
// that a request is known in all cells and by the next holder. The package does no I/O, and
// its methods are given the time.
//
// # Usage
//
//	table := guard.New()
//	table.Torn("loan-desk", suspect, "b3", boot, sent, now)
//	if left, held := table.Quarantined(print, now); held {
//		// refuse the request
//	}
package guard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// crashesBeforeQuarantine is the number of crashes in a row after which a request is put in
	// quarantine. A request that runs beside the one at fault is suspected once, and twice in a
	// row only by accident.
	crashesBeforeQuarantine = 2
	// firstQuarantine is the length of the first quarantine of a request. Each further one is
	// twice as long, up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
	// suspectTTL is how long a suspect is remembered after its last crash, or after the end of
	// its quarantine.
	suspectTTL = 2 * time.Minute
	// clearedTTL is how long a cleared request is published as such.
	clearedTTL = 5 * time.Second
	// maxSuspects bounds the suspects, maxOfWorkspace those of one workspace, so that no
	// workspace displaces those of others.
	maxSuspects    = 1024
	maxOfWorkspace = 32
	// maxServers bounds the servers that are listed for a suspect.
	maxServers = 8
	// MaxPublished bounds the suspects that a cell publishes.
	MaxPublished = 64
	// maxLabelBytes bounds the label of a suspect.
	maxLabelBytes = 120
)

// Suspect is what is known in one cell of a request that may crash servers.
type Suspect struct {
	Print Print
	// Workspace and Label, such as "GET /status/7", tell operators which request it is.
	Workspace, Label string
	// Servers are the servers that crashed while it ran there.
	Servers []string
	// Crashes is the number of crashes in a row, where those of copies that ran at the same
	// time count as one.
	Crashes int
	// Quarantines is the number of times that it was put in quarantine, Until the end of the
	// last one.
	Quarantines int
	Until       time.Time
	// LastCrash is the time of the last crash.
	LastCrash time.Time
}

// InQuarantine reports whether copies of the request are refused.
func (s Suspect) InQuarantine(now time.Time) bool { return now.Before(s.Until) }

// WithLabel returns the suspect with a label of limited length.
func (s Suspect) WithLabel(label string) Suspect {
	s.Label = label[:min(len(label), maxLabelBytes)]
	return s
}

// record is the evidence of one cell against a request.
type record struct {
	Suspect
	// crashes are those that the server's next answer can still disprove.
	crashes []crash
}

// crash is a server that may have crashed.
type crash struct {
	server string
	boot   uint64
	at     time.Time
}

// key identifies the evidence of one cell against a request.
type key struct {
	print Print
	cell  string
}

// Table holds the evidence of all cells that this VM knows of.
type Table struct {
	records map[key]*record
	cells   map[Print][]string
	// byServer holds the evidence that an answer of a server disproves.
	byServer map[string][]key
	// perWorkspace counts the records of each workspace.
	perWorkspace map[string]int
	// cleared holds, by cell, the requests that were answered there and are suspects elsewhere.
	cleared map[key]time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		records: make(map[key]*record), cells: make(map[Print][]string), byServer: make(map[string][]key),
		perWorkspace: make(map[string]int), cleared: make(map[key]time.Time),
	}
}

// SuspectedAlike reports whether a request with the same workspace and label is a suspect. The one
// in question may be another copy of it.
func (t *Table) SuspectedAlike(workspace, label string) bool {
	wanted := Suspect{Workspace: workspace}.WithLabel(label)
	for _, r := range t.records {
		if r.Workspace == wanted.Workspace && r.Label == wanted.Label {
			return true
		}
	}
	return false
}

// Torn records that the connection of a request, sent at a time, broke before its server had
// answered. It reports whether the request has been put in quarantine by that.
func (t *Table) Torn(cell string, s Suspect, server string, boot uint64, sent, now time.Time) bool {
	if s.Print == (Print{}) {
		return false
	}
	k := key{s.Print, cell}
	r, known := t.records[k]
	if !known {
		if !t.makeRoom(s.Workspace, now) {
			return false
		}
		r = &record{Suspect: Suspect{Print: s.Print, Workspace: s.Workspace}}
		t.add(k, r)
	}
	if s.Label != "" {
		r.Suspect = r.WithLabel(s.Label)
	}
	if len(r.Servers) < maxServers && !slices.Contains(r.Servers, server) {
		r.Servers = append(slices.Clip(r.Servers), server)
	}
	last, total := t.total(s.Print)
	concurrent := total > 0 && sent.Before(last)
	r.LastCrash = now
	r.crashes = append(r.crashes, crash{server, boot, now})
	t.byServer[server] = append(t.byServer[server], k)
	if concurrent {
		return false
	}
	r.Crashes++
	if total+1 < crashesBeforeQuarantine || r.InQuarantine(now) {
		return false
	}
	r.Until = now.Add(min(firstQuarantine<<min(r.Quarantines, 10), maxQuarantine))
	r.Quarantines++
	return true
}

// total returns the time of the last crash of a request and the number of crashes, in all
// cells. After a quarantine one more crash is enough for the next.
func (t *Table) total(p Print) (last time.Time, crashes int) {
	for _, cell := range t.cells[p] {
		r := t.records[key{p, cell}]
		crashes += r.Crashes
		if r.LastCrash.After(last) {
			last = r.LastCrash
		}
	}
	return last, crashes
}

// Answered clears a request to which a complete answer has arrived. It reports whether the
// request was a suspect.
func (t *Table) Answered(cell string, p Print, now time.Time) bool {
	cells := t.drop(p)
	for _, other := range cells {
		if other != cell {
			t.cleared[key{p, cell}] = now
		}
	}
	return len(cells) > 0
}

// Alive notes that a server has answered a request sent at a time. Crashes of the same server
// that were assumed before that did not happen.
func (t *Table) Alive(server string, boot uint64, sent time.Time) {
	keys, known := t.byServer[server]
	if !known {
		return
	}
	var kept []key
	for _, k := range keys {
		r := t.records[k]
		if r == nil {
			continue
		}
		disproved := func(c crash) bool { return c.server == server && c.boot == boot && c.at.Before(sent) }
		before := len(r.crashes)
		r.crashes = slices.DeleteFunc(r.crashes, disproved)
		if len(r.crashes) < before {
			t.acquit(k, r, server)
		}
		if slices.ContainsFunc(r.crashes, func(c crash) bool { return c.server == server }) {
			kept = append(kept, k)
		}
	}
	t.setByServer(server, kept)
}

// acquit takes a crash that did not happen off a suspect.
func (t *Table) acquit(k key, r *record, server string) {
	r.Servers = slices.DeleteFunc(slices.Clone(r.Servers), func(name string) bool { return name == server })
	r.Crashes = min(r.Crashes, len(r.Servers))
	if len(r.Servers) == 0 {
		t.remove(k)
		return
	}
	if r.Crashes < crashesBeforeQuarantine && r.Quarantines > 0 {
		r.Until = time.Time{}
		r.Quarantines--
	}
}

// Gone notes that a server has refused or not taken a connection, has restarted or was removed:
// a later answer from there does not disprove the crash.
func (t *Table) Gone(server string) {
	for _, k := range t.byServer[server] {
		if r := t.records[k]; r != nil {
			r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.server == server })
		}
	}
	delete(t.byServer, server)
}

func (t *Table) setByServer(server string, keys []key) {
	if len(keys) == 0 {
		delete(t.byServer, server)
		return
	}
	t.byServer[server] = keys
}

// Quarantined returns the rest of the quarantine of a request, and whether it is in one.
func (t *Table) Quarantined(p Print, now time.Time) (left time.Duration, held bool) {
	for _, cell := range t.cells[p] {
		left = max(left, t.records[key{p, cell}].Until.Sub(now))
	}
	return left, left > 0
}

// Suspected reports whether copies of a request must run one at a time.
func (t *Table) Suspected(p Print) bool { return len(t.cells[p]) > 0 }

// Expire forgets suspects whose last crash and quarantine are long past.
func (t *Table) Expire(now time.Time) {
	for k, r := range t.records {
		if now.Sub(r.LastCrash) > suspectTTL && now.Sub(r.Until) > suspectTTL {
			t.remove(k)
		}
	}
	maps.DeleteFunc(t.cleared, func(_ key, at time.Time) bool { return now.Sub(at) > clearedTTL })
	for server, keys := range t.byServer {
		t.setByServer(server, slices.DeleteFunc(keys, func(k key) bool { return t.records[k] == nil }))
	}
}

// List returns the evidence of a cell, those in quarantine first and then the latest ones, and
// the requests that were answered there and are suspects elsewhere.
func (t *Table) List(cell string, now time.Time) (suspects []Suspect, cleared []Print) {
	for k, r := range t.records {
		if k.cell == cell {
			suspects = append(suspects, r.Suspect)
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int {
		if a.InQuarantine(now) != b.InQuarantine(now) {
			if a.InQuarantine(now) {
				return -1
			}
			return 1
		}
		return cmp.Or(b.LastCrash.Compare(a.LastCrash), slices.Compare(a.Print[:], b.Print[:]))
	})
	for k := range t.cleared {
		if k.cell == cell {
			cleared = append(cleared, k.print)
		}
	}
	slices.SortFunc(cleared, func(a, b Print) int { return slices.Compare(a[:], b[:]) })
	return suspects[:min(len(suspects), MaxPublished)], cleared
}

// All returns the suspects of all cells, each once per cell.
func (t *Table) All() []Suspect {
	all := make([]Suspect, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r.Suspect)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return b.LastCrash.Compare(a.LastCrash) })
	return all
}

// Import replaces the evidence of a cell by what its holder has published. The evidence of all
// cells against requests that were cleared there is dropped.
func (t *Table) Import(cell string, suspects []Suspect, cleared []Print, now time.Time) {
	listed := make(map[Print]bool, len(suspects))
	for _, s := range suspects {
		k := key{s.Print, cell}
		listed[s.Print] = true
		if r, known := t.records[k]; known {
			r.Suspect = s
			continue
		}
		if t.makeRoom(s.Workspace, now) {
			t.add(k, &record{Suspect: s})
		}
	}
	for k := range t.records {
		if k.cell == cell && !listed[k.print] {
			t.remove(k)
		}
	}
	for _, p := range cleared {
		t.drop(p)
	}
}

// drop forgets the evidence of all cells against a request, and returns the cells that had some.
func (t *Table) drop(p Print) []string {
	cells := slices.Clone(t.cells[p])
	for _, cell := range cells {
		t.remove(key{p, cell})
	}
	return cells
}

func (t *Table) add(k key, r *record) {
	t.records[k] = r
	t.cells[k.print] = append(t.cells[k.print], k.cell)
	t.perWorkspace[r.Workspace]++
}

func (t *Table) remove(k key) {
	r, known := t.records[k]
	if !known {
		return
	}
	delete(t.records, k)
	t.cells[k.print] = slices.DeleteFunc(t.cells[k.print], func(cell string) bool { return cell == k.cell })
	if len(t.cells[k.print]) == 0 {
		delete(t.cells, k.print)
	}
	if t.perWorkspace[r.Workspace]--; t.perWorkspace[r.Workspace] == 0 {
		delete(t.perWorkspace, r.Workspace)
	}
}

// makeRoom forgets the oldest suspect that is not in quarantine, of the same workspace if that
// has too many, and reports whether there is room for one more.
func (t *Table) makeRoom(workspace string, now time.Time) bool {
	own := t.perWorkspace[workspace] >= maxOfWorkspace
	if !own && len(t.records) < maxSuspects {
		return true
	}
	var oldest key
	found := false
	for k, r := range t.records {
		if own && r.Workspace != workspace || r.InQuarantine(now) {
			continue
		}
		if !found || r.LastCrash.Before(t.records[oldest].LastCrash) {
			oldest, found = k, true
		}
	}
	t.remove(oldest)
	return found
}
