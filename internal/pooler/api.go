package pooler

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Class orders requests under overload: waiting requests of a higher class are
// served first, those of a lower class are refused first.
type Class int

const (
	// BoundedRead is a read that accepts data of a stated age.
	BoundedRead Class = iota + 1
	// StrictRead is a read that accepts no stale data.
	StrictRead
	// Write is everything that may write.
	Write
)

// Request asks for a connection to one backend server.
type Request struct {
	// Group is the name of the database group, Server that of the backend
	// server.
	Group  string
	Server string
	Class  Class
	// Caller is the name of the caller in the manifest.
	Caller string
}

// Acquirer hands out server connections. Every error of Acquire is a
// *[RefusedError] and proves that nothing was sent.
type Acquirer interface {
	// Acquire waits for a connection, which the caller must release or discard.
	Acquire(ctx context.Context, req Request) (Conn, error)
}

// Reason tells why no connection was given.
type Reason string

const (
	// ReasonQueueFull means that the group has too many waiting requests.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that no connection became free in time, or that the
	// request's context or the pool ended first.
	ReasonDeadline Reason = "deadline"
	// ReasonUnreachable means that opening a connection failed.
	ReasonUnreachable Reason = "unreachable"
	// ReasonLimit means that the server refused a connection because of its
	// connection limit.
	ReasonLimit Reason = "limit"
	// ReasonLeaving means that the server is leaving and takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonUnknown means that the catalog has no such server, or that the pool
	// was already closed.
	ReasonUnknown Reason = "unknown_server"
)

// RefusedError states that no connection was given and nothing was sent.
type RefusedError struct {
	Server string
	Reason Reason
	// Err is the cause, nil if there is no other than Reason.
	Err error
}

func (e *RefusedError) Error() string {
	msg := "no connection to backend server " + e.Server + ": " + string(e.Reason)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

func (e *RefusedError) Unwrap() error { return e.Err }

// Conn is an authenticated server connection in the exclusive use of its
// holder. Only Cancel may be called concurrently with other methods.
type Conn interface {
	// Server returns the name of the backend server.
	Server() string
	// Send buffers messages.
	Send(msgs ...pgproto3.FrontendMessage)
	// Flush writes the buffered messages.
	Flush() error
	// Receive returns the next message. It is valid until the next call.
	Receive() (pgproto3.BackendMessage, error)
	// SetReadDeadline bounds the following calls of Receive.
	SetReadDeadline(t time.Time) error
	// HasStatement reports whether a prepared statement of that name exists on
	// this connection, and marks it as recently used.
	HasStatement(name string) bool
	// AddStatement records that the prepared statement exists now.
	AddStatement(name string)
	// RemoveStatement records that the prepared statement no longer exists.
	RemoveStatement(name string)
	// Cancel asks the server to cancel the running statement. It returns when
	// the server has closed the connection that carried the cancel request.
	// After Release or Discard it returns [ErrReleased].
	Cancel(ctx context.Context) error
	// Release returns the connection to the pool, after the end of a Cancel in
	// progress. The holder must have read every response up to a ReadyForQuery
	// with status 'I'; a connection that is not clean is closed instead.
	Release()
	// Discard closes the connection.
	Discard()
}
