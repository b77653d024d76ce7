package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testSeed = 1
	testSpan = 20 * time.Second
)

// TestPromisesHoldUnderFaults runs the program itself for a while.
func TestPromisesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes for some time")
	}
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "dottereldeal")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/dottereldeal").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %s: %s", err, out)
	}
	shape := Shape{Controls: 3, Entries: 6}
	report, err := Run(context.Background(), NewPlan(testSeed, testSpan, shape), Binary(binary), Processes(shape), Progress(t.Output()))
	is.NoErr(err)
	report.Print(t.Output())
	is.Equal(report.Violations, nil)
	is.True(report.Served > 0) // some requests are served
	is.True(report.Acked > 0)  // some orders are accepted
}
