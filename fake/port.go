package fake

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
)

const (
	// firstPort and portCount define the range for processes that tests start later. It
	// lies below the kernel's ephemeral ports, because an outgoing connection could
	// take a port from there before the process starts.
	firstPort = 20_000
	portCount = 12_000
	// portsPerBlock is the number of ports that a test process reserves at a time.
	portsPerBlock = 100
	blockCount    = portCount / portsPerBlock
)

// ports are the ports that this test process has reserved.
var ports portBlock

// portBlock is a block of ports. Its first port stays bound as long as the process runs, which
// reserves the others: test processes that run at the same time would otherwise start VMs of the
// same names on each other's ports, and their groups would mix.
type portBlock struct {
	mu       sync.Mutex
	reserved []net.Listener
	next     int
	end      int
}

// FreeAddr returns a loopback address without a listener at the time of the call. A process
// receives no address twice: tests that run in parallel start their processes some time later.
// Other test processes do not receive it as long as this one runs.
func FreeAddr() netip.AddrPort {
	for {
		l, err := listen(ports.take())
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
}

func (b *portBlock) take() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == b.end {
		b.reserve()
	}
	b.next++
	return b.next - 1
}

// reserve binds the first port of a block that no other process has reserved.
func (b *portBlock) reserve() {
	for offset := range blockCount {
		first := firstPort + (os.Getpid()+offset)%blockCount*portsPerBlock
		l, err := listen(first)
		if err != nil {
			continue
		}
		b.reserved = append(b.reserved, l)
		b.next, b.end = first+1, first+portsPerBlock
		return
	}
	panic("all blocks of ports are reserved")
}

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
}
