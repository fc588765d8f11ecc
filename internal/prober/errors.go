package prober

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/jackc/pgx/v5/pgproto3"
)

// ServerError is an error that a backend server reported.
type ServerError struct {
	// Code is the SQLSTATE.
	Code string
	// Message is the text of the error.
	Message string
}

func (e *ServerError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code) }

func newServerError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Code: m.Code, Message: m.Message}
}

// ConnectionClosedError reports that the peer accepted a connection and closed it
// before it sent any byte. A network relay in front of a stopped server does that.
type ConnectionClosedError struct{ Err error }

func (e *ConnectionClosedError) Error() string {
	return "connection closed before the first response: " + e.Err.Error()
}

func (e *ConnectionClosedError) Unwrap() error { return e.Err }

// isRefused reports whether the error shows that no server listens at the
// address, directly or behind a network relay.
func isRefused(err error) bool {
	var closed *ConnectionClosedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &closed)
}

// isTooManyConnections reports whether the server runs but has no free
// connection.
func isTooManyConnections(err error) bool {
	var s *ServerError
	return errors.As(err, &s) && s.Code == CodeTooManyConnections
}
