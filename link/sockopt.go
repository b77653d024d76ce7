package link

import (
	"net"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// setTimeouts lets the kernel end a connection whose peer is gone or cut off, which costs
// the process no wake-ups. Connections that are not TCP, as in tests, are left alone.
func setTimeouts(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	probes := net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
	if err := tcp.SetKeepAliveConfig(probes); err != nil {
		return errors.Wrap(err, "set keep-alive probes")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err := errors.Join(err, optionErr); err != nil {
		return errors.Wrap(err, "set user time-out")
	}
	return nil
}
