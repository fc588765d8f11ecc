package terminator

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"marigoldhub.example/hub/internal/resolver"
)

// ErrClosed ends a session whose caller has disconnected or terminated, or accepts nothing.
var ErrClosed = errors.New("caller connection is closed")

// FatalError ends the session with a FATAL response.
type FatalError struct{ Response *pgproto3.ErrorResponse }

// Error implements error.
func (e *FatalError) Error() string { return e.Response.Message }

// Fatal returns a [FatalError].
func Fatal(code, message string) error { return &FatalError{resolver.Fatal(code, message)} }
