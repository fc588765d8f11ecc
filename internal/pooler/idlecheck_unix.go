//go:build unix

package pooler

import (
	"net"
	"syscall"
)

// idleConnOpen reports whether the server has neither closed an idle connection
// nor sent anything on it. It consumes no data and does not block.
func idleConnOpen(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR)
		return true
	})
	return err == nil && empty
}
