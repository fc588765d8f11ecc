package exchanger

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Role is the role that a backend server believes it has.
type Role int

// Roles of a backend server.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// String returns the name that logs use.
func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Report is a backend server's own view of its state. It may be wrong about the
// role and the term after a partition.
type Report struct {
	Role Role
	// Term is the newest term that the server knows.
	Term uint64
	// Received is the end of the server's log.
	Received tracker.Position
	// PausedTerm is the term for which receiving is paused (see [Pause]); 0 if it
	// is not.
	PausedTerm uint64
	// Lag is how far the server's data is behind its log.
	Lag time.Duration
	// BusySlots is the number of occupied execution slots, Connections the number
	// of connections of all callers.
	BusySlots, Connections int
}
