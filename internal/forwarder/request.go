package forwarder

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

// Request is one exchange with a backend server, to be run by a gateway.
type Request struct {
	// Service and Server name the backend server.
	Service, Server string
	// Team is the team whose statements these are; empty for statements of the
	// instance itself and without teams.
	Team string
	// Transaction is the id under which the gateway pins the connection while a
	// transaction is open on it; empty outside transactions.
	Transaction string
	// Discard ends the transaction by rolling it back; there are no statements.
	Discard bool
	// Priority orders requests that wait for a connection; the lowest goes first.
	Priority int
	// MaxWait is how long the request may wait for a connection.
	MaxWait time.Duration
	// Remaining is the time until the caller has no more use for the answer. Among
	// waiting requests of equal priority, the one with the least goes first.
	Remaining time.Duration
	// IsWrite is set for a single write and for a commit.
	IsWrite bool
	// Timeout limits the whole exchange.
	Timeout time.Duration
	// Left is closed when the calling instance has ended the call: its caller has left, or
	// the instance is lost. It is not sent; nil if that is not noticed.
	Left <-chan struct{}
	// IsPlain is set for statements that the instance itself issues; they need no
	// Context.
	IsPlain bool
	// Context is the session state that the connection must have before the statements.
	Context linker.Context
	// Statements are run in order. Without statements and Discard, the request only
	// checks that the gateway answers.
	Statements []exchanger.Statement
}
