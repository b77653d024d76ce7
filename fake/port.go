package fake

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	// firstPort and ports define the range for processes that tests start later. It
	// lies below the kernel's ephemeral ports, because an outgoing connection could
	// take a port from there before the process starts.
	firstPort = 20_000
	portCount = 12_000
)

// nextPort is the offset of the next port to try. Test processes that run at the same time
// start at different ones.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid() * portsPerProcess)) }

// portsPerProcess is the distance between the first ports of processes with successive IDs.
const portsPerProcess = 200

// FreeAddr returns a loopback address without a listener at the time of the call. A process
// receives no address twice: tests that run in parallel start their processes some time later.
func FreeAddr() netip.AddrPort {
	for {
		port := firstPort + int(nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}
