//go:build unix

package pooler

import (
	"net"
	"syscall"
)

// quiet reports whether the server neither closed the connection nor sent
// anything. It reads nothing and does not block.
func quiet(conn *net.TCPConn) bool {
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
