package promoter

import "marigoldhub.example/hub/internal/tracker"

// Plan is a planned change of primary.
type Plan struct {
	// ID identifies the requested change. It is empty when the monitor itself
	// wants the change.
	ID string
	// To is the server that becomes primary.
	To string
	// Reason is recorded in events.
	Reason string
}

// Planner decides which planned changes are wanted, and pauses work on the
// primary at all instances of the cluster.
type Planner interface {
	// Next returns the next wanted change, and false when there is none.
	Next(s tracker.State) (Plan, bool)
	// PauseWork asks all instances to pause new work on the primary of the
	// term. The pause ends with ResumeWork or when a later term is established.
	PauseWork(term uint64)
	// IsIdle reports whether every live instance has paused new work and has
	// nothing in flight on the primary.
	IsIdle() bool
	// ResumeWork ends the pause.
	ResumeWork()
	// Complete is called when the change has taken effect.
	Complete(p Plan)
	// CompletedIDs returns the identifiers of the declared changes that took
	// effect according to this planner or the servers.
	CompletedIDs(s tracker.State) []string
	// IsAvoided reports whether the server is leaving and should only become
	// primary when no other server has an equally complete log.
	IsAvoided(server string) bool
}
