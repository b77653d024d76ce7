package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/local"
)

// BenchmarkTicketAccepted submits tickets sequentially to three replicas, each of
// which syncs every log record to disk.
func BenchmarkTicketAccepted(b *testing.B) {
	f, err := local.Start(local.Controls(3), local.Entries(0), local.Folder(b.TempDir()))
	if err != nil {
		b.Fatal(err)
	}
	defer f.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	number := uint64(0)
	send := func() {
		number++
		if _, err := f.SubmitTicket(ctx, number, fmt.Sprintf("number: %d\npools: [{name: p%d}]\n", number, number%100)); err != nil {
			b.Fatal(err)
		}
	}
	send()
	for b.Loop() {
		send()
	}
}
