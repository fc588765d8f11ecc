package messenger

import (
	"context"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, which limits how long a peer that lost
// power or its network keeps a call waiting.
func (c PoolConfig) setUserTimeout(_ context.Context, _, _ string, conn syscall.RawConn) error {
	if c.UserTimeout == 0 {
		return nil
	}
	var err error
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.UserTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
