package fake_test

import (
	"bufio"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fake"
)

// Tests that run in parallel draw their addresses long before they use them. Of 60 drawn at
// random from 12,000 two were the same in one of seven runs.
func TestNoAddressIsReturnedTwice(t *testing.T) {
	is := is.New(t)
	seen := make(map[netip.AddrPort]bool)
	for range 1000 {
		addr := fake.FreeAddr()
		is.True(!seen[addr])
		seen[addr] = true
	}
}

// drawVariable makes the test binary draw addresses and hold them until its input ends.
const drawVariable = "DRAW_ADDRESSES"

const drawnAddresses = 2500

func TestMain(m *testing.M) {
	if os.Getenv(drawVariable) == "" {
		os.Exit(m.Run())
	}
	for range drawnAddresses {
		fmt.Println(fake.FreeAddr())
	}
	io.Copy(io.Discard, os.Stdin)
}

// Guards against groups of control VMs of two test processes that mix, because both start a VM
// of the same name on one port.
func TestProcessesThatRunAtTheSameTimeShareNoAddress(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 3 {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), drawVariable+"=1")
		input, err := c.StdinPipe()
		is.NoErr(err)
		output, err := c.StdoutPipe()
		is.NoErr(err)
		is.NoErr(c.Start())
		t.Cleanup(func() {
			input.Close()
			is.NoErr(c.Wait())
		})
		lines := bufio.NewScanner(output)
		for range drawnAddresses {
			is.True(lines.Scan())
			is.True(!seen[lines.Text()]) // held by a process that runs
			seen[lines.Text()] = true
		}
	}
}
