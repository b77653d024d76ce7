package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testSpan = 20 * time.Second

// TestPromisesHoldUnderFaults runs the program itself for a while: once with links that are cut, and
// once with evacuations beside control VMs that stand still.
func TestPromisesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for some time")
	}
	binary := filepath.Join(t.TempDir(), "dottereldeal")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/dottereldeal").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %s: %s", err, out)
	}
	shape := Shape{Controls: 3, Entries: 6}
	for seed, evacuates := range map[uint64]bool{1: false, 7: true} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			report, err := Run(context.Background(), NewPlan(seed, testSpan, shape), Binary(binary), Processes(shape), Progress(t.Output()))
			is.NoErr(err)
			report.Print(t.Output())
			is.Equal(report.Violations, nil)
			is.True(report.Served > 0) // some requests are served
			is.True(report.Acked > 0)  // some orders are accepted
			is.Equal(report.Evacuated > 0, evacuates)
		})
	}
}
