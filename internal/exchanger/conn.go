package exchanger

import (
	"errors"
	"fmt"
	"time"
)

// ErrConnectionLost means that a connection ended or stayed silent; what was
// sent on it and not answered may have run.
var ErrConnectionLost = errors.New("connection to the backend server is lost")

// ErrNotSent means that a connection turned out to be closed before any byte
// of a statement was sent on it.
var ErrNotSent = errors.New("connection to the backend server was closed")

// Conn is a connection to one backend server. One goroutine uses it at a time.
type Conn interface {
	// Exchange sends the statements together and returns their answers in
	// order. With an error, the answers received so far are returned and the
	// connection is unusable.
	Exchange(deadline time.Time, statements ...Statement) ([]Answer, error)
	Close() error
}

// Target says which server to connect to.
type Target struct {
	Service  string
	ServerID string
	Address  string
}

// Dialer opens connections to backend servers. A server that refuses the
// connection with a code fails with a [RefusedError].
type Dialer interface {
	Dial(t Target, deadline time.Time) (Conn, error)
}

// RefusedError is a server's refusal of a connection; nothing was run.
type RefusedError struct {
	Code Code
	Text string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the connection: %s %s", e.Code, e.Text)
}
