package ticket

import (
	"fmt"
	"math"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/dottereldeal/dottereldeal/check"
	"github.com/dottereldeal/dottereldeal/conf"
	"github.com/dottereldeal/dottereldeal/state"
)

const (
	// MaxBytes is the maximum size of a ticket file.
	MaxBytes = 16 << 20
	// MaxFindings is the maximum number of findings that are reported for one file.
	MaxFindings = 100

	maxRate       = 1e6
	maxBurst      = 1e7
	maxKeyDigests = 64
	maxVoters     = 9
	maxSlots      = 10000
	maxDeadline   = time.Hour
	maxRamp       = time.Hour

	defaultFloor     = 0.5
	defaultColdSlots = 1
	defaultRamp      = 30 * time.Second
	defaultDeadline  = 10 * time.Second
)

// Parse parses and validates a ticket file. The error is of type check.Findings and lists
// all findings, up to MaxFindings.
func Parse(file string, data []byte) (Ticket, error) {
	p := &parser{file: file, positions: make(map[state.Ref]Position), owners: make(map[state.KeyDigest]string)}
	p.document(data)
	if len(p.findings) > MaxFindings {
		omitted := len(p.findings) - MaxFindings
		p.findings = p.findings[:MaxFindings]
		p.findings.Add(file, "%d more findings", omitted)
	}
	if err := p.findings.Err(); err != nil {
		return Ticket{}, err
	}
	p.ticket.positions = p.positions
	return p.ticket.sorted(), nil
}

// parser builds the ticket of one file and collects the findings.
type parser struct {
	file      string
	findings  check.Findings
	ticket    Ticket
	positions map[state.Ref]Position
	owners    map[state.KeyDigest]string
}

func (p *parser) add(n *yaml.Node, format string, args ...any) {
	p.findings.Add(fmt.Sprintf("%s:%d:%d", p.file, n.Line, n.Column), format, args...)
}

func (p *parser) document(data []byte) {
	if len(data) > MaxBytes {
		p.findings.Add(p.file, "file size of %d bytes exceeds the limit of %d bytes", len(data), MaxBytes)
		return
	}
	var doc yaml.Node
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	if err := decoder.Decode(&doc); err != nil {
		p.findings.Add(p.file, "%s", err)
		return
	}
	var second yaml.Node
	if decoder.Decode(&second) == nil {
		p.add(&second, "file contains several YAML documents; only one ticket per file is allowed")
		return
	}
	p.root(doc.Content[0])
}

func (p *parser) root(n *yaml.Node) {
	hasNumber := false
	p.fields(n, map[string]func(*yaml.Node){
		"number": func(v *yaml.Node) {
			hasNumber = true
			p.ticket.Number = p.integer(v, 1, math.MaxInt64)
		},
		"workspaces":   func(v *yaml.Node) { p.each(v, p.workspace) },
		"pools":        func(v *yaml.Node) { p.each(v, p.pool) },
		"routes":       func(v *yaml.Node) { p.each(v, p.route) },
		"data-centres": func(v *yaml.Node) { p.each(v, p.dataCentre) },
		"lease-voters": p.voters,
		"remove":       p.removals,
	})
	if !hasNumber {
		p.add(n, "number is missing")
	}
	if hasNumber && len(p.ticket.Set)+len(p.ticket.Remove) == 0 {
		p.add(n, "ticket contains no changes")
	}
}

func (p *parser) workspace(n *yaml.Node) {
	w := state.Workspace{Rate: -1, Burst: -1}
	p.fields(n, map[string]func(*yaml.Node){
		"name":        func(v *yaml.Node) { w.Name = p.name(v) },
		"rate":        func(v *yaml.Node) { w.Rate = p.decimal(v, 0, maxRate) },
		"burst":       func(v *yaml.Node) { w.Burst = p.decimal(v, 1, maxBurst) },
		"key-digests": func(v *yaml.Node) { w.KeyDigests = p.digests(v) },
	})
	if w.Rate < 0 {
		p.add(n, "rate is missing or invalid")
	}
	if w.Burst < 0 {
		p.add(n, "burst is missing or invalid")
	}
	for _, d := range w.KeyDigests {
		if owner, ok := p.owners[d]; ok && owner != w.Name {
			p.add(n, "key %s also belongs to workspace %q", d, owner)
		}
		p.owners[d] = w.Name
	}
	p.set(n, w)
}

func (p *parser) pool(n *yaml.Node) {
	pool := state.Pool{Floor: defaultFloor, ColdSlots: defaultColdSlots, Ramp: state.Duration(defaultRamp)}
	p.fields(n, map[string]func(*yaml.Node){
		"name":       func(v *yaml.Node) { pool.Name = p.name(v) },
		"floor":      func(v *yaml.Node) { pool.Floor = p.decimal(v, 0, 1) },
		"cold-slots": func(v *yaml.Node) { pool.ColdSlots = int(p.integer(v, 1, maxSlots)) },
		"ramp":       func(v *yaml.Node) { pool.Ramp = p.duration(v, maxRamp) },
	})
	p.set(n, pool)
}

func (p *parser) route(n *yaml.Node) {
	r := state.Route{PathPrefix: "/", Deadline: state.Duration(defaultDeadline)}
	p.fields(n, map[string]func(*yaml.Node){
		"name":        func(v *yaml.Node) { r.Name = p.name(v) },
		"host":        func(v *yaml.Node) { r.Host = p.host(v) },
		"path-prefix": func(v *yaml.Node) { r.PathPrefix = p.pathPrefix(v) },
		"methods":     func(v *yaml.Node) { r.Methods = p.methods(v) },
		"pool":        func(v *yaml.Node) { r.Pool = p.name(v) },
		"idempotent":  func(v *yaml.Node) { r.Idempotent = p.boolean(v) },
		"deadline":    func(v *yaml.Node) { r.Deadline = p.duration(v, maxDeadline) },
		"open":        func(v *yaml.Node) { r.Open = p.boolean(v) },
	})
	if r.Pool == "" {
		p.add(n, "pool is missing or invalid")
	}
	p.set(n, r)
}

func (p *parser) dataCentre(n *yaml.Node) {
	d := state.DataCentre{}
	p.fields(n, map[string]func(*yaml.Node){
		"name":   func(v *yaml.Node) { d.Name = p.name(v) },
		"state":  func(v *yaml.Node) { d.State = p.dataCentreState(v) },
		"region": func(v *yaml.Node) { d.Region = p.name(v) },
	})
	if d.State == "" {
		p.add(n, "state is missing or invalid")
	}
	p.set(n, d)
}

func (p *parser) voters(n *yaml.Node) {
	v := state.Voters{VMs: p.names(n)}
	slices.Sort(v.VMs)
	if len(v.VMs)%2 == 0 || len(v.VMs) > maxVoters {
		p.add(n, "number of lease voters must be odd and at most %d, found %d", maxVoters, len(v.VMs))
	}
	p.set(n, v)
}

func (p *parser) removals(n *yaml.Node) {
	remove := func(kind state.Kind) func(*yaml.Node) {
		return func(list *yaml.Node) {
			p.each(list, func(v *yaml.Node) {
				ref := state.Ref{Kind: kind, Name: p.name(v)}
				if p.register(v, ref) {
					p.ticket.Remove = append(p.ticket.Remove, ref)
				}
			})
		}
	}
	p.fields(n, map[string]func(*yaml.Node){
		"workspaces":   remove(state.KindWorkspace),
		"pools":        remove(state.KindPool),
		"routes":       remove(state.KindRoute),
		"data-centres": remove(state.KindDataCentre),
		"lease-voters": remove(state.KindVoters),
	})
}

// set adds an object to the ticket. An object without a valid name is a finding.
func (p *parser) set(n *yaml.Node, o state.Object) {
	if o.Ref().Name == "" {
		p.add(n, "name is missing or invalid")
		return
	}
	if p.register(n, o.Ref()) {
		p.ticket.Set = append(p.ticket.Set, o)
	}
}

// register records where an object occurs. It adds a finding and returns false if the
// object has occurred before.
func (p *parser) register(n *yaml.Node, ref state.Ref) bool {
	if first, duplicate := p.positions[ref]; duplicate {
		p.add(n, "%s occurs more than once, first in line %d", ref, first.Line)
		return false
	}
	p.positions[ref] = Position{Line: n.Line, Column: n.Column}
	return true
}

func (p *parser) host(n *yaml.Node) string {
	text := p.text(n)
	for label := range strings.SplitSeq(text, ".") {
		if _, err := conf.ParseName(label); err != nil {
			p.add(n, "host %q is not a valid lower-case host name", text)
			return ""
		}
	}
	return text
}

func (p *parser) pathPrefix(n *yaml.Node) string {
	text := p.text(n)
	if !strings.HasPrefix(text, "/") {
		p.add(n, "path prefix %q must start with /", text)
		return "/"
	}
	normalized := path.Clean(text)
	if strings.HasSuffix(text, "/") && normalized != "/" {
		normalized += "/"
	}
	if normalized != text {
		p.add(n, "path prefix %q is not in normal form; use %q", text, normalized)
	}
	return text
}

func (p *parser) methods(n *yaml.Node) []string {
	known := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	var methods []string
	p.each(n, func(v *yaml.Node) {
		m := p.text(v)
		if !slices.Contains(known, m) {
			p.add(v, "method %q is not one of %s", m, strings.Join(known, ", "))
			return
		}
		if slices.Contains(methods, m) {
			p.add(v, "method %s is listed twice", m)
			return
		}
		methods = append(methods, m)
	})
	slices.Sort(methods)
	return methods
}

func (p *parser) digests(n *yaml.Node) []state.KeyDigest {
	var digests []state.KeyDigest
	p.each(n, func(v *yaml.Node) {
		d, err := state.ParseKeyDigest(p.text(v))
		if err != nil {
			p.add(v, "%s", err)
			return
		}
		if slices.Contains(digests, d) {
			p.add(v, "key digest is listed twice")
			return
		}
		digests = append(digests, d)
	})
	if len(digests) > maxKeyDigests {
		p.add(n, "%d key digests exceed the limit of %d", len(digests), maxKeyDigests)
	}
	slices.SortFunc(digests, func(a, b state.KeyDigest) int { return slices.Compare(a[:], b[:]) })
	return digests
}

func (p *parser) dataCentreState(n *yaml.Node) state.DataCentreState {
	switch s := state.DataCentreState(p.text(n)); s {
	case state.DataCentreIn, state.DataCentreOut:
		return s
	default:
		p.add(n, "state %q must be in or out", s)
		return ""
	}
}
