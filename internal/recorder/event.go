package recorder

import "time"

// Event is one entry of the timeline.
type Event struct {
	Instance  string            `json:"instance"`
	Lamport   uint64            `json:"lamport"`
	Wall      time.Time         `json:"wall"`
	Component string            `json:"part"`
	Kind      string            `json:"kind"`
	Group     string            `json:"group,omitempty"`
	Fields    map[string]string `json:"fields,omitempty"`
}
