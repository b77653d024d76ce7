package fake

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
)

const (
	// firstPort and ports bound the ports of processes that tests start later. They
	// lie below those that the kernel gives to outgoing connections, which could
	// take a port between the choice and the start.
	firstPort = 20_000
	ports     = 12_000
)

// FreeAddr returns a loopback address that nobody listens on at present.
func FreeAddr() netip.AddrPort {
	for {
		port := firstPort + rand.IntN(ports)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}
