//go:build !linux

package acquirer

import "syscall"

// peerClosed is known on Linux only.
func peerClosed(syscall.Conn) bool { return false }
