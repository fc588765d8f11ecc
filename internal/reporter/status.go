package reporter

import "time"

// Status is the answer to GET /v1/status.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Ready    bool   `json:"ready"`
	// Reason tells why the instance is not ready.
	Reason string `json:"reason,omitempty"`
	// Stale is set when neither the store nor a peer was heard for 5 s.
	Stale   bool     `json:"configuration_stale"`
	Members []string `json:"members"`
	Parts   []Part   `json:"parts"`
	Groups  []Group  `json:"groups"`
}

// Part tells which revision of a manifest part is in force.
type Part struct {
	Part     string    `json:"part"`
	Revision uint64    `json:"revision"`
	Hash     string    `json:"hash"`
	Since    time.Time `json:"since"`
}

// Group tells what the instance knows about a database group.
type Group struct {
	Group    string    `json:"group"`
	Monitor  string    `json:"monitor"`
	Term     uint64    `json:"term"`
	Primary  string    `json:"primary"`
	Draining bool      `json:"draining"`
	Servers  []Replica `json:"replicas"`
}

// Replica tells what the instance knows about one replica.
type Replica struct {
	Server    string `json:"server"`
	Position  string `json:"position"`
	AgeMS     int64  `json:"age_ms"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
}
