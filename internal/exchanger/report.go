package exchanger

import (
	"time"

	"marigoldhub.example/hub/internal/tracker"
)

// Role is what a server takes itself for.
type Role int

// Roles of a server.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// String returns the name that logs use.
func (r Role) String() string { return [...]string{"unknown", "primary", "replica"}[r] }

// Report is a server's view of itself.
type Report struct {
	Role Role
	// Term is the newest term that the server knows.
	Term uint64
	// Received is the end of the server's log.
	Received tracker.Position
	// PausedTerm is the term for which receiving is paused; 0 when it is not.
	PausedTerm uint64
	// Lag is how far applying is behind receiving.
	Lag time.Duration
	// BusySlots counts occupied slots, Connections all callers' connections.
	BusySlots, Connections int
}
