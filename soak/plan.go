package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dottereldeal/dottereldeal/platform/caller"
)

// Action is a kind of step of a plan.
type Action string

// Actions of the operator and faults.
const (
	Configure Action = "configure"
	Evacuate  Action = "evacuate"
	TakeBack  Action = "take-back"
	Stop      Action = "stop"
	Continue  Action = "continue"
	Kill      Action = "kill"
	Start     Action = "start"
	// Replace ends a control VM for good and starts a blank one at another address.
	Replace Action = "replace"
	// Silence, Refuse and Join change the links between a process and all control VMs: they hold
	// what is sent, refuse connections, or work again.
	Silence Action = "silence"
	Refuse  Action = "refuse"
	Join    Action = "join"
	// Upgrade stops a process in order and starts it with the other program.
	Upgrade Action = "upgrade"
)

// Step is one action at a time since the start of the plan.
type Step struct {
	At     time.Duration `json:"at"`
	Action Action        `json:"action"`
	// VM is the process that a fault strikes.
	VM string `json:"vm,omitempty"`
	// Centre is the data centre that is evacuated or taken back.
	Centre string `json:"centre,omitempty"`
	// Version is the configuration that is sent.
	Version int `json:"version,omitempty"`
	// First is the number of the control VM that the operator calls first.
	First int `json:"first,omitempty"`
}

// Route is a route of a configuration.
type Route struct {
	Prefix     string `json:"prefix"`
	Pool       string `json:"pool"`
	Idempotent bool   `json:"idempotent"`
}

// Config is one version of the configuration.
type Config struct {
	Version int     `json:"version"`
	Routes  []Route `json:"routes"`
	Pools   []string
}

// encode returns the configuration as the operator sends it.
func (c Config) encode() ([]byte, error) {
	var routes []caller.Route
	for _, r := range c.Routes {
		routes = append(routes, caller.Route{Prefix: r.Prefix, Pool: r.Pool, Idempotent: r.Idempotent})
	}
	return caller.Config(c.Version, routes, c.Pools)
}

// find returns the pool of a route, or "" if there is no such route.
func (c Config) find(prefix string) string {
	for _, r := range c.Routes {
		if r.Prefix == prefix {
			return r.Pool
		}
	}
	return ""
}

// Plan is everything that a seed decides.
type Plan struct {
	Seed uint64        `json:"seed"`
	Span time.Duration `json:"span"`
	// Proxied says whether links go through proxies, so that they can be cut. Control VMs are
	// replaced only where they do not.
	Proxied bool     `json:"proxied"`
	Steps   []Step   `json:"steps"`
	Configs []Config `json:"configs"`
}

// Shape says what a fleet consists of.
type Shape struct {
	Controls int
	Entries  int
	// Mix says that two versions run side by side.
	Mix bool
	// Direct says that no links go through proxies: earlier versions of control cannot advertise
	// the address of one.
	Direct bool
}

var (
	centres = []string{"east", "west", "north"}
	pools   = []string{"loans", "papers"}
)

func controlName(i int) string { return fmt.Sprintf("c%d", i+1) }
func entryName(i int) string   { return fmt.Sprintf("e%d", i+1) }

const (
	// settleTime is the time before the first fault, and calmTime that after the last one, in
	// which what is still wrong shows.
	settleTime = 2 * time.Second
	calmTime   = 8 * time.Second
	// steadyRoutes are in all versions.
	steadyRoutes = 2
	maxRoutes    = 9
)

// planner builds a plan. end is the time of the last fault.
type planner struct {
	random *rand.Rand
	shape  Shape
	end    time.Duration
	plan   Plan
	// nextRoute numbers the routes: a dropped one does not come back.
	nextRoute int
}

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64, span time.Duration, shape Shape) Plan {
	p := &planner{random: rand.New(rand.NewPCG(seed, 14)), shape: shape, end: span - calmTime, plan: Plan{Seed: seed, Span: span}}
	p.plan.Proxied = p.random.IntN(3) > 0 && !shape.Direct
	p.firstConfig()
	if shape.Mix {
		p.upgrades()
	}
	for at := settleTime; at < p.end; {
		at += p.episode(at)
	}
	slices.SortStableFunc(p.plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p.plan
}

func (p *planner) add(s Step) { p.plan.Steps = append(p.plan.Steps, s) }

// between returns a random time of a range.
func (p *planner) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64(to-from)))
}

func (p *planner) firstConfig() {
	c := Config{Version: 1, Pools: pools}
	for range maxRoutes {
		c.Routes = append(c.Routes, p.newRoute())
	}
	p.plan.Configs = []Config{c}
}

func (p *planner) newRoute() Route {
	p.nextRoute++
	return Route{Prefix: fmt.Sprintf("/r%d/", p.nextRoute), Pool: pools[p.random.IntN(len(pools))], Idempotent: p.nextRoute%3 != 0}
}

// configure sends a version that drops, moves and adds routes.
func (p *planner) configure(at time.Duration) {
	last := p.plan.Configs[len(p.plan.Configs)-1]
	c := Config{Version: last.Version + 1 + p.random.IntN(3), Routes: slices.Clone(last.Routes), Pools: pools}
	if len(c.Routes) > maxRoutes-3 {
		i := steadyRoutes + p.random.IntN(len(c.Routes)-steadyRoutes)
		c.Routes = slices.Delete(c.Routes, i, i+1)
	}
	if p.random.IntN(2) == 0 {
		r := &c.Routes[p.random.IntN(len(c.Routes))]
		r.Pool = pools[(slices.Index(pools, r.Pool)+1)%len(pools)]
	}
	if len(c.Routes) < maxRoutes {
		c.Routes = append(c.Routes, p.newRoute())
	}
	p.plan.Configs = append(p.plan.Configs, c)
	p.add(Step{At: at, Action: Configure, Version: c.Version, First: p.random.IntN(p.shape.Controls)})
}

// storm sends versions in quick succession.
func (p *planner) storm(at, length time.Duration) {
	for end := at + length; at < end; at += p.between(200*time.Millisecond, 600*time.Millisecond) {
		p.configure(at)
	}
}

// pick returns n different numbers below limit.
func (p *planner) pick(n, limit int) []int { return p.random.Perm(limit)[:min(n, limit)] }

// pause stops a process for a time.
func (p *planner) pause(vm string, at, length time.Duration) {
	p.add(Step{At: at, Action: Stop, VM: vm})
	p.add(Step{At: at + length, Action: Continue, VM: vm})
}

// restart kills a process and starts it after a time.
func (p *planner) restart(vm string, at, length time.Duration) {
	p.add(Step{At: at, Action: Kill, VM: vm})
	p.add(Step{At: at + length, Action: Start, VM: vm})
}

// episode adds some faults beside changes, and returns how long they take.
func (p *planner) episode(at time.Duration) time.Duration {
	switch n := p.random.IntN(10); {
	case n < 4 && p.plan.Proxied:
		return p.cuts(at)
	case n < 2:
		return p.neighbours(at)
	case n < 4 && !p.shape.Mix && !p.plan.Proxied:
		return p.replace(at)
	case n < 6:
		return p.laggards(at)
	case n < 8:
		return p.lateOrder(at)
	default:
		return p.pauses(at)
	}
}

// replace replaces a control VM while versions come and entries restart.
func (p *planner) replace(at time.Duration) time.Duration {
	p.storm(at, 5*time.Second)
	p.add(Step{At: at + p.between(0, 2*time.Second), Action: Replace, VM: controlName(p.random.IntN(p.shape.Controls))})
	p.restartEntries(at+p.between(0, 4*time.Second), p.shape.Entries/2)
	return 9 * time.Second
}

// laggards lets control VMs miss changes, and entries start when these are back.
func (p *planner) laggards(at time.Duration) time.Duration {
	p.storm(at, 4*time.Second)
	back := at + p.between(3*time.Second, 4*time.Second)
	for _, i := range p.pick(1+p.random.IntN(2), p.shape.Controls) {
		vm, from := controlName(i), at+p.between(0, time.Second)
		if p.plan.Proxied {
			p.add(Step{At: from, Action: Silence, VM: vm})
			p.add(Step{At: back, Action: Join, VM: vm})
		} else {
			p.pause(vm, from, back-from)
		}
	}
	for _, i := range p.pick(p.shape.Entries/2, p.shape.Entries) {
		p.restart(entryName(i), back-p.between(300*time.Millisecond, 1500*time.Millisecond), p.between(300*time.Millisecond, 1500*time.Millisecond))
	}
	return 9 * time.Second
}

// pauses stops or restarts control VMs for short times while entries restart: some get changes
// from neighbours meanwhile.
func (p *planner) pauses(at time.Duration) time.Duration {
	p.storm(at, 4*time.Second)
	for range 2 {
		for _, i := range p.pick(1+p.random.IntN(p.shape.Controls), p.shape.Controls) {
			p.pause(controlName(i), at+p.between(0, 3*time.Second), p.between(200*time.Millisecond, 2*time.Second))
		}
		p.restartEntries(at+p.between(0, 3*time.Second), p.shape.Entries/3)
	}
	p.restart(controlName(p.random.IntN(p.shape.Controls)), at+p.between(0, 3*time.Second), p.between(300*time.Millisecond, 2*time.Second))
	return 9 * time.Second
}

func (p *planner) restartEntries(at time.Duration, n int) {
	for _, i := range p.pick(n, p.shape.Entries) {
		p.restart(entryName(i), at, p.between(300*time.Millisecond, 1500*time.Millisecond))
	}
}

// neighbours lets some entries miss changes, and then get them from entries that have restarted,
// because control stands still.
func (p *planner) neighbours(at time.Duration) time.Duration {
	order := p.random.Perm(p.shape.Entries)
	behind := order[:1+p.random.IntN(p.shape.Entries/3)]
	killed := order[len(behind):][:p.shape.Entries/2]
	missed := p.between(time.Second, 2*time.Second)
	p.storm(at, missed)
	for _, i := range behind {
		p.pause(entryName(i), at+p.between(0, missed/2), missed+p.between(700*time.Millisecond, 1200*time.Millisecond))
	}
	for _, i := range killed {
		p.restart(entryName(i), at+p.between(missed/2, missed), p.between(300*time.Millisecond, 500*time.Millisecond))
	}
	for i := range p.shape.Controls {
		p.pause(controlName(i), at+missed+p.between(400*time.Millisecond, 700*time.Millisecond), p.between(2*time.Second, 4*time.Second))
	}
	p.storm(at+missed+5*time.Second, time.Second)
	return missed + 9*time.Second
}

// cuts cuts some entries off control, one after the other, while others restart and versions come
// in quick succession: they get changes from neighbours.
func (p *planner) cuts(at time.Duration) time.Duration {
	order := p.random.Perm(p.shape.Entries)
	cut := order[:2+p.random.IntN(2)]
	killed := order[len(cut):][:p.shape.Entries/2]
	how := []Action{Silence, Refuse}[p.random.IntN(2)]
	p.storm(at, 7*time.Second)
	for _, i := range cut {
		from := at + p.between(0, 2*time.Second)
		p.add(Step{At: from, Action: how, VM: entryName(i)})
		p.add(Step{At: from + p.between(4*time.Second, 6*time.Second), Action: Join, VM: entryName(i)})
	}
	for range 2 {
		from := at + p.between(500*time.Millisecond, 4*time.Second)
		for _, i := range killed[:len(killed)/2+1] {
			p.restart(entryName(i), from, p.between(300*time.Millisecond, 1500*time.Millisecond))
		}
		killed = killed[len(killed)/2:]
	}
	if p.random.IntN(2) == 0 {
		vm, from := controlName(p.random.IntN(p.shape.Controls)), at+p.between(0, 3*time.Second)
		p.add(Step{At: from, Action: how, VM: vm})
		p.add(Step{At: from + p.between(time.Second, 3*time.Second), Action: Join, VM: vm})
	}
	return 13 * time.Second
}

// lateOrder evacuates a data centre, takes it back and evacuates it again, while control VMs
// stand still. It is taken back at last.
func (p *planner) lateOrder(at time.Duration) time.Duration {
	centre := centres[p.random.IntN(len(centres))]
	stopped := p.pick((p.shape.Controls-1)/2, p.shape.Controls)
	awake := (stopped[0] + 1) % p.shape.Controls
	for _, i := range stopped {
		p.pause(controlName(i), at+1500*time.Millisecond, p.between(4*time.Second, 6*time.Second))
	}
	p.add(Step{At: at, Action: Evacuate, Centre: centre, First: awake})
	p.add(Step{At: at + p.between(1600*time.Millisecond, 2*time.Second), Action: TakeBack, Centre: centre, First: stopped[0]})
	p.add(Step{At: at + p.between(4*time.Second, 5*time.Second), Action: Evacuate, Centre: centre, First: awake})
	p.storm(at+2*time.Second, 2*time.Second)
	p.add(Step{At: at + 15*time.Second, Action: TakeBack, Centre: centre, First: awake})
	return 15 * time.Second
}

// upgrades replaces all processes by the other program one after the other, and back again.
func (p *planner) upgrades() {
	all := make([]string, 0, p.shape.Controls+p.shape.Entries)
	for i := range p.shape.Controls {
		all = append(all, controlName(i))
	}
	for i := range p.shape.Entries {
		all = append(all, entryName(i))
	}
	p.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	interval := (p.end - settleTime) / time.Duration(2*len(all))
	for i, vm := range slices.Concat(all, all) {
		p.add(Step{At: settleTime + time.Duration(i)*interval, Action: Upgrade, VM: vm})
	}
}
