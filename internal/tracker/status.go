package tracker

import "context"

// Status is one status row of a backend server.
type Status struct {
	// Server is the server's name in the manifest.
	Server string
	Role   Role
	// Term is the highest term that the server accepted.
	Term uint64
	// Promoter is the instance that fenced Term on this server.
	Promoter string
	// Log is the end of the log that the server stores. Confirmations and
	// promotions rest on it.
	Log Position
	// Applied is the last record whose effects reads on the server show. It is
	// at or before Log.
	//
	// A replica may apply a record before the record is confirmed. In a group of
	// three that does no harm: the primary stored the record before it sent it,
	// so two servers store it in its term, each before it accepted a later term.
	// Every majority fenced for a later term contains one of them, and the record
	// is part of every later log. A larger group would have to keep replicas from
	// showing records that are not confirmed.
	Applied Position
	Lineage Lineage
	// Leaving is set when the server announced that it will stop.
	Leaving bool
	// Connections counts the open client connections of the server.
	Connections int
}

// StatusReader reads the status of one backend server. Implementations use
// their own connection and are not safe for concurrent use.
type StatusReader interface {
	// ReadStatus returns a row computed after the call began.
	ReadStatus(ctx context.Context) (Status, error)
	Close() error
}
