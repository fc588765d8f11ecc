package exchanger

import (
	"errors"
	"fmt"
	"time"
)

// ErrConnectionLost means that a connection ended or did not answer in time.
// Statements that were sent on it and not answered may have been executed.
var ErrConnectionLost = errors.New("connection to the backend server is lost")

// ErrNotSent means that a connection turned out to be closed before any byte of
// a statement was sent on it, so that none was executed.
var ErrNotSent = errors.New("connection to the backend server was closed")

// Conn is a connection to one backend server. One goroutine uses it at a time.
type Conn interface {
	// Exchange sends the statements together and returns their answers in
	// order. With an error, the answers received so far are returned and the
	// connection is unusable.
	Exchange(deadline time.Time, statements ...Statement) ([]Answer, error)
	// Close closes the connection.
	Close() error
}

// ClosedReporter is implemented by connections that can tell whether the server has closed
// them. A statement that is sent on a closed connection may count as executed.
type ClosedReporter interface {
	// IsClosed reports, without waiting, whether an idle connection has been closed. If
	// not, it may still be.
	IsClosed() bool
}

// Target identifies the backend server to connect to.
type Target struct {
	// Service is the name of the service that the server belongs to.
	Service string
	// ServerID is the server that is expected at the address.
	ServerID string
	// Address is the server's IP:port.
	Address string
	// User is who connects: the team whose statements the connection carries. Empty
	// stands for the instance itself.
	User string
}

// WithUser returns the target with another user.
func (t Target) WithUser(user string) Target {
	t.User = user
	return t
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial returns a connection that is ready for statements. If the server
	// refuses the connection with a code, the error is a [RefusedError].
	Dial(t Target, deadline time.Time) (Conn, error)
}

// RefusedError is a backend server's refusal of a connection. Nothing was executed.
type RefusedError struct {
	Code Code
	Text string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the connection: %s %s", e.Code, e.Text)
}
