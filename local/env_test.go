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

const testTimeout = 20 * time.Second

// testEnv is the state of one script: a fleet, backend servers and load.
type testEnv struct {
	fleet    *local.Fleet
	folder   string
	targets  map[string]*fake.Server
	restores []func()
	loads    map[string]*loadGenerator
	streams  map[string]*streamReader
	client   *http.Client
	// baselineRuns are the run counts of backend servers at their last mark command.
	baselineRuns map[string]uint64
}

type envKey struct{}

func newTestEnv() *testEnv {
	return &testEnv{
		targets: make(map[string]*fake.Server), loads: make(map[string]*loadGenerator),
		streams: make(map[string]*streamReader), client: &http.Client{},
		baselineRuns: make(map[string]uint64),
	}
}

func (s *testEnv) stop() {
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

// withEnv adapts a function that returns an error to a script command; a negated
// command expects an error.
func withEnv(run func(*testEnv, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		s := ts.Value(envKey{}).(*testEnv)
		err := run(s, ts, args)
		if neg && err == nil {
			ts.Fatalf("command succeeded, but an error was expected")
		}
		if !neg {
			ts.Check(err)
		}
	}
}

func withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), testTimeout)
}

// startFleet: fleet CONTROLS ENTRIES CENTRE...
func startFleet(s *testEnv, ts *testscript.TestScript, args []string) error {
	controls, err := strconv.Atoi(args[0])
	ts.Check(err)
	entries, err := strconv.Atoi(args[1])
	ts.Check(err)
	s.folder = ts.MkAbs("control")
	s.fleet, err = local.Start(local.Controls(controls), local.Entries(entries, args[2:]...), local.Folder(s.folder))
	return err
}

// startTarget: target NAME POOL CENTRE
func startTarget(s *testEnv, _ *testscript.TestScript, args []string) error {
	t, err := fake.New(
		fake.Name(args[0]), fake.Pool(args[1]), fake.DataCentre(args[2]),
		fake.AnnounceURLs(s.fleet.AnnounceURLs()...), fake.CallerKeys("key-east", "key-west"),
	)
	if err == nil {
		s.targets[args[0]] = t
	}
	return err
}

// setFault: fault NAME healthy|hang|refuse|errors=RATE|truncated=RATE|slow=FACTOR
func setFault(s *testEnv, ts *testscript.TestScript, args []string) error {
	kind, value, _ := strings.Cut(args[1], "=")
	number, _ := strconv.ParseFloat(value, 64)
	faults := map[string]fake.Fault{
		"healthy": {}, "hang": {Hang: true}, "refuse": {Refuse: true},
		"errors": {ErrorRate: number}, "truncated": {TruncateRate: number}, "slow": {SlowFactor: number},
	}
	f, ok := faults[kind]
	if !ok {
		ts.Fatalf("unknown fault %q", kind)
	}
	s.targets[args[0]].SetFault(f)
	return nil
}

// setPhase: phase NAME cold|warm|leaving
func setPhase(s *testEnv, _ *testscript.TestScript, args []string) error {
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
func sendTicket(s *testEnv, ts *testscript.TestScript, args []string) error {
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
// reports the digest of the accepted one.
func raceTickets(s *testEnv, ts *testscript.TestScript, args []string) error {
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
		return fmt.Errorf("digests by verdict: %v; one accepted and one conflict with the same digest are expected", verdicts)
	}
	return nil
}

// showTicket: show NUMBER VERDICT
func showTicket(s *testEnv, ts *testscript.TestScript, args []string) error {
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

// control returns the index of a control VM, or false if the VM is not one.
func (s *testEnv) control(vm string) (int, bool) {
	for i, c := range s.fleet.Controls {
		if c.VM == vm {
			return i, true
		}
	}
	return 0, false
}

func (s *testEnv) entry(vm string) *local.Entry {
	for _, e := range s.fleet.Entries {
		if e.VM == vm {
			return e
		}
	}
	return nil
}

// stopVM: down VM... shuts down processes and backend servers.
func stopVM(s *testEnv, _ *testscript.TestScript, args []string) error {
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

// restartVM: up CONTROL-VM... restarts control processes.
func restartVM(s *testEnv, _ *testscript.TestScript, args []string) error {
	for _, vm := range args {
		i, _ := s.control(vm)
		if err := s.fleet.RestartControl(i); err != nil {
			return err
		}
	}
	return nil
}

// wipeVM: wipe CONTROL-VM deletes the data folder of a stopped control VM.
func wipeVM(s *testEnv, _ *testscript.TestScript, args []string) error {
	return os.RemoveAll(filepath.Join(s.folder, args[0]))
}

// repairVM: repair CONTROL-VM replaces the replica of a control VM that lost its
// disk.
func repairVM(s *testEnv, _ *testscript.TestScript, args []string) error {
	ctx, cancel := withTimeout()
	defer cancel()
	return s.fleet.RepairReplica(ctx, args[0])
}

// addEntry: add VM CENTRE
func addEntry(s *testEnv, _ *testscript.TestScript, args []string) error {
	_, err := s.fleet.AddEntry(args[0], args[1])
	return err
}

// dropMessages: cut FROM TO drops messages in one direction; "*" is every other VM.
func dropMessages(s *testEnv, _ *testscript.TestScript, args []string) error {
	for _, from := range s.vms(args[0]) {
		for _, to := range s.vms(args[1]) {
			if from != to {
				s.restores = append(s.restores, s.fleet.DropMessages(from, to))
			}
		}
	}
	return nil
}

// vms expands a pattern: a comma-separated list of VMs, "*", "controls" or "entries".
func (s *testEnv) vms(pattern string) []string {
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

// restoreMessages: heal undoes all cut commands.
func restoreMessages(s *testEnv, _ *testscript.TestScript, _ []string) error {
	for _, restore := range s.restores {
		restore()
	}
	s.restores = nil
	return nil
}

// awaitReady: ready yes|no VM... waits until /readyz reports it.
func awaitReady(s *testEnv, _ *testscript.TestScript, args []string) error {
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
				return fmt.Errorf("%s: /readyz returned status %d", vm, response.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// eventually repeats a check until it passes or testTimeout has elapsed.
func eventually(check func() error) error {
	end := time.Now().Add(testTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sleepFor: pause DURATION
func sleepFor(_ *testEnv, ts *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
	return nil
}

// setLeaderVars: leader VARIABLE [OTHER-VARIABLE...] waits for a leader and sets
// the first variable to its VM and the others to the remaining control VMs.
func setLeaderVars(s *testEnv, ts *testscript.TestScript, args []string) error {
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
			return fmt.Errorf("no control process is the leader")
		}
		for n, variable := range args {
			ts.Setenv(variable, names[n])
		}
		return nil
	})
}

// checkRuns: runs NAME MOST expects at most MOST requests at a backend server since
// its last mark command.
func checkRuns(s *testEnv, ts *testscript.TestScript, args []string) error {
	most, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	if n := s.targets[args[0]].RunCount() - s.baselineRuns[args[0]]; n > most {
		return fmt.Errorf("%s ran %d requests", args[0], n)
	}
	return nil
}

// saveBaselineRuns: mark NAME resets the run counts of a backend server.
func saveBaselineRuns(s *testEnv, _ *testscript.TestScript, args []string) error {
	t := s.targets[args[0]]
	s.baselineRuns[args[0]] = t.RunCount()
	t.ResetMaxActive()
	return nil
}

// checkMaxActive: most NAME N expects at most N concurrent requests.
func checkMaxActive(s *testEnv, ts *testscript.TestScript, args []string) error {
	most, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	if n := s.targets[args[0]].MaxActive(); n > most {
		return fmt.Errorf("%s ran %d requests concurrently", args[0], n)
	}
	return nil
}

// checkAnyRun: some NAME expects at least one request.
func checkAnyRun(s *testEnv, _ *testscript.TestScript, args []string) error {
	if s.targets[args[0]].RunCount() == 0 {
		return fmt.Errorf("%s ran no request", args[0])
	}
	return nil
}

// startColdTarget: cold NAME POOL CENTRE starts a backend server in the cold phase.
func startColdTarget(s *testEnv, _ *testscript.TestScript, args []string) error {
	t, err := fake.New(
		fake.Name(args[0]), fake.Pool(args[1]), fake.DataCentre(args[2]), fake.Phase("cold"),
		fake.AnnounceURLs(s.fleet.AnnounceURLs()...), fake.CallerKeys("key-east", "key-west"),
	)
	if err == nil {
		s.targets[args[0]] = t
	}
	return err
}

// setReportedPhase: turn NAME PHASE changes the phase in responses, but not the
// announced one.
func setReportedPhase(s *testEnv, _ *testscript.TestScript, args []string) error {
	s.targets[args[0]].SetReportedPhase(args[1])
	return nil
}

// claimRequest: claim STATUS ENTRY PATH KEY IDEMPOTENCY-KEY
func claimRequest(s *testEnv, ts *testscript.TestScript, args []string) error {
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
