package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/platform/caller"
)

// stopGrace is the time between SIGTERM and SIGKILL at a planned stop.
const stopGrace = 6 * time.Second

// process is a control or entry process of the program under test.
type process struct {
	vm      string
	control bool
	index   int
	centre  string

	mu sync.Mutex
	// ip changes when a control VM is replaced.
	ip string
	// number counts the VMs that had this place.
	number int
	// old says whether the other program runs.
	old    bool
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet holds the processes of a run.
type fleet struct {
	dir      string
	base     string
	binary   string
	old      string
	ports    map[string]int
	controls []*process
	entries  []*process
	record   *recorder
	starts   chan startRequest
	// network forwards the links, or is nil if processes reach each other directly.
	network *network
}

type startRequest struct {
	cmd  *exec.Cmd
	done chan error
}

func newFleet(dir, binary, old string, shape Shape, proxied bool, r *recorder) (*fleet, error) {
	f := &fleet{
		dir: dir, binary: binary, old: old, record: r, base: fmt.Sprintf("127.%d", 64+os.Getpid()%128),
		ports: make(map[string]int), starts: make(chan startRequest),
	}
	for i := range shape.Controls {
		f.controls = append(f.controls, &process{vm: controlName(i), control: true, index: i, centre: centres[i%len(centres)], old: old != ""})
	}
	for i := range shape.Entries {
		f.entries = append(f.entries, &process{vm: entryName(i), index: i, centre: centres[i%len(centres)], old: old != ""})
	}
	for _, p := range f.all() {
		p.ip = f.newIP(p)
	}
	for _, use := range []string{"links", "admin", "callers", "ready", "platform"} {
		port, err := f.freePort()
		if err != nil {
			return nil, err
		}
		f.ports[use] = port
	}
	if proxied {
		var err error
		if f.network, err = newNetwork(f); err != nil {
			return nil, err
		}
	}
	go f.starter()
	return f, nil
}

// linkAddr returns the address of the proxy before the links of a process.
func (f *fleet) linkAddr(p *process) string {
	group := 101
	if p.control {
		group = 102
	}
	return fmt.Sprintf("%s.%d.%d:%d", f.base, group, p.index+1, f.ports["links"])
}

func (f *fleet) newIP(p *process) string {
	group := 1
	if p.control {
		group = 2 + p.number
	}
	return fmt.Sprintf("%s.%d.%d", f.base, group, p.index+1)
}

func (f *fleet) all() []*process {
	return append(append([]*process(nil), f.controls...), f.entries...)
}

// freePort returns a port that is free on the addresses of all processes.
func (f *fleet) freePort() (int, error) {
	const tries = 50
next:
	for range tries {
		l, err := net.Listen("tcp", f.controls[0].ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		for _, p := range f.all() {
			l, err := net.Listen("tcp", net.JoinHostPort(p.ip, strconv.Itoa(port)))
			if err != nil {
				continue next
			}
			l.Close()
		}
		return port, nil
	}
	return 0, errors.New("no port is free on all addresses")
}

// starter starts all processes from one thread, because the kernel kills them when the thread
// that started them ends.
func (f *fleet) starter() {
	runtime.LockOSThread()
	for r := range f.starts {
		r.done <- r.cmd.Start()
	}
}

func (f *fleet) addr(p *process, use string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return net.JoinHostPort(p.ip, strconv.Itoa(f.ports[use]))
}

// platformAddrs returns the addresses for the platform's calls.
func (f *fleet) platformAddrs() []string {
	var list []string
	for _, p := range f.controls {
		list = append(list, f.addr(p, "platform"))
	}
	return list
}

func (f *fleet) find(vm string) *process {
	for _, p := range f.all() {
		if p.vm == vm {
			return p
		}
	}
	panic("unknown VM " + vm)
}

const seedCount = 3

func (f *fleet) flags(p *process, bootstrap bool) []string {
	list := []string{
		"--vm", f.name(p), "--data-centre", p.centre, "--listen", f.addr(p, "links"), "--admin", f.addr(p, "admin"),
		"--memory-limit", "284", "--platform-bounds", caller.Bounds,
	}
	if p.control {
		list = append(append([]string{"control"}, list...), "--data-folder", filepath.Join(f.dir, f.name(p)+"-data"),
			"--platform-listen", f.addr(p, "platform"), "--losses", strconv.Itoa((len(f.controls)-1)/2))
	} else {
		list = append(append([]string{"entry"}, list...), "--callers", f.addr(p, "callers"), "--ready", f.addr(p, "ready"),
			"--when-cut-off", "serve", "--placement", "holder", "--keep-connections", "4s")
	}
	if f.network == nil {
		list = append(list, "--seeds", strings.Join(f.platformAddrs()[:min(seedCount, len(f.controls))], ","))
		if p.control {
			list = append(list, "--found="+strconv.FormatBool(bootstrap))
		}
		return list
	}
	var peers []string
	for _, c := range f.controls {
		peers = append(peers, c.vm+"="+f.linkAddr(c))
	}
	list = append(list, "--advertise", f.linkAddr(p))
	if p.control {
		return append(list, "--replicas", strings.Join(peers, ","))
	}
	return append(list, "--control", strings.Join(peers, ","))
}

// name returns the name that a process goes by; that of a replaced VM is new.
func (f *fleet) name(p *process) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.number == 0 {
		return p.vm
	}
	return fmt.Sprintf("%s-%d", p.vm, p.number+1)
}

func (f *fleet) start(p *process, bootstrap bool) error {
	log, err := os.OpenFile(filepath.Join(f.dir, f.name(p)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	binary := f.binary
	if p.old {
		binary = f.old
	}
	cmd := exec.Command(binary, f.flags(p, bootstrap)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan error)
	f.starts <- startRequest{cmd, done}
	if err := <-done; err != nil {
		return err
	}
	p.cmd, p.exited = cmd, exited
	f.record.fault(p, Start)
	go func() {
		cmd.Wait()
		f.record.exit(p.vm)
		close(exited)
	}()
	return nil
}

func (f *fleet) running(p *process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, and reports whether it runs.
func (f *fleet) signal(p *process, s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	return p.cmd.Process.Signal(s) == nil
}

// kill ends a process and waits until it is gone.
func (f *fleet) kill(p *process) {
	if f.signal(p, syscall.SIGKILL) {
		<-p.exited
	}
}

// strike carries out a fault of a plan.
func (f *fleet) strike(s Step) error {
	p := f.find(s.VM)
	switch s.Action {
	case Stop:
		f.record.fault(p, Stop)
		f.signal(p, syscall.SIGSTOP)
	case Continue:
		f.record.fault(p, Continue)
		f.signal(p, syscall.SIGCONT)
	case Kill:
		f.record.fault(p, Kill)
		f.kill(p)
	case Start:
		if f.running(p) {
			return nil
		}
		return f.start(p, false)
	case Silence, Refuse, Join:
		f.record.fault(p, s.Action)
		f.network.setLinks(p.vm, s.Action)
	case Replace:
		f.record.fault(p, Kill)
		f.kill(p)
		p.mu.Lock()
		p.number++
		p.ip = f.newIP(p)
		p.mu.Unlock()
		return f.start(p, false)
	case Upgrade:
		f.record.fault(p, Kill)
		f.stop(p)
		p.mu.Lock()
		p.old = !p.old
		p.mu.Unlock()
		return f.start(p, false)
	}
	return nil
}

// stop ends a process in order.
func (f *fleet) stop(p *process) {
	f.signal(p, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopGrace):
		f.kill(p)
	}
}

// end kills all processes.
func (f *fleet) end() {
	if f.network != nil {
		defer f.network.close()
	}
	for _, p := range f.all() {
		f.kill(p)
	}
}

// awaitReady waits until all entries serve.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, p := range f.entries {
		for {
			response, err := client.Get("http://" + f.addr(p, "ready") + "/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready within %s", p.vm, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
