package sessioner

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
)

// Conn is a caller's connection as a codec presents it.
type Conn interface {
	// ReadStart returns the database that the caller names. After an error the
	// caller has been told and the connection must be closed.
	ReadStart(deadline time.Time) (database string, err error)
	WriteReady() error
	// RefuseStart tells the caller why the session ends.
	RefuseStart(code exchanger.Code, text string) error
	// Wait returns nil when a statement has begun to arrive, and
	// os.ErrDeadlineExceeded at the deadline or after Interrupt. The zero
	// deadline is none.
	Wait(deadline time.Time) error
	// ReadStatement returns io.EOF when the caller ended the session.
	ReadStatement() (exchanger.Statement, error)
	WriteAnswer(a exchanger.Answer) error
	// End tells a caller whose session rests why it ends and closes the connection.
	End(code exchanger.Code, text string) error
	// Interrupt ends a pending Wait. It may be called at any time.
	Interrupt()
	Close() error
}
