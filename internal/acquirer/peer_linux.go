package acquirer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a connection that neither side has closed.
const tcpEstablished = 1

// peerClosed reports whether the peer has closed the connection, even if bytes that it sent
// before are not read.
func peerClosed(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State != tcpEstablished
	})
	return closed
}
