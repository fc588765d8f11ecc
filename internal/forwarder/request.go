package forwarder

import (
	"time"

	"marigoldhub.example/hub/internal/exchanger"
	"marigoldhub.example/hub/internal/linker"
)

// Request is what one exchange with a backend server needs.
type Request struct {
	// Service and Server name the backend server.
	Service, Server string
	// Transaction is the id under which the connection stays reserved while a
	// transaction is open on it; empty outside transactions.
	Transaction string
	// Discard ends the transaction by closing its connection; there are no
	// statements.
	Discard bool
	// Priority orders requests that wait for a connection; the lowest goes first.
	Priority int
	// MaxWait is how long the request may wait for a connection.
	MaxWait time.Duration
	// Remaining is the time until the caller has no more use for the answer. It orders
	// requests that wait.
	Remaining time.Duration
	// IsWrite is set for a single write or for the commit of a transaction that wrote.
	IsWrite bool
	// Timeout limits the whole exchange.
	Timeout time.Duration
	// IsPlain is set for statements of the instance itself, which need no context.
	IsPlain    bool
	Context    linker.Context
	Statements []exchanger.Statement
}
