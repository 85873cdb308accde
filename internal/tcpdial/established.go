package tcpdial

import (
	"net"
	"syscall"
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
	return state(raw) == stateEstablished
}
