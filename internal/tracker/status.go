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
	// Log is the end of the server's log.
	Log     Position
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
