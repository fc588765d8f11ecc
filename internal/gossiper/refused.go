package gossiper

import (
	"errors"
	"syscall"
)

// isRefused reports whether the machine runs but nobody listens at the port.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
