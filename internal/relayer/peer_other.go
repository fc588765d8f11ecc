//go:build !linux

package relayer

import "syscall"

// peerClosed is known on Linux only.
func peerClosed(syscall.Conn) bool { return false }
