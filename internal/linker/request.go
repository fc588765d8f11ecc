package linker

import "time"

// Request asks for a connection.
type Request struct {
	// Priority orders waiting requests; the lowest number goes first.
	Priority int
	// Deadline is until when the request waits.
	Deadline time.Time
	// User is who the connection must have been opened for: the team whose statements
	// will run on it, empty without teams.
	User string
	// AnyUser is set for statements that the instance itself issues. They run on a
	// connection of any user, and User is empty.
	AnyUser bool
	// Left is closed when nobody waits for the connection any more; nil if that is not
	// noticed.
	Left <-chan struct{}
	// Values are the caller's session values.
	Values map[string]string
}
