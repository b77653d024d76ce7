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

// claim is an operator's ticket under a number.
type claim struct {
	number  uint64
	content int
}

func (c claim) text() string {
	return fmt.Sprintf("number: %d\npools: [{name: p%d-%d}]\n", c.number, c.number, c.content)
}

// claimDigests returns the digests of all tickets of the race.
func claimDigests(t *testing.T) map[claim]string {
	digests := make(map[claim]string)
	for number := uint64(1); number <= raceNumbers; number++ {
		for content := range raceContents {
			c := claim{number, content}
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

// verdict is the answer to a claim; holder is the content that has the number.
type verdict struct {
	known  bool
	holder string
}

// numberModel says that a number belongs to the first content accepted under it.
func numberModel(digests map[claim]string) porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byNumber := make(map[uint64][]porcupine.Operation)
			for _, op := range history {
				number := op.Input.(claim).number
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
			holder := state.(string)
			if holder == "" {
				holder = digests[input.(claim)]
			}
			out := output.(verdict)
			return !out.known || out.holder == holder, holder
		},
	}
}

// TestNumbersAreLinearizable lets operators race under equal numbers while
// control processes stop and start.
func TestNumbersAreLinearizable(t *testing.T) {
	f, err := local.Start(local.Controls(3), local.Entries(0), local.Folder(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var mu sync.Mutex
	var history []porcupine.Operation
	digests := claimDigests(t)
	began := time.Now()
	var group sync.WaitGroup
	for client := range 6 {
		random := rand.New(rand.NewPCG(uint64(client), 3))
		group.Go(func() {
			for number := uint64(1); number <= raceNumbers; number++ {
				c := claim{number, random.IntN(raceContents)}
				text := c.text()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				call := time.Since(began).Nanoseconds()
				answer, err := f.SubmitTicket(ctx, number, text)
				cancel()
				end := time.Since(began).Nanoseconds()
				out := verdict{known: err == nil, holder: answer.Digest}
				mu.Lock()
				if err != nil {
					end = time.Hour.Nanoseconds() // it may still take effect
				}
				history = append(history, porcupine.Operation{ClientId: client, Input: c, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	disturb(t, f)
	group.Wait()
	if !porcupine.CheckOperations(numberModel(digests), history) {
		t.Fatalf("the answers to %d tickets are not linearizable", len(history))
	}
}

// disturb stops and starts control processes one after another.
func disturb(t *testing.T, f *local.Fleet) {
	for i := range 3 {
		time.Sleep(300 * time.Millisecond)
		f.Controls[i].Shutdown()
		time.Sleep(200 * time.Millisecond)
		if err := f.RestartControl(i); err != nil {
			t.Error(err)
		}
	}
}
