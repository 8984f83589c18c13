package framing

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that has been reset.
const tcpClose = 7

// EndOf returns how the other side ended a connection from which all has been read. It returns
// Closed if the system does not tell.
func EndOf(c net.Conn) End {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return Closed
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return Closed
	}
	end := Closed
	err = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpClose:
			end = Reset
		case info.Unacked > 0 || info.Notsent_bytes > 0:
			end = Unread
		}
	})
	if err != nil {
		return Closed
	}
	return end
}
