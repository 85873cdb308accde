package tcpdial

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateEstablished is the state of a TCP connection that neither end has closed.
const stateEstablished = 1

// Established reports whether neither end of a TCP connection has closed it, as far as the operating system knows: also if
// data before the end, or the end itself, has not been read yet. It is false for other connections.
func Established(conn net.Conn) bool {
	with, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := with.SyscallConn()
	if err != nil {
		return false
	}
	established := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == stateEstablished
	})
	return err == nil && established
}
