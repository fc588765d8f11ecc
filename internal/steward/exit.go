package steward

import (
	"errors"

	"marigoldhub.example/hub/internal/storer"
)

// Exit codes of the command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the command reported findings or was refused.
	ExitRefused = 1
	// ExitUsage means wrong arguments.
	ExitUsage = 2
	// ExitUnreachable means that the store or an instance was not reached.
	ExitUnreachable = 3
	// ExitUnknown means that a write may or may not have taken effect.
	ExitUnknown = 4
)

// Exit codes of check, which finds more than a refusal.
const (
	// ExitWarnings means that there are warnings and no errors.
	ExitWarnings = 1
	// ExitErrors means that there are errors.
	ExitErrors = 2
)

// codeError is an error with an exit code of its own.
type codeError struct {
	code int
	error
}

func (e codeError) Unwrap() error { return e.error }

// errInstanceUnreachable means that at least one instance did not respond.
var errInstanceUnreachable = errors.New("not all instances answered")

// commandError marks an error of a command that was run, as opposed to an error
// in its arguments.
type commandError struct{ error }

func (e commandError) Unwrap() error { return e.error }

// exitCode returns the exit code for the result of the command line.
func exitCode(err error) int {
	var cmdErr commandError
	var codeErr codeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &codeErr):
		return codeErr.code
	case !errors.As(err, &cmdErr):
		return ExitUsage
	case storer.IsUnknownOutcome(err):
		return ExitUnknown
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, errInstanceUnreachable):
		return ExitUnreachable
	default:
		return ExitRefused
	}
}
