package sessioner

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Start is what a caller says at the start of its session.
type Start struct {
	// Database is the name that selects the route.
	Database string
	// Key identifies the caller's team. It is never logged or passed on.
	Key string
}

// Conn is a caller's connection, as a codec of the caller's protocol implements
// it. Only Interrupt and Abort may be called concurrently with other methods.
type Conn interface {
	// ReadStart reads the start of a session. If it returns an error, the caller has
	// been told the reason and the connection must be closed.
	ReadStart(deadline time.Time) (Start, error)
	// WriteReady tells the caller that the session has started.
	WriteReady() error
	// RefuseStart tells the caller why the session does not start.
	RefuseStart(code exchanger.Code, text string) error
	// Wait returns nil when a statement has begun to arrive, and
	// os.ErrDeadlineExceeded at the deadline or after Interrupt. The zero
	// deadline means no deadline.
	Wait(deadline time.Time) error
	// ReadStatement returns the next statement, or io.EOF when the caller has ended
	// the session.
	ReadStatement() (exchanger.Statement, error)
	// HasNext reports whether the next statement has begun to arrive. It does not read.
	HasNext() bool
	// Watch calls onClose once if the caller closes the connection before it sends another
	// statement. The function stop ends the watch; ReadStatement and Wait are called only
	// after it has returned.
	Watch(onClose func()) (stop func())
	// WriteAnswer sends the answer to the last statement.
	WriteAnswer(a exchanger.Answer) error
	// End tells the caller of an idle session why it ends, and closes the connection.
	End(code exchanger.Code, text string) error
	// Keep reserves memory for the session's state; bytes may be negative. It reports
	// whether the process has the memory.
	Keep(bytes int) bool
	// Abort closes the connection without an answer. It may be called at any time.
	Abort()
	// Interrupt makes a pending Wait return, or the next one if none is pending. It does not
	// keep ReadStart and ReadStatement from reading what a caller sends at that time. It may
	// be called at any time.
	Interrupt()
	// Close closes the connection.
	Close() error
}
