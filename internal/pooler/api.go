package pooler

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Class orders requests under overload: a lower class is shed first.
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
	Group  string
	Server string
	Class  Class
	// Caller is the name of the caller in the manifest.
	Caller string
}

// Acquirer hands out server connections. Every error of Acquire proves that
// nothing was sent; it is a *[RefusedError].
type Acquirer interface {
	Acquire(ctx context.Context, req Request) (Conn, error)
}

// Reason tells why no connection was given.
type Reason string

const (
	ReasonQueueFull   Reason = "queue_full"
	ReasonDeadline    Reason = "deadline"
	ReasonUnreachable Reason = "unreachable"
	ReasonLimit       Reason = "limit"
	ReasonLeaving     Reason = "leaving"
	ReasonUnknown     Reason = "unknown_server"
)

// RefusedError states that no connection was given and nothing was sent.
type RefusedError struct {
	Server string
	Reason Reason
	Err    error
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
	// the server side of this connection.
	HasStatement(name string) bool
	// AddStatement records that the prepared statement now exists.
	AddStatement(name string)
	// RemoveStatement forgets the prepared statement.
	RemoveStatement(name string)
	// Cancel asks the server to cancel the running statement and returns when
	// the server closed the cancel connection. Release waits for it.
	Cancel(ctx context.Context) error
	// Release returns the connection to the pool. The holder has read every
	// expected response up to a ReadyForQuery with status 'I'.
	Release()
	// Discard closes the connection.
	Discard()
}
