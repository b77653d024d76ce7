package fake

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
)

const (
	// firstPort and ports define the range for processes that tests start later. It
	// lies below the kernel's ephemeral ports, because an outgoing connection could
	// take a port from there before the process starts.
	firstPort = 20_000
	portCount = 12_000
)

// FreeAddr returns a loopback address without a listener at the time of the call.
func FreeAddr() netip.AddrPort {
	for {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}
