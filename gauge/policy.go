package gauge

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dottereldeal/dottereldeal/conf"
)

// shape is a user's fleet and load.
type shape struct {
	name       string
	entries    int
	centres    []string
	targets    int
	slots      int
	intake     int
	service    time.Duration
	workspaces int
	// load is the part of the slots that the offered load fills.
	load float64
}

var shapes = map[string]shape{
	"division": {
		name: "division", entries: 44, centres: []string{"fukuoka", "kumamoto", "kagoshima"},
		targets: 30, slots: 4, intake: 6, service: 40 * time.Millisecond, workspaces: 8, load: 0.7,
	},
	"association": {
		name: "association", entries: 40, centres: []string{"obihiro", "kushiro", "nemuro"},
		targets: 30, slots: 3, intake: 6, service: 40 * time.Millisecond, workspaces: 8, load: 0.7,
	},
}

func parseShape(text string) (shape, error) {
	s, ok := shapes[text]
	if !ok {
		return shape{}, fmt.Errorf("%q is neither division nor association", text)
	}
	return s, nil
}

// policyCommand measures the data path under gray failures, beside the baseline.
func policyCommand(set *conf.Set) func(io.Writer) error {
	s := conf.Var(set, "shape", "division or association", parseShape, conf.Default("division"))
	scale := set.Int("scale", "divides entries, targets and load", 1, conf.Default("1"))
	seeds := set.Int("seeds", "number of seeds", 1, conf.Default("3"))
	span := set.Duration("span", "length of each phase", conf.Default("6s"))
	only := set.String("fault", "one fault only: hang, refuse, slow, errors, overload, centre, none")
	policies := set.String("policies", "policies to measure", conf.Default("baseline,fleet"))
	asJSON := set.Bool("json", "print JSON")
	return func(out io.Writer) error {
		return policy(out, s.scaled(*scale), *seeds, *span, *only, *policies, *asJSON)
	}
}

// scaled returns a smaller shape with the same load on each target.
func (s shape) scaled(by int) shape {
	s.entries = max(3, s.entries/by)
	s.targets = max(6, s.targets/by)
	s.intake = max(2, s.intake/by)
	return s
}

// offered returns the requests a second to the main pool.
func (s shape) offered() float64 {
	return s.load * float64(s.targets*s.slots) / s.service.Seconds()
}

// policyResult is what one run of one policy and fault gave.
type policyResult struct {
	Shape  string `json:"shape"`
	Policy string `json:"policy"`
	Fault  string `json:"fault"`
	Seed   uint64 `json:"seed"`
	// Detection is the seconds until 90% of the failing target's traffic is gone,
	// -1 if that did not happen.
	Detection float64 `json:"detection-seconds"`
	// Healthy and Faulty are the parts of requests answered once, whole and in time.
	Healthy float64 `json:"healthy-goodput"`
	Faulty  float64 `json:"faulty-goodput"`
	// Worst is the goodput of the worst-served workspace during the fault.
	Worst float64 `json:"worst-workspace-goodput"`
	// False names the healthy targets that were ejected, and the reasons.
	False []string `json:"false-ejections,omitempty"`
	// RefusedInRate is the part of requests refused for the rate though inside it.
	RefusedInRate float64 `json:"refused-inside-rate"`
	// P50 and P99 are milliseconds of idempotent requests while healthy.
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
	// Control is the kilobytes a second that an entry sends to other processes of
	// the fleet while healthy, on average.
	Control float64 `json:"control-kb-per-second"`
}

func faultNames(only string) []string {
	if only != "" {
		return strings.Split(only, ",")
	}
	return []string{"none", "hang", "refuse", "slow", "errors", "overload", "centre"}
}

func policy(out io.Writer, s shape, seeds int, span time.Duration, only, policies string, asJSON bool) error {
	var all []policyResult
	for name := range strings.SplitSeq(policies, ",") {
		for seed := range uint64(seeds) {
			results, err := runPolicy(s, name, seed+1, span, faultNames(only))
			if err != nil {
				return err
			}
			all = append(all, results...)
		}
	}
	if asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	printPolicy(out, s, all)
	return nil
}

// printPolicy prints the medians over the seeds.
func printPolicy(out io.Writer, s shape, all []policyResult) {
	fmt.Fprintf(out, "%s: %d entries, %d targets of %d slots, %.0f requests/s offered, service %s (log-normal), medians over seeds\n",
		s.name, s.entries, s.targets, s.slots, s.offered(), s.service)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "fault\tpolicy\tdetection s (median, worst)\tgoodput healthy\tgoodput in fault\tworst workspace\tfalse ejections\trefused inside rate\tp50 ms\tp99 ms\tcontrol KB/s")
	for _, fault := range faultsIn(all) {
		for _, policy := range []string{"baseline", "fleet"} {
			printRow(w, fault, policy, all)
		}
	}
	w.Flush()
	for _, r := range all {
		for _, one := range r.False {
			fmt.Fprintf(out, "false ejection, %s, %s, seed %d: %s\n", r.Policy, r.Fault, r.Seed, one)
		}
	}
}

func faultsIn(all []policyResult) []string {
	var names []string
	for _, r := range all {
		if !slices.Contains(names, r.Fault) {
			names = append(names, r.Fault)
		}
	}
	return names
}

func printRow(w io.Writer, fault, policy string, all []policyResult) {
	var rows []policyResult
	for _, r := range all {
		if r.Fault == fault && r.Policy == policy {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 {
		return
	}
	median := func(field func(policyResult) float64) float64 {
		values := make([]float64, len(rows))
		for i, r := range rows {
			values[i] = field(r)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	worst, ejections := 0.0, 0
	for _, r := range rows {
		if r.Detection < 0 {
			worst = -1
		}
		if worst >= 0 {
			worst = max(worst, r.Detection)
		}
		ejections += len(r.False)
	}
	detection := "-"
	if fault == "hang" || fault == "refuse" || fault == "slow" || fault == "errors" {
		detection = fmt.Sprintf("%.1f, %.1f", median(func(r policyResult) float64 { return r.Detection }), worst)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%d\t%.4f\t%.1f\t%.1f\t%.2f\n", fault, policy, detection,
		median(func(r policyResult) float64 { return r.Healthy }),
		median(func(r policyResult) float64 { return r.Faulty }),
		median(func(r policyResult) float64 { return r.Worst }), ejections,
		median(func(r policyResult) float64 { return r.RefusedInRate }),
		median(func(r policyResult) float64 { return r.P50 }),
		median(func(r policyResult) float64 { return r.P99 }),
		median(func(r policyResult) float64 { return r.Control }))
}
