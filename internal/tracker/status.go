package tracker

import "context"

// Status is one row of the status that a backend server reports.
type Status struct {
	// Server is the server's name in the manifest.
	Server string
	// Role is the server's role in Term.
	Role Role
	// Term is the highest term that the server accepted.
	Term uint64
	// Promoter identifies the attempt to promote that fenced Term on this server.
	Promoter string
	// Log is the end of the log that the server stores. Confirmations and
	// promotions are decided on it.
	Log Position
	// Applied is the last record whose effects are visible to reads on the
	// server. It is at or before Log.
	//
	// A replica may apply a record before the record is confirmed. In a group of
	// three this is safe: the primary stored the record before it sent it, so two
	// servers store it in its term, each before it accepted a later term. Every
	// majority fenced for a later term contains one of them, so the record is
	// part of every later log. In a larger group, replicas would have to hide
	// records that are not confirmed.
	Applied Position
	// Lineage is the lineage of the stored log.
	Lineage Lineage
	// Leaving is set when the server announced that it will stop.
	Leaving bool
	// Connections counts the open client connections of the server.
	Connections int
}

// StatusReader reads the status of one backend server. Each reader has a
// connection of its own and is not safe for concurrent use.
type StatusReader interface {
	// ReadStatus returns a row that was computed after the call began.
	ReadStatus(ctx context.Context) (Status, error)
	// Close closes the connection.
	Close() error
}
