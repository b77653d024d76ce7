package local_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/state"
)

// An entry that starts may reach a control VM that is cut off from its group. It answered 401
// to a key that had been accepted seconds before, with the state of that control VM.
func TestStartingEntryRefusesNoAcceptedKeyWhileAControlVMIsCutOff(t *testing.T) {
	is := is.New(t)
	f, err := local.Start(local.Controls(3), local.Entries(1, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.OnPartition(entry.PartitionServe)))
	is.NoErr(err)
	defer f.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first := f.Entries[0]
	submit := func(number uint64, text string) {
		t.Helper()
		before := first.State().Index()
		_, err := f.SubmitTicket(ctx, number, text)
		is.NoErr(err)
		for first.State().Index() == before {
			is.NoErr(ctx.Err())
			time.Sleep(10 * time.Millisecond)
		}
	}
	submit(1, `number: 1
pools: [{name: p}]
routes: [{name: r, path-prefix: /, pool: p, idempotent: true, deadline: 2s}]
lease-voters: [e1]
`)
	cutOff := f.Controls[2].VM
	for _, c := range f.Controls[:2] {
		defer f.DropMessages(cutOff, c.VM)()
		defer f.DropMessages(c.VM, cutOff)()
	}
	submit(2, fmt.Sprintf("number: 2\nworkspaces: [{name: east, rate: 1000, burst: 1000, key-digests: [%q]}]\n", state.HashKey("key-east")))

	s := newTestEnv()
	s.fleet = f
	for i := range 6 {
		e, err := f.AddEntry(fmt.Sprint("late", i), "d1")
		is.NoErr(err)
		for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			result, err := s.send(ctx, e.VM, http.MethodGet, "/x", "key-east")
			is.NoErr(err)
			if result.status == http.StatusUnauthorized {
				t.Fatalf("%s refused an accepted key; its state is %s, that of the fleet %s", e.VM, e.State(), first.State())
			}
		}
	}
}
