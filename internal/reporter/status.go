package reporter

import "time"

// Status is the response to GET /v1/status.
type Status struct {
	// Instance is the name of the instance and Zone its availability zone.
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// Version is the version of the program.
	Version string `json:"version"`
	// Ready tells whether the instance accepts callers.
	Ready bool `json:"ready"`
	// Reason tells why the instance is not ready.
	Reason string `json:"reason,omitempty"`
	// Stale is set if neither the store nor a peer was in contact for 5 s.
	Stale bool `json:"configuration_stale"`
	// Members are the names of the known instances.
	Members []string `json:"members"`
	// Parts are the known manifest parts.
	Parts []Part `json:"parts"`
	// Groups are the database groups of the manifest that have a known state.
	Groups []Group `json:"groups"`
}

// Part tells which revision of a manifest part is active.
type Part struct {
	Part string `json:"part"`
	// Revision is the active revision; 0 if there is none.
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	// Since is when the revision became active at this instance.
	Since time.Time `json:"since"`
}

// Group tells what the instance knows about a database group.
type Group struct {
	Group string `json:"group"`
	// Monitor is the instance that monitors the group.
	Monitor string `json:"monitor"`
	// Term is the established term, 0 if none is known, and Primary its primary.
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// Draining is set while new work is paused for a planned change of primary.
	Draining bool      `json:"draining"`
	Servers  []Replica `json:"replicas"`
}

// Replica tells what the instance knows about one replica.
type Replica struct {
	Server string `json:"server"`
	// Position is the end of the replica's log.
	Position string `json:"position"`
	// AgeMS is the age of the replica's data in milliseconds; -1 if unknown.
	AgeMS     int64 `json:"age_ms"`
	Reachable bool  `json:"reachable"`
	// Leaving is set if the server announced that it will stop.
	Leaving bool `json:"leaving"`
}
