package gossiper

import (
	"errors"
	"syscall"
)

// isRefused reports whether the machine runs but no process listens on the port.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
