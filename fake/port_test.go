package fake_test

import (
	"net/netip"
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
