package promoter

import "marigoldhub.example/hub/internal/tracker"

// Plan asks for a planned change of primary.
type Plan struct {
	// ID identifies the request. It is empty when the monitor itself wants the
	// change.
	ID string
	// To is the server that becomes primary.
	To     string
	Reason string
}

// Planner tells which planned changes are wanted and carries them to the
// instances of the cell.
type Planner interface {
	// Next returns the next wanted change.
	Next(s tracker.State) (Plan, bool)
	// PauseWork asks all instances to hold back new work for the primary of the
	// term. The request ends with Resume or when a later term is established.
	PauseWork(term uint64)
	// IsIdle reports whether every live instance holds back new work and has
	// nothing in flight on the primary.
	IsIdle() bool
	ResumeWork()
	// Complete is called when the change has taken effect.
	Complete(p Plan)
	// CompletedIDs returns the identifiers of the declared changes that have taken
	// effect, as this planner or the servers know.
	CompletedIDs(s tracker.State) []string
	// IsAvoided reports whether the server is leaving and should only lead
	// when no other server has an equally complete log.
	IsAvoided(server string) bool
}
