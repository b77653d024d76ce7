package local_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/ticket"
)

const (
	raceNumbers  = 40
	raceContents = 3
)

// submission is one of several different tickets submitted under the same number.
type submission struct {
	number  uint64
	content int
}

func (c submission) text() string {
	return fmt.Sprintf("number: %d\npools: [{name: p%d-%d}]\n", c.number, c.number, c.content)
}

// submissionDigests returns the digest of every ticket that the test may submit.
func submissionDigests(t *testing.T) map[submission]string {
	digests := make(map[submission]string)
	for number := uint64(1); number <= raceNumbers; number++ {
		for content := range raceContents {
			c := submission{number, content}
			parsed, err := ticket.Parse("t", []byte(c.text()))
			if err != nil {
				t.Fatal(err)
			}
			digest, err := parsed.Digest()
			if err != nil {
				t.Fatal(err)
			}
			digests[c] = digest.String()
		}
	}
	return digests
}

// outcome is the response to a submission; digest identifies the ticket accepted
// under the number, and known is false if no response arrived.
type outcome struct {
	known  bool
	digest string
}

// ticketNumberModel specifies that the first ticket accepted under a number keeps it:
// every later submission reports that ticket's digest.
func ticketNumberModel(digests map[submission]string) porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byNumber := make(map[uint64][]porcupine.Operation)
			for _, op := range history {
				number := op.Input.(submission).number
				byNumber[number] = append(byNumber[number], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byNumber {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			accepted := state.(string)
			if accepted == "" {
				accepted = digests[input.(submission)]
			}
			out := output.(outcome)
			return !out.known || out.digest == accepted, accepted
		},
	}
}

// TestTicketNumbersAreLinearizable submits different tickets concurrently under the
// same numbers while control processes restart. It guards against two tickets being
// reported as accepted under one number.
func TestTicketNumbersAreLinearizable(t *testing.T) {
	f, err := local.Start(local.Controls(3), local.Entries(0), local.Folder(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var mu sync.Mutex
	var history []porcupine.Operation
	digests := submissionDigests(t)
	began := time.Now()
	var group sync.WaitGroup
	for client := range 6 {
		random := rand.New(rand.NewPCG(uint64(client), 3))
		group.Go(func() {
			for number := uint64(1); number <= raceNumbers; number++ {
				c := submission{number, random.IntN(raceContents)}
				text := c.text()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				call := time.Since(began).Nanoseconds()
				answer, err := f.SubmitTicket(ctx, number, text)
				cancel()
				end := time.Since(began).Nanoseconds()
				out := outcome{known: err == nil, digest: answer.Digest}
				mu.Lock()
				if err != nil {
					end = time.Hour.Nanoseconds() // a submission without a response may still take effect later
				}
				history = append(history, porcupine.Operation{ClientId: client, Input: c, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	restartControls(t, f)
	group.Wait()
	if !porcupine.CheckOperations(ticketNumberModel(digests), history) {
		t.Fatalf("the responses to %d submissions are not linearizable", len(history))
	}
}

// restartControls restarts the control processes one after another.
func restartControls(t *testing.T, f *local.Fleet) {
	for i := range 3 {
		time.Sleep(300 * time.Millisecond)
		f.Controls[i].Shutdown()
		time.Sleep(200 * time.Millisecond)
		if err := f.RestartControl(i); err != nil {
			t.Error(err)
		}
	}
}
