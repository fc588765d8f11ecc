package confirmer

import "errors"

var (
	// ErrNotMonitor states that the asked instance does not monitor the group,
	// or reaches too few of its servers to confirm anything.
	ErrNotMonitor = errors.New("instance does not monitor the group")
	// ErrUndecided states that the monitor answered, but learnt nothing in the
	// time it was given.
	ErrUndecided = errors.New("position is not confirmed yet")
	// ErrUnknownGroup states that no manifest in force declares the group.
	ErrUnknownGroup = errors.New("database group is not declared")
)
