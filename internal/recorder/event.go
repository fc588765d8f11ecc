package recorder

import "time"

// Event is one entry of the timeline.
type Event struct {
	// Instance is the name of the process that recorded the event.
	Instance string `json:"instance"`
	// Lamport is the Lamport time.
	Lamport uint64 `json:"lamport"`
	// Wall is the time of the process's wall clock.
	Wall time.Time `json:"wall"`
	// Component is the component of the instance that recorded the event.
	Component string `json:"part"`
	// Kind tells what happened, in snake case.
	Kind string `json:"kind"`
	// Group is the database group that the event is about, if any.
	Group string `json:"group,omitempty"`
	// Fields are further details.
	Fields map[string]string `json:"fields,omitempty"`
}
