package confirmer

import "errors"

var (
	// ErrNotMonitor is returned when the asked instance does not monitor the
	// group, or reaches fewer than a majority of the group's servers.
	ErrNotMonitor = errors.New("instance does not monitor the group")
	// ErrUndecided is returned when the monitor answered, but the position was
	// neither confirmed nor superseded within the wait time of the call.
	ErrUndecided = errors.New("position is not confirmed yet")
	// ErrUnknownGroup is returned when no manifest in force declares the group.
	ErrUnknownGroup = errors.New("database group is not declared")
)
