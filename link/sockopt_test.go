package link

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Without these options a connection to a VM that lost its power hangs for minutes.
func TestKernelEndsSilentConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(setTimeouts(conn))
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: 2000, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 2} {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			is.NoErr(err)
			is.Equal(value, want)
		}
	}))
}
