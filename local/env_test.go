package local_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dottereldeal/dottereldeal/fake"
	"github.com/dottereldeal/dottereldeal/local"
)

const stageWait = 20 * time.Second

// stage is what a script works on: a fleet, backend servers and load.
type stage struct {
	fleet   *local.Fleet
	folder  string
	targets map[string]*fake.Server
	heals   []func()
	loads   map[string]*loadRun
	streams map[string]*streamRun
	client  *http.Client
	// marks are the runs of backend servers when a script marked them.
	marks map[string]uint64
}

type stageKey struct{}

func newStage() *stage {
	return &stage{
		targets: make(map[string]*fake.Server), loads: make(map[string]*loadRun),
		streams: make(map[string]*streamRun), client: &http.Client{},
		marks: make(map[string]uint64),
	}
}

func (s *stage) stop() {
	for _, l := range s.loads {
		l.cancel()
	}
	for _, t := range s.targets {
		t.Stop()
	}
	if s.fleet != nil {
		s.fleet.Stop()
	}
	s.client.CloseIdleConnections()
}

// withStage makes a script command from a function that returns an error.
func withStage(run func(*stage, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(stageKey{}).(*stage)
		err := run(s, ts, args)
		if neg && err == nil {
			ts.Fatalf("expected a failure")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

func withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), stageWait)
}

// startFleet: fleet CONTROLS ENTRIES CENTRE...
func startFleet(s *stage, ts *testscript.TestScript, args []string) error {
	controls, err := strconv.Atoi(args[0])
	ts.Check(err)
	entries, err := strconv.Atoi(args[1])
	ts.Check(err)
	s.folder = ts.MkAbs("control")
	s.fleet, err = local.Start(local.Controls(controls), local.Entries(entries, args[2:]...), local.Folder(s.folder))
	return err
}

// startTarget: target NAME POOL CENTRE
func startTarget(s *stage, _ *testscript.TestScript, args []string) error {
	t, err := fake.New(
		fake.Name(args[0]), fake.Pool(args[1]), fake.DataCentre(args[2]),
		fake.AnnounceURLs(s.fleet.AnnounceURLs()...), fake.CallerKeys("key-east", "key-west"),
	)
	if err == nil {
		s.targets[args[0]] = t
	}
	return err
}

// setFault: fault NAME healthy|hang|refuse|errors=SHARE|torn=SHARE|slow=FACTOR
func setFault(s *stage, ts *testscript.TestScript, args []string) error {
	kind, value, _ := strings.Cut(args[1], "=")
	number, _ := strconv.ParseFloat(value, 64)
	faults := map[string]fake.Fault{
		"healthy": {}, "hang": {Hang: true}, "refuse": {Refuse: true},
		"errors": {ErrorRate: number}, "torn": {TruncateRate: number}, "slow": {SlowFactor: number},
	}
	f, ok := faults[kind]
	if !ok {
		ts.Fatalf("unknown fault %q", kind)
	}
	s.targets[args[0]].SetFault(f)
	return nil
}

// setPhase: phase NAME cold|warm|leaving
func setPhase(s *stage, _ *testscript.TestScript, args []string) error {
	s.targets[args[0]].SetPhase(args[1])
	return nil
}

func ticketNumber(text string) uint64 {
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, "number:"); ok {
			n, _ := strconv.ParseUint(strings.TrimSpace(rest), 10, 64)
			return n
		}
	}
	return 0
}

// sendTicket: ticket FILE VERDICT [STAGE]
func sendTicket(s *stage, ts *testscript.TestScript, args []string) error {
	text := ts.ReadFile(args[0])
	ctx, cancel := withTimeout()
	defer cancel()
	send := s.fleet.SubmitTicket
	if len(args) > 2 {
		send = s.fleet.ApplyTicket
	}
	answer, err := send(ctx, ticketNumber(text), text)
	if err != nil {
		return err
	}
	if string(answer.Verdict) != args[1] || len(args) > 2 && answer.Stage != args[2] {
		return fmt.Errorf("ticket %d: %s %s %v", answer.Number, answer.Verdict, answer.Stage, answer.Findings)
	}
	return nil
}

// raceTickets: race FILE FILE expects one accepted ticket and one conflict that
// names the digest of the accepted one.
func raceTickets(s *stage, ts *testscript.TestScript, args []string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	type result struct {
		answer local.TicketStatus
		err    error
	}
	results := make(chan result)
	for _, file := range args {
		text := ts.ReadFile(file)
		go func() {
			answer, err := s.fleet.SubmitTicket(ctx, ticketNumber(text), text)
			results <- result{answer, err}
		}()
	}
	verdicts := make(map[string]string)
	for range args {
		r := <-results
		if r.err != nil {
			return r.err
		}
		verdicts[string(r.answer.Verdict)] = r.answer.Digest
	}
	if verdicts["accepted"] == "" || verdicts["accepted"] != verdicts["conflict"] {
		return fmt.Errorf("race ended with %v", verdicts)
	}
	return nil
}

// showTicket: show NUMBER VERDICT
func showTicket(s *stage, ts *testscript.TestScript, args []string) error {
	number, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	ctx, cancel := withTimeout()
	defer cancel()
	answer, err := s.fleet.TicketStatus(ctx, number)
	if err != nil {
		return err
	}
	if string(answer.Verdict) != args[1] {
		return fmt.Errorf("ticket %d: %s", number, answer.Verdict)
	}
	return nil
}

// control returns the index of a control VM, and whether the name is one.
func (s *stage) control(vm string) (int, bool) {
	for i, c := range s.fleet.Controls {
		if c.VM == vm {
			return i, true
		}
	}
	return 0, false
}

func (s *stage) entry(vm string) *local.Entry {
	for _, e := range s.fleet.Entries {
		if e.VM == vm {
			return e
		}
	}
	return nil
}

// stopVM: down VM...
func stopVM(s *stage, _ *testscript.TestScript, args []string) error {
	for _, vm := range args {
		if i, ok := s.control(vm); ok {
			s.fleet.Controls[i].Shutdown()
			continue
		}
		if t, ok := s.targets[vm]; ok {
			t.Stop()
			continue
		}
		s.entry(vm).Shutdown()
	}
	return nil
}

// restartVM: up CONTROL-VM...
func restartVM(s *stage, _ *testscript.TestScript, args []string) error {
	for _, vm := range args {
		i, _ := s.control(vm)
		if err := s.fleet.RestartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// wipeVM: wipe CONTROL-VM loses the disk of a stopped control VM.
func wipeVM(s *stage, _ *testscript.TestScript, args []string) error {
	return os.RemoveAll(filepath.Join(s.folder, args[0]))
}

// repairVM: repair CONTROL-VM asks the leader to replace the replica there.
func repairVM(s *stage, _ *testscript.TestScript, args []string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	return s.fleet.RepairReplica(ctx, args[0])
}

// addEntry: add VM CENTRE
func addEntry(s *stage, _ *testscript.TestScript, args []string) error {
	_, err := s.fleet.AddEntry(args[0], args[1])
	return err
}

// cutLinks: cut FROM TO loses messages in one direction; "*" is every other VM.
func cutLinks(s *stage, _ *testscript.TestScript, args []string) error {
	for _, from := range s.vms(args[0]) {
		for _, to := range s.vms(args[1]) {
			if from != to {
				s.heals = append(s.heals, s.fleet.DropMessages(from, to))
			}
		}
	}
	return nil
}

// vms returns the VMs that a pattern names: a list, "*", "controls" or "entries".
func (s *stage) vms(pattern string) []string {
	var list []string
	for _, c := range s.fleet.Controls {
		if pattern == "*" || pattern == "controls" {
			list = append(list, c.VM)
		}
	}
	for _, e := range s.fleet.Entries {
		if pattern == "*" || pattern == "entries" {
			list = append(list, e.VM)
		}
	}
	if list == nil {
		list = strings.Split(pattern, ",")
	}
	return list
}

// healLinks: heal
func healLinks(s *stage, _ *testscript.TestScript, _ []string) error {
	for _, heal := range s.heals {
		heal()
	}
	s.heals = nil
	return nil
}

// awaitReady: ready yes|no VM... waits until /readyz says so.
func awaitReady(s *stage, _ *testscript.TestScript, args []string) error {
	for _, vm := range args[1:] {
		base := ""
		if i, ok := s.control(vm); ok {
			base = s.fleet.Controls[i].Admin
		} else {
			base = s.entry(vm).Admin
		}
		want := map[string]int{"yes": http.StatusOK, "no": http.StatusServiceUnavailable}[args[0]]
		err := eventually(func() error {
			response, err := s.client.Get(base + "/readyz")
			if err != nil {
				return err
			}
			response.Body.Close()
			if response.StatusCode != want {
				return fmt.Errorf("%s answers %d", vm, response.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eventually repeats a check until it passes.
func eventually(check func() error) error {
	end := time.Now().Add(stageWait)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// pauseScript: pause DURATION
func pauseScript(_ *stage, ts *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
	return nil
}

// nameLeader: leader VARIABLE [OTHER-VARIABLE...] waits for a leader and sets
// the variables to its name and to the names of the others.
func nameLeader(s *stage, ts *testscript.TestScript, args []string) error {
	return eventually(func() error {
		names := []string{}
		for _, c := range s.fleet.Controls {
			if c.Leads() {
				names = append([]string{c.VM}, names...)
			} else {
				names = append(names, c.VM)
			}
		}
		i, _ := s.control(names[0])
		if !s.fleet.Controls[i].Leads() {
			return fmt.Errorf("no leader")
		}
		for n, variable := range args {
			ts.Setenv(variable, names[n])
		}
		return nil
	})
}

// checkRuns: runs NAME MOST expects a backend server to have run at most so many
// since its mark.
func checkRuns(s *stage, ts *testscript.TestScript, args []string) error {
	most, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	if n := s.targets[args[0]].RunCount() - s.marks[args[0]]; n > most {
		return fmt.Errorf("%s ran %d requests", args[0], n)
	}
	return nil
}

// markRuns: mark NAME starts the counts of a backend server anew.
func markRuns(s *stage, _ *testscript.TestScript, args []string) error {
	t := s.targets[args[0]]
	s.marks[args[0]] = t.RunCount()
	t.ResetMaxActive()
	return nil
}

// checkMost: most NAME N expects at most N requests to have run at once.
func checkMost(s *stage, ts *testscript.TestScript, args []string) error {
	most, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if n := s.targets[args[0]].MaxActive(); n > most {
		return fmt.Errorf("%s ran %d requests at once", args[0], n)
	}
	return nil
}

// checkSome: some NAME expects at least one run.
func checkSome(s *stage, _ *testscript.TestScript, args []string) error {
	if s.targets[args[0]].RunCount() == 0 {
		return fmt.Errorf("%s ran nothing", args[0])
	}
	return nil
}

// startCold: cold NAME POOL CENTRE starts a backend server that is cold.
func startCold(s *stage, _ *testscript.TestScript, args []string) error {
	t, err := fake.New(
		fake.Name(args[0]), fake.Pool(args[1]), fake.DataCentre(args[2]), fake.Phase("cold"),
		fake.AnnounceURLs(s.fleet.AnnounceURLs()...), fake.CallerKeys("key-east", "key-west"),
	)
	if err == nil {
		s.targets[args[0]] = t
	}
	return err
}

// turnSilently: turn NAME PHASE changes a phase that only answers show.
func turnSilently(s *stage, _ *testscript.TestScript, args []string) error {
	s.targets[args[0]].SetReportedPhase(args[1])
	return nil
}

// claimRequest: claim STATUS ENTRY PATH KEY IDEMPOTENCY-KEY
func claimRequest(s *stage, ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	request, err := http.NewRequest(http.MethodPost, s.entry(args[1]).Callers+args[2], strings.NewReader("sign"))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+args[3])
	request.Header.Set("Idempotency-Key", args[4])
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != want {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
